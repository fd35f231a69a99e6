#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "advicecache.h"
#include "coordinatorstatistics.h"
#include "delaycost.h"
#include "jobtable.h"
#include "orders.h"
#include "pacepolicy.h"
#include "placementpolicy.h"
#include "queueconfig.h"
#include "startlimit.h"
#include "unplaceabledemands.h"
#include "waitingdemand.h"
#include "workersearch.h"
#include "workerstate.h"
#include "zonefailuredetector.h"

namespace godwitfall {

/** Why a run is over or its task may be started again; a closed list in logs and metrics. */
enum class RunOutcome : std::uint8_t {
    Done,
    Failed,
    Stopped,
    Lapsed,         ///< Its lease ran out on the worker.
    GangBroken,     ///< Another member of its gang ended.
    GangIncomplete, ///< The other members of its gang did not start.
    Lost,           ///< Its worker does not list it.
    Refused,        ///< Its worker refused the start, or the start was not sent.
    WorkerGone,     ///< Another incarnation replied, or the lease has certainly lapsed.
};

/** Returns the outcome's name in logs and metrics. */
const char *toText(RunOutcome outcome);

/** Why the start of a placed task is not sent, or sent again; a closed list in logs and metrics. */
enum class DropReason : std::uint8_t {
    ZoneEvacuated, ///< The zone of its worker is evacuated.
    Draining,      ///< Its worker is about to leave.
    Service,       ///< Its worker belongs to another service.
    Label,         ///< Its worker lacks the label that its step requires.
    StepBound,     ///< Its worker runs as many other tasks of its step as the step allows.
    Capacity,      ///< It does not fit on its worker any more.
    OrphanRun,     ///< A worker may still run it, though no record places it there.
};

/** Returns the reason's name in logs and metrics. */
const char *toText(DropReason reason);

/** A crash of a worker that was counted for a task, and what the count rests on. */
struct CountedCrash
{
    TaskRef task;
    CrashedRun crash;
    std::size_t causes = 0;              ///< Tasks that may have been the cause of this crash.
    std::size_t crashes = 0;             ///< Counted under the task so far, this one included.
    bool startTaken = false;             ///< The worker took the run's start.
    bool listed = false;                 ///< A report of the worker listed the run.
    std::optional<Duration> sinceStart;  ///< Since its start was sent by this coordinator.
    std::optional<Duration> sinceReply;  ///< Since the last reply of the crashed incarnation.
    std::optional<Duration> sinceClosed; ///< Since it closed or refused a connection after that.
    bool givenUp = false;                ///< Its job fails for it.
};

/** For how long a task is not started after crashes. */
struct HoldBack
{
    Duration length{0};
    std::int64_t untilMs = 0; ///< Since 1970.
};

/** What the coordinator knows of a worker as it sends it a start of a step that bounds its tasks on
 * one worker. */
struct BoundedStart
{
    TaskRef task;
    std::uint32_t run = 0;
    unsigned tries = 0;        ///< To start the run, this one included.
    std::uint32_t most = 0;    ///< Tasks of the step that may run on one worker.
    std::uint32_t placed = 0;  ///< Tasks of the step that are placed there, this one included.
    std::uint32_t orphans = 0; ///< Runs of the step that may be there and that are not placed.
    Duration sinceReport{0};   ///< Since the worker's newest report.
    Duration sincePlaced{0};   ///< Since the task was placed there.
};

/** Receives the coordinator's decisions and observations; for logs and metrics. */
class CoordinatorObserver
{
public:
    virtual ~CoordinatorObserver() = default;
    /** A worker crashed, and the run is one of those that may be the cause. */
    virtual void crashCounted(const CountedCrash &counted) = 0;
    /** The worker on which the run was counted as crashed under has not crashed: the same
     * incarnation replied again. */
    virtual void crashWithdrawn(const TaskRef &task, std::uint32_t run, const WorkerId &worker) = 0;
    /** The task is held back after the crashes, once for each time, and again by a coordinator that
     * takes over meanwhile. */
    virtual void taskHeldBack(const TaskRef &task, std::size_t crashes, const HoldBack &hold) = 0;
    /** A run ended without completing its task, which may be placed again. */
    virtual void taskReturned(const TaskRef &task, std::uint32_t run, const WorkerId &worker,
                              RunOutcome outcome) = 0;
    virtual void jobFinished(const Job &job, const JobEnd &end) = 0;
    /** This coordinator takes over a job that a former one has closed: as failed or cancelled, or
     * without publishing it. */
    virtual void closedJobAdopted(const Job &job) = 0;
    virtual void workerEjected(const WorkerId &worker, Duration length) = 0;
    /** Another incarnation of the worker has been seen; former: its state as of the one before. */
    virtual void workerRestarted(const WorkerState &former, std::int64_t startMs) = 0;
    /** The waiting tasks of the service do not all fit into its free capacity, or fit again; the
     * order in which its jobs are served changes with it. */
    virtual void capacityShort(const std::string &service, bool isShort) = 0;
    /** The worker refused an order because it has seen a higher fencing token. */
    virtual void orderFenced(const WorkerId &worker) = 0;
    /** A try to start the run got no reply, so it may still be carried out later; tries counts all
     * so far. */
    virtual void startUnanswered(const TaskRef &task, std::uint32_t run, const WorkerId &worker,
                                 unsigned tries) = 0;
    /** The worker lists a run that is not placed there, as running or with its end. */
    virtual void unplacedRunListed(const TaskRef &task, std::uint32_t run,
                                   const WorkerState &worker, std::optional<RunEnd> end) = 0;
    /** The start of the run is not sent, or revoked; its task is placed anew. */
    virtual void startDropped(const TaskRef &task, std::uint32_t run, const WorkerState &worker,
                              DropReason reason) = 0;
    virtual void boundedStartSent(const BoundedStart &start, const WorkerState &worker) = 0;
    /** The task is done by the end of doneRun; its newer run on the worker may be at work. */
    virtual void runSuperseded(const TaskRef &task, std::uint32_t run, const WorkerState &worker,
                               std::uint32_t doneRun) = 0;
    /** The worker lists runs of more tasks of the step than may run on one worker. */
    virtual void stepBoundExceeded(const StepRef &step, std::size_t listed,
                                   const WorkerState &worker) = 0;
};

/**
 * Places tasks on workers and tracks them until they end; active on one instance at a time.
 *
 * A start is sent only after its record is durable, and the end of a run is acknowledged to its
 * worker only after its record is. Uses no sockets, threads or clocks: every event is passed in by
 * a call, with its time.
 */
class Coordinator
{
public:
    /** Longest time that one hold waits for the end of a run; bounds the time between renewals of
     * leases and between progress reports. A hold is the call that renews a worker's leases, lists
     * its runs, and waits for one of them to end. */
    static constexpr Duration holdWait{1000};
    /** The same for a worker that runs best-effort tasks next to others; shorter, as their pace is
     * set from the metrics in the report. */
    static constexpr Duration sharedHoldWait{500};
    /** The same while the store does not reply, so that little of a lease has passed when this
     * coordinator may no longer renew it. */
    static constexpr Duration outageHoldWait{400};
    /** Time left for renewals from which the store counts as not replying; an owner's records reach
     * a store that is slow at least this long before. */
    static constexpr Duration outageRenewalTime{1800};
    /** Time before the end of its permission at which this coordinator renews leases once more;
     * leaves time for the order to reach the worker. */
    static constexpr Duration finalRenewalTime{200};
    /** Pause between the holds of a worker that has no ends to acknowledge. */
    static constexpr Duration holdGap{25};
    /** Time without a report after which a worker gets no more starts and its leases are no longer
     * renewed; above a hold and its timeout, so that one lost reply costs no lease. */
    static constexpr Duration renewalTimeout{2000};
    /** Part of WorkerBounds::longestDelay in which a former owner may still have renewed leases,
     * when worker and owner are lost together. */
    static constexpr Duration takeoverTime{2000};
    /** Time from the lapse of all leases on a worker until its tasks have started on others. */
    static constexpr Duration replacementTime{250};
    /** Longest lease of a draining worker: it may leave at any moment, and its tasks resume on
     * another worker only after its lease; above the duration of a takeover. */
    static constexpr Duration drainingLease{5000};
    /** Time between holds of an unresponsive worker. */
    static constexpr Duration unresponsiveHoldGap{300};
    /** Time after which a start or stop without a reply is sent again. */
    static constexpr Duration orderRetry{250};
    /** Longest time from a worker's taking of a start until a record says so; a successor judges
     * by it which tasks may have crashed the worker. */
    static constexpr Duration confirmationDelay{500};
    /** Tries of one start without a reply after which the run is abandoned. */
    static constexpr unsigned startTries = 4;
    /** Starts and stops to one worker that await a reply at the same time; each takes a connection.
     * Others wait for their turn. */
    static constexpr unsigned ordersPerWorker = 32;
    /** Ejection of a worker that refused a start or did not reply to it. */
    static constexpr Duration refusalEjection{500};
    /** First ejection of a worker on which distinct jobs failed; doubles with each probe that
     * fails, up to longestEjection(). */
    static constexpr Duration firstEjection{2000};
    /** Time for which a probe has been at work when its worker counts as sound again. */
    static constexpr Duration probeTime{1000};
    /** Longest wait of the holds of a worker with a probe. */
    static constexpr Duration probeHoldWait{100};
    /** Distinct jobs that fail on a worker without a success in between before it is ejected. */
    static constexpr std::size_t failuresToEject = 3;
    /** Least time between two ticks that send orders; short compared to every retry and hold. */
    static constexpr Duration tickGap{8};
    /** Time for which a worker's next incarnation is awaited to confirm that a run, which no report
     * listed, ended with the former one: two holds of one that replies. Started again sooner, a
     * task would meet more restarts in a series of them, and each counts as a crash under it. */
    static constexpr Duration nextReportTime = holdWait * 2;
    /** Time without progress after which a task counts as stalled; a tenth of its estimated run
     * time is added. */
    static constexpr Duration stallTime{2500};

