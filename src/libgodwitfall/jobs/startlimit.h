#pragma once

#include <cstddef>

#include "clock.h"

namespace godwitfall {

/**
 * Number of starts that may be open at the same time, so that the coordinator's own orders don't
 * fill its link: replies that queue up arrive after the timeouts, and every order is sent again.
 *
 * The limit falls while even the fastest of recent replies is late, which one slow worker does not
 * cause, and rises with each prompt reply that comes while the limit is reached.
 */
class StartLimit
{
public:
    /** Delay of a reply up to which the limit rises. */
    static constexpr Duration promptReply{100};
    /** Delay that the fastest of recent replies must exceed for the limit to fall; a part of the
     * timeout of an order. */
    static constexpr Duration lateReply{250};
    /** Shortest time over which replies are compared. */
    static constexpr Duration interval{200};
    /** Replies without which no comparison is made. */
    static constexpr std::size_t leastReplies = 8;
    /** The limit falls no further. */
    static constexpr std::size_t lowest = 32;

    explicit StartLimit(std::size_t highest);

    std::size_t current() const { return this->limit; }

    /** Returns whether late replies have lowered the limit. */
    bool lowered() const { return this->limit < this->highest; }

    /** Takes a reply to a start, or its timeout, with the number of starts that are open. */
    void noteReply(Instant sentAt, std::size_t open, Instant now);

    /** Forgets all replies. */
    void reset();

private:
    const std::size_t highest;
    std::size_t limit;
    Instant loweredAt{-1000000};
    Instant begunAt; ///< When the first of the compared replies came.
    std::size_t replies = 0;
    Duration fastest{0};
    std::size_t mostOpen = 0; ///< While these replies came.
};

} // namespace godwitfall
