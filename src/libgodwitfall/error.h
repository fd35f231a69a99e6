#pragma once

#include <string>

#include <tl/expected.hpp>

namespace godwitfall {

/** What is known about the effect of a failed call. */
enum class Fate {
    NotDone, ///< No byte reached the peer, or the peer refused before it began.
    Unknown, ///< The call may have taken effect.
    Invalid, ///< The input is wrong; a retry fails as well.
};

/** A failure, with the step and the peer at which it occurred. */
struct Error
{
    Fate fate = Fate::Unknown;
    std::string step;
    std::string peer;
    std::string detail;
    /** The peer closed, reset or refused the connection; a path that is cut shows by a timeout. */
    bool closedByPeer = false;

    /** Returns "step (peer): detail". */
    std::string text() const { return this->step + " (" + this->peer + "): " + this->detail; }
};

template <class Value>
using Result = tl::expected<Value, Error>;

} // namespace godwitfall
