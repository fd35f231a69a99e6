#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "clock.h"
#include "ids.h"
#include "interferencemodel.h"
#include "job.h"
#include "resources.h"
#include "servingtask.h"

namespace godwitfall {

/** Returns the resources that a task of the step reserves. */
Resources reservedBy(const jobs::StepSpec &step);

/** A worker as the registry lists it. */
struct WorkerEntry
{
    WorkerId id;
    ServiceId service;
    std::string address;
    ZoneId zone;
    bool draining = false;
    Duration remaining{0};     ///< Least time until a draining worker leaves.
    Duration coldRemaining{0}; ///< Time until it is warm, as of the entry; 0: it is.
    Resources capacity;
    std::string kind;
    std::string rack;
    /** Start of the incarnation that wrote it, since 1970; 0: not known. */
    std::int64_t incarnationStartMs = 0;

    bool hasLabel(const std::string &label) const
    {
        return label == this->kind || label == this->rack;
    }
};

/** How a run ended. */
enum class RunEnd : std::uint8_t {
    Done,
    Failed,
    Stopped,
    Lapsed,         ///< Its lease ran out.
    GangBroken,     ///< Another member of its gang ended.
    GangIncomplete, ///< Not all members of its gang started in time.
};

/** Returns the end's name in logs. */
const char *toText(RunEnd end);

/** One run that a worker lists as running. */
struct RunningTask
{
    TaskRef task;
    std::uint32_t run = 0;
    std::string checkpoint;
    std::uint32_t percent = 0;
    std::int64_t metric = 0; ///< Tail latency in ms of a serving task, else milli-cores in use.
};

/** One run that a worker lists as ended. */
struct EndedTask
{
    std::uint64_t number = 0; ///< Rises within an incarnation of the worker.
    TaskRef task;
    std::uint32_t run = 0;
    RunEnd how = RunEnd::Failed;
    std::string checkpoint;
};

/** Reply of a worker to a hold (the call that renews its lease and waits for ends): the runs in
 * progress and the runs that have ended. */
struct WorkerReport
{
    std::int64_t clockMs = 0; ///< The worker's own steady clock.
    std::int64_t incarnationStartMs = 0;
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
};

/** Bounds on leases and orders that the platform guarantees. */
struct WorkerBounds
{
    Duration longestLease{6000}; ///< To which a worker shortens leases that are longer.
    /** Longest time without a run of a long-running task that some worker can take. */
    Duration longestDelay{9000};
    Duration stopTime{400};    ///< From the lapse of a lease until its runs have ended.
    Duration cancelTime{3000}; ///< From a cancel's acknowledgement until nothing of its job starts.
    /** How long best-effort tasks may make a serving task miss its latency target. */
    Duration targetMissLimit{4000};
    /** Starts that may be open at the same time; each may take a connection. */
    std::size_t openStarts = 1024;
};

/** Numbers of the ends that one incarnation of a worker has listed; each incarnation counts anew.
 */
struct EndNumbers
{
    std::uint64_t applied = 0;      ///< Ends up to this number are applied.
    std::uint64_t acknowledged = 0; ///< Ends up to this number are durable.
    std::uint64_t discarded = 0;    ///< Ends up to this number it was told to discard, and replied.
    std::uint64_t discarding = 0;   ///< Ends up to this number the hold in flight lets it discard.
};

/** A run that may be at work on a worker and that no record places there: a delayed order began it,
 * or its task is done by an earlier run. */
struct OrphanRun
{
    Resources reserved;
    Instant knownSince;
    std::uint64_t lastListedIn = 0; ///< Number of the newest report that listed it; 0: none.
    Instant stopSentAt;             ///< When its stop was last sent.
    Instant stoppedAt;              ///< When its worker confirmed that stop; unset: it has not.
    /** Until when a start of it may be carried out; unset: it has begun. */
    Instant mayBeginUntil;

