#include "startlimit.h"

#include <algorithm>

namespace godwitfall {

StartLimit::StartLimit(std::size_t highest)
    : highest(highest)
    , limit(highest)
{}

void StartLimit::noteReply(Instant sentAt, std::size_t open, Instant now)
{
    const Duration delay = now - sentAt;
    if (delay <= promptReply && open >= this->limit) {
        this->limit = std::min(this->limit + 1, this->highest);
    }
    if (sentAt < this->loweredAt) {
        // It queued up behind starts that were sent under the former limit.
        return;
    }
    if (this->replies == 0) {
        this->begunAt = now;
        this->fastest = delay;
        this->mostOpen = open;
    }
    ++this->replies;
    this->fastest = std::min(this->fastest, delay);
    this->mostOpen = std::max(this->mostOpen, open);
    if (this->replies < leastReplies || now - this->begunAt < interval) {
        return;
    }
    if (this->fastest > lateReply) {
        this->limit = std::clamp(std::min(this->limit, this->mostOpen) / 2,
                                 std::min(lowest, this->highest), this->limit);
        this->loweredAt = now;
    }
    this->replies = 0;
}

void StartLimit::reset()
{
    this->limit = this->highest;
    this->loweredAt = Instant(-1000000);
    this->replies = 0;
}

} // namespace godwitfall