    /** Crashes of workers counted under a task after which its job may fail, if it was the only
     * one that may have been the cause of the last. */
    static constexpr std::size_t crashesToGiveUpAlone = 3;
    /** The same beside others. */
    static constexpr std::size_t crashesToGiveUp = 4;
    /** Of these, those without which no job fails: as many certain ones, */
    static constexpr std::size_t certainCrashesToGiveUp = 2;
    /** or as many that are likely at least, */
    static constexpr std::size_t likelyCrashesToGiveUp = 2;
    /** among as many that are more than possible. */
    static constexpr std::size_t silentCrashesToGiveUp = 3;
    /** Crashes counted under a task from which its starts are watched: sent to a worker that has
     * just replied and that is asked often afterwards, so that the next crash is more than
     * possible. */
    static constexpr std::size_t crashesToWatch = 2;
    /** Greatest age of a worker's reply when a watched start is sent to it. */
    static constexpr Duration watchedReplyAge{100};
    /** Longest wait of the holds of a worker with a watched start. */
    static constexpr Duration watchedHoldWait{100};
    /** Crashes counted under a task from which it is held back before each start; the platform
     * allows two starts after the third crash. */
    static constexpr std::size_t crashesToHoldBack = 5;
    /** Time for which it is held back. Leaves an innocent task time to run before the platform asks
     * for its end. */
    static constexpr Duration holdBackOfPossibleCause{10000};
    /** The same of a task with silentCrashesToGiveUp crashes that are more than possible; doubles
     * with each further crash. */
    static constexpr Duration firstHoldBackOfLikelyCause{60000};
    static constexpr Duration longestHoldBack{120000};
    /** Time for which a long-running task is held back that is the cause of crashes; well below
     * the delay that the platform allows it. */
    static constexpr Duration longRunningHoldBack{2000};
    /** Time that a run has been at work from which its task is not taken for the cause of crashes.
     */
    static constexpr Duration harmlessAge{5000};
    /** The same from the placement by a former coordinator; allows for the time until the loss of
     * the worker shows. */
    static constexpr Duration adoptedHarmlessAge{20000};
    /** Longest time from the start of a task until its worker crashes for it. */
    static constexpr Duration crashDelay{1000};
    /** Time without a reply after which it is not known whether a worker was reachable; above
     * watchedHoldWait with a round trip, and unresponsiveHoldGap. */
    static constexpr Duration contactGap{400};
    /** Time between ticks from which replies may have waited in buffers; a part of contactGap. */
    static constexpr Duration longestProcessingGap{200};
    /** Time after such a pause in which replies that have waited are processed. */
    static constexpr Duration backlogTime{200};