    /** Returns whether it is over if a report that was asked for at the time does not list it. */
    bool endedIfUnlisted(Instant askedAt) const;
};

/** State of a worker as known to the coordinator: entry, lease, load and recent failures. */
class WorkerState
{
public:
    /** Share by which a worker's clock may be slow; the platform's bound. */
    static constexpr double clockDrift = 0.02;
    /** Time after a closed connection from which another one is that of a later call. */
    static constexpr Duration nextCallAfter{200};
    /** Time after a closed connection within which the worker is called again. */
    static constexpr Duration nextCallWithin{600};
    /** Added to computed lapse times for rounding and timer slack. */
    static constexpr Duration lapseMargin{150};

    explicit WorkerState(WorkerEntry entry);

    /** Starts the next incarnation, which has its own clock, leases and numbers of ends. */
    void beginIncarnation(std::int64_t startMs, Instant now);

    /** Returns whether an incarnation before the present one began at the time, in ms since 1970.
     * Of two incarnations the later one may have the lower time, as clocks may be set back. */
    bool hadIncarnation(std::int64_t startMs) const;

    /** Records that its incarnation replied to an order that was sent at the time; the reply came
     * notBefore at the earliest. */
    void noteReply(Instant sentAt, Instant notBefore, Instant now);

    /** Records that it closed, reset or refused a connection. */
    void noteClosed(Instant now);

    /** Records that an order that was sent at the time ended without a reply. Returns whether this
     * shows that closed connections are no sign of a crash: a later order ended by a timeout. */
    bool noteNoReply(Instant sentAt);

    /** Records a sample of the worker's clock, in ms. */
    void sampleClock(std::int64_t clockMs, Instant receivedAt);

    /** Returns the end of a lease that begins with the worker's last reply, in ms of its clock; 0
     * before its first reply. Orders that get no reply so do not prolong a lease. */
    std::int64_t leaseEnd(Duration length) const;

    /** Records the lease end that an order carries, in ms of the worker's clock. */
    void noteLeaseEnd(std::int64_t endMs);

    /** Returns the time by which all leases on the worker have lapsed if it gets no further order.
     * Orders without a reply count: a lease end is a time on the worker's clock, so that a run that
     * a late order starts has ended by then as well. */
    Instant lapsesAt(const WorkerBounds &bounds) const;

    /** Adds the task and reserves its resources. */
    void assign(const TaskRef &ref, Job &job);

    /** Removes the task and frees its resources. */
    void release(const TaskRef &ref);

    /** Sets the resources of the orphan run, which is added if it is not known; returns it. */
    OrphanRun &setOrphan(const RunRef &run, const Resources &resources);

    /** Removes the orphan run and frees its resources. */
    void removeOrphan(const RunRef &run);

    /** Returns whether what is placed on the worker, or runs there, exceeds its capacity. */
    bool overcommitted() const { return !this->used().fitsIn(this->entry.capacity); }

    /** Returns the resources of what is placed on the worker or runs there. */
    Resources used() const { return this->reserved + this->orphansReserved; }

    /** Returns the resources that the step's tasks lack next to the used ones; negative amounts are
     * to spare. */
    Resources missingFor(const jobs::StepSpec &step) const;

    /** Returns whether a task of the step fits next to the used resources. */
    bool fits(const jobs::StepSpec &step) const;

    /** Returns what share of the worker's processors the milli-cores are. */
    double shareOf(double milliCores) const;

    /** Returns how many tasks of the step fit next to the used resources, by processors and
     * memory; 0 while the worker takes no tasks. */
    std::int64_t freeSlots(const jobs::StepSpec &step) const;

    /** Returns the use of running best-effort tasks at their present pace, by image and activity.
     */
    std::vector<BestEffortShare> pacedBestEffortShares() const;

    /** Returns the use of all placed best-effort tasks at full pace, by image and activity; the
     * reference is valid until the next change. */
    const std::vector<BestEffortShare> &fullPaceBestEffortShares() const;

    /** Records that a run has succeeded, which ends what failures have led to. */
    void noteSuccess();

    /** Drops the cached placement costs after a change of their inputs. */
    void invalidatePlacementCosts();

    /** Returns the number of tasks of the step that are placed on the worker or run there. */
    std::uint32_t countOf(const StepRef &step) const;

    /** Returns the number of tasks of the step that are placed on the worker. */
    std::uint32_t countPlaced(const StepRef &step) const;

