#pragma once

#include <cstddef>
#include <tuple>

#include "clock.h"

namespace godwitfall {

/** What is known of a job with waiting tasks. Work is in any unit, the same for all jobs. */
struct DelayFacts
{
    unsigned priority = 0; ///< Lower values go first.
    /** None of its long-running tasks waits to resume after a lost run. */
    bool resumesNothing = true;
    bool longRunning = false; ///< It has a long-running step, so that no end is due.
    Instant knownSince;
    Duration objective{0};      ///< From knownSince to its due time.
    Duration remainingPath{0};  ///< Estimate of the longest chain of steps that are not done.
    double work = 0.0;          ///< Estimate of the whole job.
    double remainingWork = 0.0; ///< The same of what is still to be placed, without saved work.
    double meanWork = 0.0;      ///< Mean work of the jobs of its queue.
};

/** Sort key of a job; the job with the least key is served first. */
struct DelayKey
{
    unsigned priority = 0;
    bool resumesNothing = true;
    int group = 0; ///< Separates late jobs from others, and jobs that are lost from late ones.
    double cost = 0.0;
    Instant due;

    auto tuple() const
    {
        return std::tuple(this->priority, this->resumesNothing, this->group, this->cost, this->due);
    }
    bool operator<(const DelayKey &other) const { return this->tuple() < other.tuple(); }
    bool operator==(const DelayKey &other) const { return this->tuple() == other.tuple(); }
};

/** Returns the key while all waiting work fits into the free capacity. */
DelayKey uncontendedKey(const DelayFacts &facts, Instant now);

/** Returns what callers lose for each unit of work if other work takes the place of the job: its
 * weight, by the probability that it still ends in time, or late, against its remaining work. */
double delayCost(const DelayFacts &facts, Instant now);

/** Returns the key while capacity is short: by delayCost(), jobs that nobody waits for last. In
 * a part of the time, the jobs among these that have waited longest go first. */
DelayKey contendedKey(const DelayFacts &facts, Instant now);

} // namespace godwitfall
