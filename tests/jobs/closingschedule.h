#pragma once

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "jobsimulation.h"

namespace godwitfall::jobtests {

/** Rounds in which workers are cut off, restarted and drained while jobs run, followed by calm. */
struct ClosingSchedule
{
    std::uint64_t seed = 1;
    unsigned rounds = 24;
    std::int64_t gapMs = 1200; ///< Length of a round.
    std::int64_t cutMs = 700;  ///< Of the workers that are cut off at the begin of a round.
    /** From the begin of a cut until its workers crash; they start again 20 ms later. Unset: they
     * do not crash. */
    std::optional<std::int64_t> restartedAfterMs = 350;
    unsigned percentCut = 30; ///< Of the workers, in each round.
    std::uint32_t taskMs = 1500;
    /** Rounds between two losses of the coordinator; 0: none. The same for workers that drain. */
    unsigned ownerLossGap = 0;
    unsigned drainGap = 0;
    std::optional<unsigned> storeRejectsIn; ///< Round from which the store rejects calls for 6 s.
    unsigned deadlyJobs = 0;                ///< With a short-lived task that crashes its workers.
    CrashWay crashWay = CrashWay::OnceTaken;
    bool deadlyLasts = false; ///< A task that lasts crashes its workers until the calm.
    bool failing = false;     ///< Some tasks fail, fewer times than allowed or as often.
    bool gangs = false;
    bool deadlyGangs = false; ///< Half of the deadly jobs; one member crashes its workers.
    std::int64_t calmMs = 25000;
};

/** Prints what differs from the defaults, as an initialiser. */
std::ostream &operator<<(std::ostream &stream, const ClosingSchedule &schedule);

/** What was seen of a schedule. */
struct PlayedSchedule
{
    /** Violated guarantees, among them jobs shown as failed without cause, starts of deadly tasks
     * beyond the bound, and long-running tasks that do not run again within it. */
    std::vector<std::string> violations;
    std::vector<jobs::JobState> deadlyJobs; ///< States at the end.
    std::size_t failedJobs = 0;             ///< Other jobs shown as failed at the end.
    std::size_t completedJobs = 0;
    std::uint64_t crashes = 0; ///< Of workers under runs that had begun, summed over the tasks.
};

PlayedSchedule play(const ClosingSchedule &schedule);

/** Returns the schedule that the seed selects. */
ClosingSchedule randomClosingSchedule(std::uint64_t seed);

} // namespace godwitfall::jobtests