    /** Delay of a long-running task from which it is reported; above a usual move to another
     * worker, half of what the platform allows. */
    static constexpr Duration delayToReport{3000};

    Coordinator(JobTable &table, const WorkerBounds &bounds, OrderSender &orders,
                CoordinatorObserver &observer);

    /** Returns the length of the leases on workers that take tasks: the longest with which the
     * tasks of a worker that is lost run again within WorkerBounds::longestDelay. */
    Duration leaseLength() const;

    /** Returns the longest ejection: two probes fit into WorkerBounds::longestDelay, as the first
     * one may come just before the worker recovers, and a task may have no other worker. */
    Duration longestEjection() const;

    /** Returns the longest time from the beginning of such a lease until its runs have ended, also
     * on a worker whose clock is slow. */
    Duration longestLeasedRun() const;

    /** Takes over under the epoch; leases that a former coordinator granted lapse at the given
     * time, on the workers in silent at the earlier time there. */
    void begin(std::uint64_t epoch, Instant now, std::int64_t unixMs, Instant formerLeasesLapse,
               const SilentWorkers &silent = {});

    /** Returns the workers with tasks that do not reply, for the next coordinator; valid if this
     * one prolongs no leases any more. */
    SilentWorkers silentWorkers(Instant now) const;

    /** Returns the workers with tasks that get no orders with a lease end, for a record that a
     * successor reads. From now on they get none, also if they reply, until a later such record
     * without them is stored. */
    SilentWorkers announceSilent(Instant now);

    /** Called when the record of the last announceSilent() is stored. */
    void silentAnnounced();

    /** Returns whether a worker replies that the newest record calls silent. */
    bool announcementOutdated(Instant now) const;

    /** Discards all state; sends no more orders. */
    void end();

    /** Returns what this coordinator found placed when it took over. */
    const AdoptedTasks &adoptedTasks() const { return this->adopted; }

    bool active() const { return this->epoch != 0; }
    std::uint64_t currentEpoch() const { return this->epoch; }

    /** Returns whether a worker has refused the current epoch as its fencing token. */
    bool fenced() const { return this->fencedByWorker; }

    void setConfig(const JobConfig &config);
    void setWorker(const WorkerEntry &entry, Instant now);
    void removeWorker(const WorkerId &id, Instant now);

    /** Sets the zones in which nothing is placed or started; what runs there continues. Holds until
     * the next call, also for later terms as coordinator. */
    void setEvacuatedZones(const std::set<ZoneId> &evacuated, Instant now);

    /** Returns whether the zone of the worker is evacuated. */
    bool isEvacuated(const WorkerId &id) const;

    /** Returns the number of listed workers of the zone. */
    std::size_t workersOf(const ZoneId &zone) const;

    void jobSubmitted(Job &job);
    void jobCancelled(Job &job, Instant now);

    /** Applies the outcome of a hold, and its report if the worker accepted it. */
    void holdAnswered(const WorkerId &id, Instant sentAt, Instant now, OrderOutcome outcome,
                      const WorkerReport &report);
    void startAnswered(const WorkerId &id, const TaskRef &ref, std::uint32_t run, Instant now,
                       OrderOutcome outcome);
    void stopAnswered(const WorkerId &id, const TaskRef &ref, std::uint32_t run, Instant now,
                      OrderOutcome outcome);

    void paceAnswered(const WorkerId &id, const TaskRef &ref, std::uint32_t run,
                      std::uint32_t percent, OrderOutcome outcome);

    /** Notes that the worker closed, reset or refused the connection of an order; the order's
     * outcome follows. Ignored if the order was for another incarnation than the present one; its
     * start is in ms since 1970, 0: any. */
    void connectionClosed(const WorkerId &id, Instant now, std::int64_t incarnationStartMs = 0);

    /** Applies the advisory service's reply; nothing if it did not reply in time. */
    void adviceAnswered(const StepRef &step, const std::optional<Advice> &advice, Instant now);

