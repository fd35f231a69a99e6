#pragma once

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "jobsimulation.h"

namespace godwitfall::jobtests {

/** Kinds of faults; those without a length last for good. */
enum class FaultKind {
    OwnerLost,
    WorkerLost,
    OwnerKilled, ///< Starts again after the length.
    OwnerFrozen,
    OwnerCutFromStore,
    OwnerReadsStalled,
    WorkerReplaced,  ///< Crashes; a worker with another id is added after the length.
    WorkerRestarted, ///< Crashes; its next incarnation starts after the length.
    WorkerCut,
    WorkerRestartedInSeries,   ///< Crashes three times within the length.
    WorkerRestartedBehindCuts, ///< Is cut off twice within the length, and restarts meanwhile.
    OrdersLost,
    OrdersDelayed,
    InstancesKilled,       ///< All start again after the length.
    ZoneEvacuated,         ///< Until the length is over.
    RequestReadsStalled,   ///< The owner's reads of requests to evacuate zones.
    RequestHistoryDropped, ///< Requests are read anew from the newest ones.
};

/** One fault of a schedule. */
struct Fault
{
    FaultKind kind = FaultKind::OwnerLost;
    std::int64_t atMs = 0;     ///< Since the start of the schedule.
    std::int64_t lengthMs = 0; ///< Not used by faults that last for good.
    /** Selects one of the workers that run the watched tasks then, or the zone. */
    std::size_t target = 0;

    bool lastsForGood() const
    {
        return this->kind == FaultKind::OwnerLost || this->kind == FaultKind::WorkerLost;
    }

    /** Returns when calm may begin, in ms since the start of the schedule. */
    std::int64_t overAtMs() const
    {
        return this->lastsForGood() ? this->atMs : this->atMs + this->lengthMs;
    }
};

/** Prints the fault as an initialiser, so that it can be copied into a test. */
std::ostream &operator<<(std::ostream &stream, const Fault &fault);

/** Faults, followed by calm. */
struct FaultSchedule
{
    std::uint64_t seed = 0;
    std::vector<Fault> faults;

    /** Submits jobs of short-lived tasks only, until the calm, and watches these. */
    bool shortLivedOnly = false;

    /** Returns whether workers have zones, which may be evacuated. */
    bool evacuates() const;
};

/** Plays the schedule with long-running and short-lived jobs and ample capacity; returns the
 * violated guarantees, among them the bound on the time in which the watched tasks run again, with
 * what the coordinator waited for. */
std::vector<std::string> play(const FaultSchedule &schedule);

} // namespace godwitfall::jobtests
