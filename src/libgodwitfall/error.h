#pragma once

#include <string>

#include <tl/expected.hpp>

namespace godwitfall {

/** What a failed call lets its caller conclude. */
enum class Fate {
    NotDone, ///< No byte reached the peer, or the peer refused before it began.
    Unknown, ///< The call may have taken effect.
    Invalid, ///< The input is wrong; trying again can't help.
};

/** A failure, with the step and the peer at which it arose. */
struct Error
{
    Fate fate = Fate::Unknown;
    std::string step;
    std::string peer;
    std::string detail;

    /** Returns "step (peer): detail". */
    std::string text() const { return this->step + " (" + this->peer + "): " + this->detail; }
};

template <class Value>
using Result = tl::expected<Value, Error>;

} // namespace godwitfall