    /** Sends holds and repeated orders that are due, and sets tasks on workers whose leases have
     * certainly lapsed back to waiting. */
    void tick(Instant now, std::int64_t unixMs, bool mayRenew);

    /** Sets until when this coordinator may renew leases without a further reply of the store. */
    void setRenewalEnd(Instant end) { this->renewalEnd = end; }

    /** Pauses or resumes the placing and starting of tasks. */
    void pauseStarts(bool pause);
    bool startsPaused() const { return this->pausesStarts; }

    /** Places waiting tasks that are due and whose dependencies are done. */
    void plan(Instant now, std::int64_t unixMs);

    /** Returns the learned interference of images, for the next coordinator. */
    jobs::LearntPressures pressures() const { return this->interference.toMessage(); }

    /** Returns the current statistics; walks all open jobs. */
    CoordinatorStatistics statistics(Instant now) const;

    /** Returns the long-running tasks that have been delayed for delayToReport or longer; walks all
     * open jobs. */
    std::vector<DelayedTask> delayedTasks(Instant now) const;

    /** Returns the open jobs of which nothing has been at work for delayToReport or longer though
     * the turn of a task has come, by occurrence; walks all open jobs. */
    std::vector<IdleJob> idleJobs(Instant now) const;

    /** Returns what keeps a waiting task from the workers; walks all workers of its service. */
    PlacementObstacle obstacleFor(const TaskRef &ref, Instant now);

    bool wantsCommit() const
    {
        return !this->dirty.empty() || this->acknowledgeDirty || !this->removals.empty();
    }

    /** Returns the progress records to append next, in this order; committed() reports them all
     * durable. A successor may find any number of the first ones. */
    std::vector<JobRecord> takeBatch();

    /** Returns records of the states to publish to clients; statusesStored() reports them
     * durable. */
    std::vector<JobRecord> takeStatuses();
    void statusesStored();

    /** Sends the starts and acknowledgements that waited for the batch to become durable. */
    void committed(Instant now, bool maySend);

private:
    /** A start or stop that is not settled yet. */
    struct OpenOrder
    {
        std::uint32_t run = 0;
        WorkerId worker;
        Instant retryAt;
        std::uint64_t number = 0; ///< Rises with each start that is opened.
        unsigned priority = 0;
        unsigned tries = 0;
        Instant sentAt;          ///< Of the newest try.
        bool unanswered = false; ///< Some try had no reply and may still be carried out.
        bool inFlight = false;
        bool acknowledged = false;
        Instant acknowledgedAt;
        /** Of a stop: when the task is returned unless a report has listed the run; unset: not
         * before it is settled. */
        Instant returnAt;
    };

    /** Rules of a job: its queue's or, once the queue is removed, those of its submission. */
    struct JobRules
    {
        const std::string &service;
        unsigned priority = 0;
        unsigned attempts = 1;
        double stretch = 1.0;
        Duration targetLatency{0};
    };

    struct RecordedStart
    {
        TaskRef ref;
        std::uint32_t run = 0;
    };

    using Workers = std::unordered_map<std::string, std::unique_ptr<WorkerState>>;

    /** Orders jobs by id, so that the same input gives the same decisions. */
    struct ById
    {
        bool operator()(const Job *left, const Job *right) const
        {
            return left->id() < right->id();
        }
    };
    using JobSet = std::set<Job *, ById>;
    /** Jobs to give up, each with the task under which workers crashed. */
    using GivenUp = std::vector<std::pair<Job *, TaskRef>>;

    /** Results that are valid within one plan, in which free capacity only shrinks. */
    struct PlanRound
    {
        Instant now;
        std::int64_t unixMs = 0;
        UnplaceableDemands unplaceable;
        /** Demands for which no preemption was possible, by priority. */
        std::map<unsigned, UnplaceableDemands> unplaceableByPreemption;
        std::map<std::string, bool> mostlyFree; ///< By service.
        bool mayPreempt = false;
        /** Tasks of the job that may still be placed; unset: all. */
        std::optional<std::size_t> left;
    };

    WorkerState *findWorker(const WorkerId &id);
    /** Returns the workers of the job's service. */
    const std::vector<WorkerState *> &candidates(const Job &job);
    /** Groups the workers by service and counts them by zone, after a change. */
    void groupWorkers();
    /** Sets for each worker whether its whole zone is unresponsive. */
    void markUnresponsiveZones();
    /** Returns the workers of the job's service, only those with a ticket if the queue needs
     * advice. */
    std::vector<WorkerState *> allowed(const Job &job, std::uint32_t occurrence, std::uint32_t step,
                                       Instant now);
    /** Asks for advice on workers for the step, usable ones first. */
    void askAdvice(const Job &job, const StepRun &run, Instant now);
    const QueueConfig *queueOf(const Job &job) const;
    JobRules rulesOf(const Job &job) const;
    /** Takes over the job with the tasks that a former coordinator placed. */
    void adopt(Job &job, Instant now);
    OrderTarget targetOf(const WorkerState &worker) const;
    /** Returns the target of an order that no other incarnation may carry out: one with a lease
     * end, or with a number of ends, which each incarnation counts anew. */
    OrderTarget targetOfIncarnation(const WorkerState &worker) const;

