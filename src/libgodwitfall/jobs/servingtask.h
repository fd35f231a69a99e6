#pragma once

#include <string>

namespace godwitfall {

/** A serving task with the load that best-effort tasks on its worker may add. */
struct ServingTask
{
    std::string image;
    double headroom = 0.0; ///< Load on top of its own at which it reaches its latency target.
    double variance = 0.0; ///< Of the error of the headroom.
};

} // namespace godwitfall
