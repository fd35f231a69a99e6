#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "advicecache.h"
#include "coordinatorfigures.h"
#include "jobtable.h"
#include "orders.h"
#include "pacepolicy.h"
#include "placementpolicy.h"
#include "queueconfig.h"
#include "unplaceabledemands.h"
#include "workersearch.h"
#include "workerstate.h"
#include "zonefailuredetector.h"

namespace godwitfall {

/** Why a run is over, or why its task may start again; closed list for logs. */
enum class RunOutcome : std::uint8_t {
    Done,
    Failed,
    Stopped,
    Lapsed,
    GangBroken,
    GangIncomplete,
    Lost,       ///< Its worker does not know it.
    Refused,    ///< Its worker did not take the start.
    WorkerGone, ///< Another life answered, or the lease has surely lapsed.
};

/** Returns the outcome as a word for logs. */
const char *toText(RunOutcome outcome);

/** Told what the coordinator decides; for logs and metrics. */
class CoordinatorObserver
{
public:
    virtual ~CoordinatorObserver() = default;
    virtual void taskReturned(const TaskRef &task, std::uint32_t run, const WorkerId &worker,
                              RunOutcome outcome) = 0;
    virtual void jobFinished(const Job &job) = 0;
    virtual void workerRests(const WorkerId &worker, Duration length) = 0;
    virtual void workerReborn(const WorkerId &worker) = 0;
    virtual void superseded(const WorkerId &worker) = 0;
};

/**
 * Places tasks on workers and follows them to their end; one instance at a time does.
 *
 * A start is ordered only after its record is durable, and an end is acknowledged to its worker
 * only after its record is. Free of sockets, threads and clocks: calls bring events with their
 * time.
 */
class Coordinator
{
public:
    /** Longest wait for an end in one hold; keeps leases renewed and percentages fresh. */
    static constexpr Duration holdWait{1000};
    /** The same for a worker on which filling tasks work beside others, whose figures matter. */
    static constexpr Duration sharedHoldWait{500};
    /** Pause between holds of a worker that has ends to acknowledge or to collect. */
    static constexpr Duration holdGap{25};
    /** Silence after which a worker's leases are no longer renewed; above a hold and its timeout,
     * so that one lost answer costs no lease. */
    static constexpr Duration renewalSilence{2000};
    /** Longest lease of a worker that is draining: it may leave at any moment, and what it runs
     * goes on elsewhere only after its lease; above a take-over. */
    static constexpr Duration drainingLease{5000};
    /** Time between holds of a silent worker. */
    static constexpr Duration silentHoldGap{300};
    /** Time after which an unanswered start or stop is repeated. */
    static constexpr Duration orderRetry{250};
    /** Unanswered starts of one run after which it is taken back. */
    static constexpr unsigned startTries = 4;
    /** Rest of a worker that would not take a start. */
    static constexpr Duration refusalRest{500};
    /** First rest of a worker on which distinct jobs failed; doubles each time. */
    static constexpr Duration failureRest{2000};
    static constexpr Duration longestRest{16000};
    /** Distinct jobs that fail on a worker, without a success between, before it rests. */
    static constexpr std::size_t failuresToRest = 3;
    /** Least time between two looks at what is due; short beside every retry and hold. */
    static constexpr Duration tickGap{8};
    /** Time without progress after which a task counts as stalled, beyond twice its estimate. */
    static constexpr Duration stallTime{2500};

    Coordinator(JobTable &table, const WorkerBounds &bounds, OrderSender &orders,
                CoordinatorObserver &observer);

    /** Takes over under the epoch; leases granted before lapse at the given time. */
    void begin(std::uint64_t epoch, Instant now, std::int64_t unixMs, Instant formerLeasesLapse);

    /** Gives everything up; orders nothing more. */
    void end();

    bool active() const { return this->epoch != 0; }
    std::uint64_t currentEpoch() const { return this->epoch; }

    /** Returns whether a worker has refused the epoch as fencing token since it began. */
    bool fenced() const { return this->fencedByWorker; }