    /** Returns the number of orphan runs of the step. */
    std::uint32_t countOrphans(const StepRef &step) const;

    /** Returns whether the entry describes the present incarnation. The service, labels and
     * capacity of any other incarnation tell nothing of what the present one may be sent. */
    bool entryIsCurrent() const
    {
        return this->entry.incarnationStartMs == this->incarnationStartMs;
    }

    WorkerEntry entry; ///< The newest one that was read; may be of another incarnation.
    /** Start of the present incarnation, since 1970, as its entry, its reply or a former
     * coordinator's record tells; 0: not known. */
    std::int64_t incarnationStartMs = 0;
    bool listed = true;     ///< The registry lists it.
    bool responded = false; ///< Its incarnation has replied under the current epoch.
    Instant lastSeenAt;
    Instant
        repliedAt; ///< When its incarnation last replied to an order of any kind, at the latest.
    Instant repliedNotBefore; ///< The same at the earliest.
    /** When it first closed or refused a connection; unset: it has replied to a later order. */
    Instant closedAt;
    Instant lastClosedAt; ///< When it last did so.
    /** It did so again when it was called next, as a process does that has ended. */
    bool closedAgain = false;
    bool wasDraining = false;      ///< The entry before the newest one said so.
    bool zoneUnresponsive = false; ///< See ZoneFailureDetector.
    bool zoneEvacuated = false;    ///< An operator requests that nothing starts in its zone.
    Instant earlierLeasesLapse;    ///< When earlier leases lapse; counts until it responds.
    bool adoptedSilent = false;    ///< The former coordinator's last record calls it silent.
    /** A record that may be stored calls it silent: it gets no orders with a lease end. */
    bool announcedSilent = false;
    bool withdrawalInFlight = false; ///< A later record, not stored yet, does not call it so.

    unsigned ordersInFlight = 0; ///< Starts and stops that await a reply.
    unsigned startsInFlight = 0; ///< Of these, starts.
    bool holdInFlight = false;
    bool holdRenews = false; ///< The newest hold carries a lease end.
    Instant holdDue;
    std::uint64_t incarnation = 1; ///< Counts its incarnations.
    EndNumbers ends;

    std::map<TaskRef, Job *> tasks;
    std::set<StepRef> exceededBounds; ///< Of which its newest report lists too many tasks.
    std::set<TaskRef> suspects;       ///< Of tasks: those under which workers have crashed.
    Resources reserved;               ///< Without the processors of best-effort tasks.
    std::map<RunRef, OrphanRun> orphans;
    Resources orphansReserved; ///< By orphans; without the processors of best-effort tasks.
    std::int64_t bestEffortMilliCores = 0;

    Instant coldUntil; ///< From the time at which its entry was read, so at the latest.
    Instant ejectedUntil;
    /** It has been ejected for failures and no run has succeeded since: it takes one task at a
     * time, to show whether it is sound again. */
    bool onProbation = false;
    std::optional<TaskRef> probe;     ///< That task, while it is placed here.
    unsigned ejectionCount = 0;       ///< Ejections for failures since the last success.
    Instant failuresCountFrom;        ///< End of the last one; runs of before are no evidence.
    std::set<std::string> failedJobs; ///< Jobs that failed here since the last success.
    std::map<std::string, double> interferenceCosts; ///< By image; cache of PlacementPolicy.
    /** Cache of PlacementPolicy; unset: not computed since the last change. */
    std::optional<std::vector<ServingTask>> serving;
    Instant metricsSampledAt; ///< When the metrics of its tasks were last processed.

private:
    std::vector<BestEffortShare> bestEffortShares(bool atFullPace) const;

    std::deque<std::int64_t> formerIncarnations; ///< Starts of the last ones, in ms since 1970.
    std::int64_t clockSampleMs = 0;              ///< The worker's clock at sampledAt.
    Instant sampledAt;
    std::int64_t latestLeaseEndMs = 0; ///< Of all orders, on the worker's clock.
    mutable std::optional<std::vector<BestEffortShare>> cachedFullPaceShares;
};

} // namespace godwitfall