    /** Returns why the waiting task is not placed. */
    bool isAtWork(const Task &task, Instant now) const;
    /** Returns what the task of an idle job waits for. */
    DelayedTask idleTask(const Job &job, const TaskRef &ref, Instant now) const;
    /** Returns the occurrence if a turn has come in it and nothing is at work. */
    std::optional<IdleJob> idleOccurrence(const Job &job, std::uint32_t occurrence,
                                          Instant now) const;
    DelayReason waitingReason(const TaskRef &ref, const Task &task, const StepWait *wait,
                              Instant now) const;
    /** Returns why the long-running task does not run; nothing if it does. */
    std::optional<DelayedTask> delayOf(const Job &job, const StepRun &run, std::uint32_t index,
                                       Instant now) const;

    void applyRunning(WorkerState &worker, const RunningTask &running, Instant now);
    /** Tells the observer of steps of which the worker lists more tasks than may run there; once
     * for as long as it does. */
    void reportExceededBounds(WorkerState &worker, const WorkerReport &report);
    /** Tells the observer of a start that is sent, if its step bounds its tasks on one worker. */
    void reportBoundedStart(const Job &job, const TaskRef &ref, const Task &task, unsigned tries,
                            const WorkerState &worker, Instant now) const;
    /** Applies a run that the worker lists and no record places there: it is stopped. */
    void applyOrphan(WorkerState &worker, const Job *job, const RunRef &run, Instant now);
    /** Makes the run of a task that is done by an earlier one an orphan run, if it may be at work:
     * it is stopped, and keeps its place until it has ended. */
    void supersede(const Job &job, const TaskRef &ref, const Task &task, std::uint32_t doneRun,
                   Instant now);
    void stopOrphan(WorkerState &worker, const RunRef &run, OrphanRun &orphan, Instant now);
    /** Applies the reply to the stop of an orphan run. */
    void orphanStopped(WorkerState &worker, const RunRef &run, Instant now, OrderOutcome outcome);
    /** Removes the orphan runs that have ended, as the report that was asked for at the time does
     * not list them. Others are stopped again. */
    void removeEndedOrphans(WorkerState &worker, Instant askedAt, Instant now);
    /** Removes all orphan runs of the worker. */
    void removeOrphans(WorkerState &worker);
    void removeOrphan(WorkerState &worker, const RunRef &run);
    /** Returns whether an orphan run of the task may be running, so that it may not be started. */
    bool hasOrphanRun(const TaskRef &ref, Instant now) const;
    void applyEnded(WorkerState &worker, const EndedTask &ended, Instant now);
    /** Applies the end of a run that no record placed on its worker. */
    void applyOrphanEnd(Job &job, const EndedTask &ended, Task &task, Instant now);
    /** Sets tasks back to waiting that the report of a hold sent at sentAt should list and does
     * not. */
    void returnMissing(WorkerState &worker, const WorkerReport &report, Instant sentAt,
                       Instant now);
    /** Samples the metrics of the worker's tasks and sets the pace of its best-effort tasks. */
    void adjustPace(WorkerState &worker, Instant now);
    void sampleServing(WorkerState &worker, Instant now);
    void sampleBestEffort(WorkerState &worker, Instant now);
    /** Returns the worker's best-effort tasks with the paces that its serving tasks tolerate. */
    std::vector<PacedTask> tolerablePaces(const WorkerState &worker, Instant now);
    /** Returns the pace, 0 to 1, below which the task is only slowed while a serving task beside it
     * misses its target. */
    double leastPaceOf(const Job &job, const Task &task);
    /** Returns whether the slowed task is better off on another worker: once it has lost as much
     * time as the move costs, or, once it has been halted for long, at the cost of another
     * slowdown. */
    bool canResumeElsewhere(const WorkerState &worker, const PacedTask &paced, Instant now);
    void setPace(const WorkerState &worker, const TaskRef &ref, Task &task, std::uint32_t percent,
                 Instant now);
    /** Sets all tasks of a worker whose incarnation is gone back to waiting. */
    void returnTasksOf(WorkerState &worker, Instant now);
    /** Sets the tasks of a worker on which all leases have lapsed back to waiting. */
    void returnLapsedTasks(WorkerState &worker, Instant now);
    /** Discards a worker that is not listed and runs nothing. */
    void discardWorker(const std::string &id);
    /** Has the next incarnation of its worker confirm that a run has ended with the former one. */
    void stopEndedRun(const TaskRef &ref, Task &task, Instant now);
    /** Returns such tasks whose worker's next incarnation has not replied in time. */
    void returnEndedRuns(Instant now);
    /** Applies a restart of the worker: sets its tasks back to waiting, those that no report has
     * listed once the new incarnation has confirmed it. */
    void applyRestart(WorkerState &worker, std::int64_t incarnationStartMs, Instant now);
    /** Stops tasks that were placed on an earlier incarnation than the newest one in records. */
    void stopRunsOfEarlierIncarnations(WorkerState &worker, Instant now);
    /** Counts the failure of a job's run on the worker; ejects the worker after failuresToEject
     * jobs, or if it was a probe. */
    void recordFailure(WorkerState &worker, const JobId &job, const Task &task, Instant now);
    /** Counts a probe as a success once its run has been at work for probeTime. */
    void noteProbeAtWork(WorkerState &worker, const TaskRef &ref, const Task &task, Instant now);
    /** Places nothing on the worker for the time; the observer only receives ejections for
     * failures. */
    void eject(WorkerState &worker, Duration length, Instant now);