    void setConfig(const JobConfig &config);
    void setWorker(const WorkerEntry &entry, Instant now);
    void removeWorker(const WorkerId &id, Instant now);
    void jobSubmitted(Job &job);
    void jobCancelled(Job &job, Instant now);

    void reported(const WorkerId &id, Instant sentAt, Instant now, OrderOutcome outcome,
                  const WorkerReport &report);
    void startAnswered(const WorkerId &id, const TaskRef &ref, std::uint32_t run, Instant now,
                       OrderOutcome outcome);
    void stopAnswered(const WorkerId &id, const TaskRef &ref, std::uint32_t run, Instant now,
                      OrderOutcome outcome);

    void paceAnswered(const WorkerId &id, const TaskRef &ref, std::uint32_t run,
                      std::uint32_t percent, OrderOutcome outcome);

    /** Takes in what the service outside answered; nothing when it did not in time. */
    void advised(const StepRef &step, const std::optional<Advice> &advice, Instant now);

    /** Sends what is due: holds, repeats, and declares lapsed what surely has. */
    void tick(Instant now, std::int64_t unixMs, bool mayRenew);

    /** Keeps starts back, or lets them go again. */
    void holdStarts(bool hold);
    bool holdsStarts() const { return this->startsHeld; }

    /** Places waiting tasks whose turn has come. */
    void plan(Instant now, std::int64_t unixMs);

    /** Returns what it has learnt of images, for its successors. */
    jobs::LearntPressures pressures() const { return this->interference.toMessage(); }

    /** Returns what the coordinator sees now; walks all open jobs. */
    CoordinatorFigures figures(Instant now) const;

    bool wantsCommit() const { return !this->dirty.empty() || this->acknowledgeDirty; }

    /** Takes the progress to append next; committed() says that it is durable. */
    std::vector<JobRecord> takeBatch();

    /** Takes what clients are to be told of jobs; statusesStored() says that it is durable. */
    std::vector<JobRecord> takeStatuses();
    void statusesStored();

    /** Sends the starts and raises the acknowledgements that waited for the batch. */
    void committed(Instant now, bool maySend);

private:
    /** An order to a worker that has not been answered to the end. */
    struct OpenOrder
    {
        std::uint32_t run = 0;
        WorkerId worker;
        Instant retryAt;
        unsigned tries = 0;
        bool unanswered = false; ///< Some try may still be carried out.
        bool inFlight = false;
        bool acknowledged = false;
        Instant acknowledgedAt;
    };

    /** A run that a worker lists and no record places there; a late order began it. */
    struct StrayRun
    {
        std::uint32_t run = 0;
        Instant stoppedAt; ///< When its stop was last sent.
    };

    /** Rules of a job: its queue's or, once that is dropped, those of its submission. */
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

    /** Orders jobs by id, so that equal runs decide alike. */
    struct ById
    {
        bool operator()(const Job *left, const Job *right) const
        {
            return left->id() < right->id();
        }
    };
    using JobSet = std::set<Job *, ById>;

    /** What one plan has found out; room only shrinks while it lasts. */
    struct PlanRound
    {
        Instant now;
        std::int64_t unixMs = 0;
        UnplaceableDemands unmet;
        /** Needs for which nothing could be stopped, by priority. */
        std::map<unsigned, UnplaceableDemands> unmetByPreemption;
        std::map<std::string, bool> mostlyFree; ///< By service.
        bool mayPreempt = false;
    };

    WorkerState *findWorker(const WorkerId &id);
    /** Returns the workers of the job's service. */
    const std::vector<WorkerState *> &candidates(const Job &job);
    /** Sorts the workers by service and counts them by zone, after a change. */
    void sortWorkers();
    /** Marks the workers of zones that have fallen silent. */
    void markSilentZones();
    /** Returns the candidates that may run the step, by advice where the queue needs it. */
    std::vector<WorkerState *> allowed(const Job &job, std::uint32_t occurrence, std::uint32_t step,
                                       Instant now);
    /** Asks for advice on workers for the step, best ones first. */
    void askAdvice(const Job &job, const StepRun &run, Instant now);
    const QueueConfig *queueOf(const Job &job) const;
    JobRules rulesOf(const Job &job) const;
    void adopt(Job &job, Instant now);
    OrderTarget targetOf(const WorkerState &worker) const;

