#include "startlimit.h"

#include <algorithm>

namespace godwitfall {

StartLimit::StartLimit(std::size_t highest)
    : highest(highest)
    , limit(highest)
{}

void StartLimit::noteReply(Duration delay, std::size_t open, Instant now)
{
    if (delay <= promptReply && open >= this->limit) {
        this->limit = std::min(this->limit + 1, this->highest);
    }
    if (this->replies == 0) {
        this->begunAt = now;
        this->fastest = delay;
    }
    ++this->replies;
    this->fastest = std::min(this->fastest, delay);
    if (this->replies < leastReplies || now - this->begunAt < interval) {
        return;
    }
    if (this->fastest > lateReply) {
        this->limit = std::clamp(std::min(this->limit, open) / 2, std::min(lowest, this->highest),
                                 this->limit);
    }
    this->replies = 0;
}

void StartLimit::reset()
{
    this->limit = this->highest;
    this->replies = 0;
}

} // namespace godwitfall