    /** Returns which task counts for the given one: of a gang, its first member. */
    static TaskRef countedRef(const Job &job, const TaskRef &ref);
    /** Returns the task in which what concerns the whole gang is counted: its first member. */
    static Task &countedTask(Job &job, const TaskRef &ref);
    /** Returns whether the task's run may have begun on its worker and crashed it. */
    bool mayBeCause(const WorkerState &worker, const TaskRef &ref, const Task &task) const;
    /** Returns the tasks that may be why the worker crashed: those that began last. */
    std::vector<std::pair<TaskRef, Job *>> causesOfCrash(const WorkerState &worker) const;
    /** Returns what tells that the worker crashed while the task's run was at work. */
    static jobs::CrashEvidence evidenceOf(const WorkerState &worker, const Task &task,
                                          jobs::CrashSign sign, Instant now);
    /** Returns what the worker's closing of its connections tells of the task's run;
     * replacedAtOnce: another incarnation replied soon after. */
    static jobs::CrashEvidence evidenceOfClosing(const WorkerState &worker, const Task &task,
                                                 bool replacedAtOnce);
    /** Returns since when what is processed now may have waited: the coordinator may have been
     * paused, or have had no processor. */
    Instant receivedNotBefore(Instant now) const;
    /** Notes that the worker replied to an order that was sent at the time. */
    void noteReply(WorkerState &worker, Instant sentAt, Instant now);
    /** Notes that an order that was sent to the worker at the time ended without a reply. */
    void noteNoReply(WorkerState &worker, Instant sentAt);
    /** Has the records of watched runs say what the worker's closing of connections tells; nothing
     * if it is refuted, as the worker replies again or its path is cut. */
    void setClosing(WorkerState &worker, bool refuted);
    /** Has the records of runs on a worker that leaves say that they are not watched: it closes its
     * connections and is silent then, which a successor could take for a crash. */
    void endWatches(WorkerState &worker);
    /** Counts the crashes with at least the evidence. */
    static std::size_t countOf(const std::vector<CrashedRun> &crashes, jobs::CrashEvidence least);
    /** Returns whether what is known of the crashes is enough to give the task up. */
    static bool isCause(const std::vector<CrashedRun> &crashes, std::size_t enough);
    /** Returns for how long the waiting task is held back after crashes; nothing if it is not. */
    std::optional<HoldBack> holdBackOf(const Job &job, const TaskRef &ref, Instant now) const;
    /** Tells the observer of the task if it is held back. */
    void reportHoldBack(const Job &job, const TaskRef &ref, Instant now);
    /** Returns whether the worker has a watched start, or waits for one. */
    static bool isWatched(const WorkerState &worker, Instant now);
    /** Counts a crash of the worker for its tasks that may be the cause; returns the jobs that are
     * to be given up. */
    GivenUp countCrash(const WorkerState &worker, jobs::CrashSign sign, Instant now);
    /** Discards the crashes that were counted as the worker was silent: it replies, as the same
     * incarnation. */
    void withdrawCrashes(const WorkerState &worker);
    /** Closes the jobs as failed. */
    void giveUp(const GivenUp &tasks, Instant now);
    /** Places the waiting tasks of the step under which workers have crashed, apart from others,
     * as far as workers can take them. */
    void placeSuspects(Job &job, StepRun &run, const std::vector<WorkerState *> &candidates,
                       PlacementRequest request, Instant now);
    /** Returns whether the waiting task may be placed: no earlier run of it may be running, and it
     * is not held back after crashes. */
    bool mayPlace(const Job &job, const StepRun &run, std::uint32_t index, Instant now) const;
    /** Takes the task for harmless, and discards its crashes, once its run has been at work for
     * harmlessAge. */
    void noteAtWork(WorkerState &worker, Job &job, const TaskRef &ref, Task &task, Instant now);

    /** Applies the end of the run as done, which need not be the task's newest one. */
    void finishTask(Job &job, const TaskRef &ref, Task &task, std::uint32_t endedRun, Instant now);
    /** Counts a failed run, once; returns whether the task has used up its attempts. */
    bool countFailure(Job &job, const TaskRef &ref, std::uint32_t run);
    void failTask(Job &job, const TaskRef &ref, Task &task, Instant now);
    /** Ends the task's run and sets the task to wait for its next placement. */
    void returnTask(Job &job, const TaskRef &ref, Task &task, RunOutcome outcome, Instant now);
    /** Stops the other members of a gang after one of its runs has ended. */
    void breakGang(Job &job, const TaskRef &ref, Instant now);
    void closeJob(Job &job, Job::State state, const JobEnd &end, Instant now);
    /** Closes the job as failed because of the task. */
    void failJob(Job &job, JobEndReason reason, const TaskRef &ref, Instant now);
    void stopAll(Job &job, Instant now);
    void stopTask(const TaskRef &ref, Task &task, Instant now);
    /** Takes the task off its worker and drops its open orders. */
    void detach(const TaskRef &ref, Task &task);
    /** Has the next batch record the state of the job as a whole. */
    void markDirty(Job &job);
    /** Has the next batch record the state of the task. */
    void markDirty(Job &job, const TaskRef &ref);
    /** Adds the records of what has changed of the job. */
    void addRecords(Job &job, std::vector<JobRecord> &records);
    /** Has the next batch remove the records of the parts of a job that is over. */
    void removeParts(Job &job);
    /** Returns whether as many starts are open as the coordinator's connections and link bear. */
    bool startsAreLimited() const;
    /** Returns the number of starts that are being recorded or await a reply. */
    std::size_t countOpenStarts() const;
    /** Has a record say that the task's worker took its start: for a long-running step with the
     * next batch, once none of its starts is open, otherwise after confirmationDelay. */
    void confirmStart(Job &job, const TaskRef &ref, Instant now);
    /** Adds the tasks of unrecordedStarts to the next batch once they are due. */
    void recordConfirmations(Instant now);
    /** The same of one step, at once. */
    void recordConfirmations(Job &job, std::uint32_t occurrence, std::uint32_t step);
    /** Notes that a worker has taken a start of the job, so that it no longer counts as waiting. */
    void noteBegun(Job &job);
    /** Publishes the job's state to clients if it has changed. */
    void publishState(Job &job);
    void noteFenced(const WorkerId &id);