    void stopUnanswered(WorkerState &worker, Instant now);
    void applyRunning(WorkerState &worker, const RunningTask &running, Instant now);
    /** Forgets the stray runs that the worker no longer lists. */
    void forgetStrays(const WorkerState &worker, const std::vector<RunningTask> &listed);
    /** Returns whether a stray run of the task may be at work, so that it may not start. */
    bool runsAstray(const TaskRef &ref, Instant now) const;
    void applyEnded(WorkerState &worker, const EndedTask &ended, Instant now);
    /** Takes in the end of a run that no record placed on its worker. */
    void applyStrayEnd(Job &job, const EndedTask &ended, Task &task, Instant now);
    void findMissing(WorkerState &worker, const WorkerReport &report, Instant sentAt, Instant now);
    void adjustPace(WorkerState &worker, Instant now);
    void sampleServing(WorkerState &worker, Instant now);
    void sampleFilling(WorkerState &worker, Instant now);
    std::vector<PacedTask> bearablePaces(const WorkerState &worker, Instant now) const;
    /** Returns whether another worker would have the task at full pace. */
    bool goesOnElsewhere(const WorkerState &worker, const PacedTask &paced, Instant now);
    void setPace(const WorkerState &worker, const TaskRef &ref, Task &task, std::uint32_t percent,
                 Instant now);
    void loseWorker(WorkerState &worker, Instant now);
    /** Forgets a worker that is neither listed nor runs anything. */
    void forgetWorker(const std::string &id);
    void reborn(WorkerState &worker, std::int64_t incarnationStartMs, Instant now);
    /** Stops tasks that were placed on an earlier life than one that records tell of. */
    void stopOfEarlierLives(WorkerState &worker, Instant now);
    void noteFailure(WorkerState &worker, const JobId &job, Instant now);
    void rest(WorkerState &worker, Duration length, Instant now);

    void finishTask(Job &job, const TaskRef &ref, Task &task, Instant now);
    /** Counts a failed run, once; returns whether the task has had all its attempts. */
    bool countFailure(Job &job, const TaskRef &ref, Task &task, std::uint32_t run);
    void failTask(Job &job, const TaskRef &ref, Task &task, Instant now);
    void returnTask(Job &job, const TaskRef &ref, Task &task, RunOutcome outcome, Instant now);
    void breakGang(Job &job, const TaskRef &ref, Instant now);
    void closeJob(Job &job, Job::State state, Instant now);
    void stopAll(Job &job, Instant now);
    void stopTask(const TaskRef &ref, Task &task, Instant now);
    void detach(const TaskRef &ref, Task &task);
    void markDirty(Job &job);
    /** Records that the tasks of a step that lasts were taken, once all of them were. */
    void recordTaken(Job &job, const TaskRef &ref);
    /** Lets clients be told of the job's state, where it has changed. */
    void tellState(Job &job);
    void noteFenced(const WorkerId &id);

