#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "simworker.h"

namespace godwitfall::soak {

/**
 * Checks that tasks that last run again in time once all is calm: within 3 s from 6 s after their
 * last run, or from 4 s of calm, if workers have capacity for them twice over all that time.
 */
class LastingCheck
{
public:
    /** Returns how many tasks workers that may run the task could start. */
    using FreeSlots = std::function<std::size_t(const TaskRef &task)>;

    /** Returns what is broken now; times are in ms. */
    std::vector<std::string> check(std::int64_t nowMs, const std::vector<TaskRef> &tasks,
                                   const jobtests::FleetLedger &ledger,
                                   const FreeSlots &freeSlotsFor);

    /** Notes that something was wrong until the time, and is no more. */
    void calmSince(std::int64_t atMs);

    /** Notes that the platform may still carry out an order for the task until the time. */
    void orderLate(const TaskRef &task, std::int64_t untilMs);

    /** Returns the longest time that a task had been without a run in calm, in ms. */
    std::int64_t longestGap() const { return this->longest; }

private:
    static constexpr std::int64_t never = INT64_MAX / 2;

    std::int64_t calmAt = never;
    std::int64_t longest = 0;
    std::map<TaskRef, std::int64_t> roomSince;
    std::map<TaskRef, std::int64_t> lastRunEnd;
    std::map<TaskRef, std::int64_t> lateUntil;
    std::set<TaskRef> reported;
};

} // namespace godwitfall::soak
