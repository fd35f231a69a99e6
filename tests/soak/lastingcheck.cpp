#include "lastingcheck.h"

#include <algorithm>

#include "platform/codec.h"

namespace godwitfall::soak {

namespace {

constexpr std::int64_t afterRunMs = 6000; ///< From the platform, like the two below.
constexpr std::int64_t afterCalmMs = 4000;
constexpr std::int64_t waitMs = 3000;
constexpr std::size_t slotsNeeded = 2; ///< Capacity for a task twice over.

} // namespace

std::vector<std::string> LastingCheck::check(std::int64_t now, const std::vector<TaskRef> &tasks,
                                             const jobtests::FleetLedger &ledger,
                                             const FreeSlots &freeSlotsFor)
{
    std::vector<std::string> broken;
    for (const TaskRef &task : tasks) {
        const std::size_t freeSlots = freeSlotsFor(task);
        std::int64_t &room = this->roomSince.try_emplace(task, never).first->second;
        room = freeSlots < slotsNeeded ? never : std::min(room, now);
        // The time before a first run counts from when the task is known.
        std::int64_t &runEnd = this->lastRunEnd.try_emplace(task, now).first->second;
        const auto runs = ledger.running.find(task);
        if (runs != ledger.running.end() && !runs->second.empty()) {
            runEnd = now;
            continue;
        }
        const auto late = this->lateUntil.find(task);
        const std::int64_t calm =
            late == this->lateUntil.end() ? this->calmAt : std::max(this->calmAt, late->second);
        const std::int64_t from = std::max(runEnd + afterRunMs, calm + afterCalmMs);
        if (now >= calm) {
            this->longest = std::max(this->longest, now - runEnd);
        }
        if (now > std::max(from, room) + waitMs && this->reported.insert(task).second) {
            broken.push_back("task " + platform::taskName(task) +
                             " lasts and does not run: " + std::to_string(now - runEnd) +
                             " ms after its last run, " + std::to_string(now - calm) +
                             " ms of calm, free slots " + std::to_string(freeSlots));
        }
    }
    return broken;
}

void LastingCheck::calmSince(std::int64_t atMs)
{
    this->calmAt = this->calmAt == never ? atMs : std::max(this->calmAt, atMs);
}

void LastingCheck::orderLate(const TaskRef &task, std::int64_t untilMs)
{
    std::int64_t &until = this->lateUntil[task];
    until = std::max(until, untilMs);
}

} // namespace godwitfall::soak