    /** Places what can be placed of the job; returns whether some of it is left to be placed. */
    bool planJob(Job &job, PlanRound &round);
    void planStep(Job &job, StepRun &run, PlanRound &round);
    /** Returns whether a search for room for a task of the step would be in vain. */
    bool roomIsOut(Job &job, std::uint32_t occurrence, std::uint32_t step, PlanRound &round);
    ResourceDemand needOf(const Job &job, std::uint32_t step, bool allowInterference) const;
    /** Returns whether filling work goes also where it slows what serves. */
    bool insists(Job &job, std::uint32_t occurrence, std::uint32_t step, PlanRound &round);
    void preempt(const Job &job, const StepRun &run, PlanRound &round);
    /** Stops the least work that makes room for a task of the step; returns whether any does. */
    bool stopForRoom(const Job &job, const StepRun &run, Instant now);
    /**
     * Returns whether tasks of the step that last have to wait, so that short work finds room: they
     * take only room that has been free for a while.
     */
    bool leavesRoomToShortWork(Job &job, const StepRun &run, std::int64_t freeSlots, Instant now);
    /** Returns how many tasks of the step find room, as far as its tasks that last need to know. */
    std::int64_t placesFor(Job &job, const StepRun &run);
    void planTogether(Job &job, StepRun &run, Instant now);
    bool placeTogether(Job &job, StepRun &run, const std::string &rack, Instant now);
    void place(Job &job, StepRun &run, std::uint32_t index, WorkerState &worker, Instant now);

    void sendStart(Job &job, const TaskRef &ref, Task &task, Instant now);
    void noteUnanswered(const WorkerId &id, const TaskRef &ref, std::uint32_t run, bool sameLife,
                        Instant now);
    void sendStop(const WorkerState &worker, const TaskRef &ref, std::uint32_t run);
    void sendHold(WorkerState &worker, Instant now, bool mayRenew);
    void retryOrders(Instant now, bool mayRenew);
    void findStalled(WorkerState &worker, Instant now);
    /** Moves tasks from draining workers, where others have room for them. */
    void moveFromDraining(Instant now);
    void moveFromDraining(WorkerState &worker, std::int64_t &wanted, Instant now);
    /** Returns how many tasks of the step other workers have room for. */
    std::int64_t roomFor(const Job &job, std::uint32_t occurrence, std::uint32_t step, Instant now);
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
    Instant formerLeasesLapse;
    std::int64_t unixMs = 0;
    Workers workers;
    /** Workers by service; rebuilt on use after a change. */
    std::map<std::string, std::vector<WorkerState *>> pools;
    bool poolsStale = true;
    ZoneFailureDetector zones{holdWait};
    std::unordered_map<std::string, const QueueConfig *> queues; ///< Of config, by name.
    JobSet open;
    JobSet unplaced; ///< Open jobs of which some task may have to be placed, now or later.
    std::map<TaskRef, OpenOrder> starts;
    std::map<TaskRef, OpenOrder> stops;
    /** By task and worker. */
    std::map<std::pair<TaskRef, std::string>, StrayRun> strays;
    /** Of workers that are not listed, by worker. */
    std::map<std::string, std::vector<UnansweredStart>> unansweredElsewhere;
    JobSet dirty;
    bool startsHeld = false;
    bool planNeeded = false;
    bool someWait = false;              ///< The last plan left tasks waiting.
    std::int64_t lastingWait = 0;       ///< Tasks that last which the last plan left waiting.
    Instant movedAt;                    ///< When tasks on draining workers were last looked at.
    std::int64_t nextDueMs = INT64_MAX; ///< When an occurrence is due next, since 1970.
    Instant plannedAt;
    Instant preemptedAt; ///< When work was last looked for that might be stopped.
    Instant tickedAt{-1000000};
    std::uint64_t searches = 0;
    std::uint64_t reports = 0;     ///< Counts the reports of workers.
    Instant shortWorkAt{-1000000}; ///< When work that ends was last open.
    bool acknowledgeDirty = false;
    bool fencedByWorker = false;
    std::vector<RecordedStart> recording;
    std::vector<RecordedStart> inBatch;
    std::vector<Job *> inRecords; ///< Jobs whose progress is in the batch under way.
    JobSet untold;                ///< Jobs whose state clients have to be told.
    std::vector<std::pair<Job *, Job::State>> telling;
    /** Ends of one life of a worker that the batch under way makes durable. */
    struct Acknowledgement
    {
        std::string worker;
        std::uint64_t incarnation = 0;
        std::uint64_t number = 0;
    };
    std::vector<Acknowledgement> acknowledging;
};

} // namespace godwitfall
