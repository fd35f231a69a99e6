#pragma once

#include <string>

namespace godwitfall {

/** A serving task as those that fill beside it have to mind it. */
struct ServingTask
{
    std::string image;
    double headroom = 0.0; ///< Load that it bears beyond its own before it misses its target.
    double variance = 0.0; ///< Of the error of the room.
};

} // namespace godwitfall