    /** Counts the job's work into the mean of its queue. */
    void countWork(const Job &job);
    /** Returns the open jobs with tasks to place, in the order in which they are served. */
    std::vector<Job *> orderOfService(Instant now);
    /** Determines which services are short of capacity, and reports changes. */
    void updateShortServices(Instant now);
    /** Returns the services whose waiting tasks do not all fit into their free capacity. */
    std::set<std::string> servicesShortOfCapacity(Instant now);
    /** Adds the tasks of the job that may be placed now to the demand of its service. */
    void addWaiting(const Job &job, std::map<std::pair<std::string, bool>, WaitingDemand> &demands);
    DelayFacts delayFactsOf(const Job &job) const;
    /** Returns the same as of the first occurrence that is due and not done. */
    DelayFacts delayFactsOfOccurrence(const Job &job, Instant now) const;
    /** Places what fits of the job; returns whether some of it is still to be placed. */
    bool planJob(Job &job, PlanRound &round);
    void planStep(Job &job, StepRun &run, PlanRound &round);
    /** Places one task of each job that stands still. */
    void planIdleJobs(const std::vector<Job *> &order, PlanRound &round);
    /** Returns whether no task of the job is placed, nor was at work for idleTurnAfter. */
    bool standsStill(const Job &job, Instant now) const;
    /** Returns whether a search for a worker would be unsuccessful, or comes too soon after the
     * last one. */
    bool isUnplaceable(Job &job, std::uint32_t occurrence, std::uint32_t step, PlanRound &round);
    /** Returns whether most capacity of the job's service is free. */
    bool isMostlyFree(const Job &job);
    ResourceDemand demandOf(const Job &job, std::uint32_t step, bool allowInterference,
                            bool mayCrowd) const;
    /** Returns whether tasks of a best-effort step may be placed where they slow serving tasks. */
    bool mayInterfere(Job &job, std::uint32_t occurrence, std::uint32_t step, PlanRound &round);
    bool isMostlyFree(const Job &job, PlanRound &round);
    /** Returns whether a best-effort task of the step may be placed where other best-effort tasks
     * use the processors that are left; it shares them. */
    bool mayCrowd(const Job &job, std::uint32_t step, bool allowInterference, PlanRound &round);
    /** Stops tasks of lower priority for a task of the step that found no worker. */
    void preempt(const Job &job, const StepRun &run, PlanRound &round);
    /** Stops the tasks that free capacity for a task of the step at the least cost to callers;
     * returns false if no set of tasks on one worker does. */
    bool stopVictimsFor(const Job &job, const StepRun &run, Instant now);
    /** Returns whether the task may be stopped for one of the priority. */
    bool isPossibleVictim(const Job &job, const TaskRef &ref, const Task &task,
                          unsigned priority) const;
    /**
     * Returns whether long-running tasks of the step have to wait so that short-lived tasks find
     * capacity: they only take slots that have been free for a while.
     */
    bool yieldsToShortLived(Job &job, const StepRun &run, std::int64_t freeSlots, Instant now);
    /** Returns how many tasks of the step fit on the workers, counted up to the number that
     * yieldsToShortLived() needs. */
    std::int64_t countFreeSlots(Job &job, const StepRun &run);
    /** Places all tasks of a gang, or of a tightly coupled step within one rack, or none. */
    void planTogether(Job &job, StepRun &run, Instant now);
    /** Places all tasks of the step on the rack, or anywhere if it is empty; returns false, with
     * nothing placed, if one of them does not fit. */
    bool placeTogether(Job &job, StepRun &run, const std::string &rack, Instant now);
    void place(Job &job, StepRun &run, std::uint32_t index, WorkerState &worker, Instant now);

    /** Sends the start, or abandons it if the worker no longer replies. */
    void sendStart(Job &job, const TaskRef &ref, Task &task, Instant now);
    /** Returns whether the worker may get orders with a lease end. An order without a reply may
     * have been applied, so an unresponsive worker gets none and its leases certainly lapse. */
    static bool mayProlongLeases(const WorkerState &worker, Instant now);
    /** Sets a task that was not confirmed to run back to waiting, or stops its run if some try may
     * still be carried out. */
    void abandonStart(Job &job, const TaskRef &ref, Task &task, Instant now);
    /** The same for the reason, of which the observer is told. */
    void dropStart(Job &job, const TaskRef &ref, Task &task, const WorkerState &worker,
                   DropReason reason, Instant now);
    /** Returns which condition of its placement does not hold any more on the worker of the task,
     * whose start is not confirmed; nothing if all of them hold. */
    std::optional<DropReason> dropReason(const Job &job, const TaskRef &ref,
                                         const WorkerState &worker, Instant now) const;
    /** Drops the starts in evacuated zones that do not await a reply. */
    void dropEvacuatedStarts(Instant now);
    /** Returns whether the worker's zone alone, which is evacuated, keeps it from taking the step.
     */
    bool isHeldByEvacuation(const Job &job, std::uint32_t step) const;
    /** Adds the delayed tasks of steps of which no task was ever placed, if that is why. */
    void addDelayedByEvacuation(const Job &job, Instant now,
                                std::vector<DelayedTask> &delayed) const;
    void sendStop(WorkerState &worker, const TaskRef &ref, std::uint32_t run);
    /** Sends the open stop unless too many orders to its worker await a reply. */
    void trySendStop(const TaskRef &ref, OpenOrder &open, Instant now);
    /** Notes that a start or stop to the worker awaits its reply no longer. */
    void noteOrderAnswered(const WorkerId &id);
    /** Returns whether the stop need not be sent again: the run has ended, or never begins. */
    static bool isSettledStop(OrderOutcome outcome);
    void sendHold(WorkerState &worker, Instant now, bool mayRenew);
    /** Returns the longest time between two renewals of a worker's leases. */
    Duration longestHold(Instant now) const;
    void retryOrders(Instant now, bool mayRenew);
    /** Stops tasks that have made no progress for too long. */
    void stopStalled(WorkerState &worker, Instant now);
    /** Stops tasks on draining workers if other workers have free slots for them. */
    void moveFromDraining(Instant now);
    void moveFromDraining(WorkerState &worker, std::int64_t &wanted, Instant now);
    /** Returns the number of free slots for tasks of the step on workers that may take some. */
    std::int64_t slotsElsewhere(const Job &job, std::uint32_t occurrence, std::uint32_t step,
                                Instant now);
    /** Returns whether the task may be stopped without more of its step missing than allowed. */
    bool mayInterrupt(const Job &job, const TaskRef &ref) const;

    JobTable &table;
    const WorkerBounds bounds;
    OrderSender &orders;
    CoordinatorObserver &observer;
    InterferenceModel interference;
    PlacementPolicy policy;
    PacePolicy pacePolicy;
    AdviceCache advice;
    JobConfig config;

    std::uint64_t epoch = 0;
    Instant begunAt;   ///< When this coordinator took over.
    Instant pausedAt;  ///< When it last ticked before a pause.
    Instant resumedAt; ///< When it first ticked after that; unset: there was none.
    Instant formerLeasesLapse;
    AdoptedTasks adopted;
    Instant renewalEnd{INT64_MAX}; ///< Until when leases may be renewed.
    std::int64_t unixMs = 0;
    Workers workers;
    /** Workers by service; rebuilt on use after a change. */
    std::map<std::string, std::vector<WorkerState *>> pools;
    bool poolsStale = true;
    ZoneFailureDetector zones{holdWait};
    std::set<ZoneId> evacuatedZones; ///< Kept by end(), as requests outlive a term.
    std::unordered_map<std::string, const QueueConfig *> queues; ///< Of config, by name.
    JobSet open;     ///< Jobs that are not closed or still have placed tasks.
    JobSet unplaced; ///< Open jobs with tasks that may have to be placed, now or later.
    std::map<TaskRef, OpenOrder> starts;
    StartLimit startLimit;
    std::uint64_t openedStarts = 0; ///< Number of the start that was opened last.
    std::map<TaskRef, OpenOrder> stops;
    /** Tasks with orphan runs, and the workers of these. */
    std::set<std::pair<TaskRef, std::string>> orphanedTasks;
    /** Tasks for which a crash was counted as their worker was silent, by worker. */
    std::map<std::string, std::vector<TaskRef>> silentCrashes;
    JobSet dirty;                      ///< Jobs whose progress the next batch records.
    std::vector<std::string> removals; ///< Keys that the next batch removes.
    bool pausesStarts = false;
    bool planNeeded = false;
    /** Sum of the estimated work of a queue's jobs, and their number. */
    struct QueueWork
    {
        double sum = 0.0;
        double jobs = 0.0;
    };
    std::map<std::string, QueueWork> workOfQueues;
    /** Services that were short of capacity at the last plan. */
    std::set<std::string> shortServices;
    bool hasWaitingTasks = false;        ///< The last plan left tasks waiting.
    std::int64_t waitingLongRunning = 0; ///< Long-running tasks that the last plan left waiting.
    Instant movedAt;                     ///< When tasks on draining workers were last checked.
    std::int64_t nextDueMs = INT64_MAX;  ///< When the next occurrence is due, in ms since 1970.
    Instant plannedAt;
    Instant preemptedAt; ///< When a preemption was last tried.
    Instant tickedAt{-1000000};
    std::uint64_t searches = 0;
    std::uint64_t reports = 0;          ///< Number of reports applied.
    Instant shortLivedOpenAt{-1000000}; ///< When a job with short-lived tasks was last open.
    std::set<TaskRef> unrecordedStarts; ///< Taken starts that no record confirms yet.
    Instant unrecordedStartsDue;
    std::set<std::string> lapsedWorkers; ///< Whose leases have lapsed since the last batch.
    bool acknowledgeDirty = false;       ///< Some applied end is not acknowledged to its worker.
    bool fencedByWorker = false;
    std::vector<RecordedStart> recording; ///< Starts that the next batch makes durable.
    std::vector<RecordedStart> inBatch;   ///< Starts that the batch in flight makes durable.
    std::vector<Job *> inRecords;         ///< Jobs whose progress is in the batch in flight.
    JobSet unpublished;                   ///< Jobs whose state is to be published.
    std::vector<std::pair<Job *, Job::State>> publishing; ///< States in flight to the store.
    /** Ends of one incarnation of a worker that the batch in flight makes durable. */
    struct Acknowledgement
    {
        std::string worker;
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0; ///< Of the newest end.
    };
    std::vector<Acknowledgement> acknowledging;
};

} // namespace godwitfall
