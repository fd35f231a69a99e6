#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "jobnode.h"
#include "simstore.h"
#include "simworker.h"

namespace godwitfall::jobtests {

/** A task that was held back. */
struct HeldBackTask
{
    TaskRef task;
    std::size_t crashes = 0;
    HoldBack hold;
};

/** Records only what a node requests, and what it tells of jobs that others closed and of tasks
 * that are held back. */
class RecordingHost : public JobNodeHost
{
public:
    void crashCounted(const CountedCrash &crash) override
    {
        if (this->countedCrash) {
            this->countedCrash(crash);
        }
    }
    void crashWithdrawn(const TaskRef &, std::uint32_t, const WorkerId &) override {}
    void taskReturned(const TaskRef &, std::uint32_t, const WorkerId &, RunOutcome) override {}
    void jobFinished(const Job &, const JobEnd &) override {}
    void closedJobAdopted(const Job &job) override { this->adopted.push_back(job.id()); }
    void taskHeldBack(const TaskRef &task, std::size_t crashes, const HoldBack &hold) override
    {
        this->heldBack.push_back(HeldBackTask{task, crashes, hold});
    }
    void jobEndRead(const Job &job) override { this->endsRead.push_back(job.id()); }
    void workerEjected(const WorkerId &, Duration) override {}
    void capacityShort(const std::string &service, bool isShort) override
    {
        this->capacityChanges.emplace_back(service, isShort);
    }
    void workerRestarted(const WorkerState &, std::int64_t) override {}
    void orderFenced(const WorkerId &) override {}
    void startUnanswered(const TaskRef &, std::uint32_t, const WorkerId &, unsigned) override {}
    void unplacedRunListed(const TaskRef &, std::uint32_t, const WorkerState &,
                           std::optional<RunEnd>) override
    {}
    void startDropped(const TaskRef &task, std::uint32_t, const WorkerState &,
                      DropReason reason) override
    {
        this->droppedStarts.emplace_back(task, reason);
    }
    void boundedStartSent(const BoundedStart &start, const WorkerState &) override
    {
        this->boundedStarts.push_back(start);
    }
    void runSuperseded(const TaskRef &task, std::uint32_t run, const WorkerState &,
                       std::uint32_t) override
    {
        this->supersededRuns.emplace_back(task, run);
    }
    void stepBoundExceeded(const StepRef &step, std::size_t, const WorkerState &) override
    {
        this->exceededBounds.push_back(step);
    }
    void workPending() override {}
    void progressNeeded(std::uint64_t) override { this->needsProgress = true; }
    void ownershipGained(std::uint64_t) override { this->needsWorkers = true; }
    void ownershipLost(std::uint64_t, const char *) override { this->needsReload = true; }
    void startsPaused(bool paused, StartsPause reason, Duration) override
    {
        this->pauses.emplace_back(paused, reason);
    }
    void zoneEvacuation(const ZoneId &, bool) override {}
    void recordUnreadable(const JobRecord &) override {}
    void recordsRejected(const std::vector<JobRecord> &) override {}
    void configOutdated() override { this->needsConfig = true; }

    bool needsProgress = false;
    bool needsWorkers = false;
    bool needsReload = true;
    bool needsConfig = false;
    std::vector<JobId> adopted;  ///< Jobs that a former coordinator had closed.
    std::vector<JobId> endsRead; ///< Jobs of which the log says that they have ended.
    std::vector<HeldBackTask> heldBack;
    std::vector<std::pair<bool, StartsPause>> pauses;
    std::vector<std::pair<TaskRef, DropReason>> droppedStarts;
    std::vector<BoundedStart> boundedStarts;
    std::vector<std::pair<TaskRef, std::uint32_t>> supersededRuns;
    std::vector<StepRef> exceededBounds; ///< Of which a worker listed too many tasks.
    std::vector<std::pair<std::string, bool>>
        capacityChanges; ///< Service, and whether it is short.

    std::function<void(const CountedCrash &)> countedCrash; ///< Unset: counts are not recorded.
};

/** Probabilities of faults, each in parts of a thousand. */
struct FaultRates
{
    int orderLost = 0;      ///< An order is not carried out and gets no reply.
    int replyLost = 0;      ///< An order or append is carried out and its reply is lost.
    int orderDelayed = 0;   ///< An order gets no reply and is carried out 2 to 12 s later.
    int perSecondStall = 0; ///< Per second: the coordinator's reads of the log stall.
    int perSecondKill = 0;  ///< Per second and kind of failure: owner killed, worker restarted...
};

/** How orders to one worker are disturbed. */
enum class OrderDisturbance {
    None,
    Lost,    ///< The order is not carried out, or its reply is lost.
    Delayed, ///< The order gets no reply and is carried out 2 to 12 s later.
};

/** How a deadly task crashes the workers that start it. */
enum class CrashWay {
    OnceTaken,   ///< 10 ms after the start, whose reply is sent before.
    BeforeReply, ///< Before it replies to the start.
    AtWork,      ///< 1.5 s after the start, if the run is still at work.
    Silent,      ///< Before it replies, and without a sign: calls to it end by timeouts.
};

/** A mechanism that a simulation disables to show that the checks detect its absence. */
enum class DisabledMechanism {
    None,
    WorkerFence,
    WorkerLease,
    StoreFence,
    ViewBound,
    WorkerAccount,
    EvacuationRequests, ///< Nodes are not told of requests to evacuate zones.
    EvacuationBound,    ///< Nodes start tasks on any view of the requests.
    StepConditions,     ///< Nodes are not told on which workers a step may run, and how many of it.
    ServiceOfWorkers,   ///< Nodes are told that all workers belong to the service of the jobs.
};

/**
 * Simulates instances, workers and the store with one clock and one seed.
 *
 * Guarantees are checked at the workers: no two runs of a task at once, no start after an
 * acknowledged end. No job is shown as failed but for what has happened to its tasks there.
 */
class JobSimulation
{
public:
    /** evacuationTime: from a stored request to evacuate a zone until no start reaches its workers;
     * 0: workers have no zones, and starts are sent at once. */
    JobSimulation(std::uint64_t seed, const FaultRates &rates,
                  DisabledMechanism disabled = DisabledMechanism::None,
                  Duration evacuationTime = Duration(0));
    ~JobSimulation();

    /** Runs for the time with the faults that are set. */
    void run(std::int64_t milliseconds);

    /** Ends all faults; an instance that is down still starts again by itself. */
    void heal();

    /** Submits a job at the first instance that runs; returns its id. */
    JobId submit(const std::vector<jobs::StepSpec> &steps);
    /** The same for a job that may have several occurrences. */
    JobId submit(jobs::JobSpec spec);
    void cancel(const JobId &id);

    /** Cancels at an instance that does not coordinate. */
    void cancelElsewhere(const JobId &id);

    /** Returns the state of the job that most instances show. */
    jobs::JobState shown(const JobId &id);

    /** Returns how many jobs wait by what each instance says that is ready. */
    std::vector<std::size_t> waitingShown() const;

    /** Returns how many instances that run now have read from the log that the job has ended. */
    std::size_t endsRead(const JobId &id) const;

    /** Returns how many of them have taken over the job after another had closed it. */
    std::size_t adoptions(const JobId &id) const;

    /** Kills the coordinating instance, if any; it starts again after the time. */
    void killOwner(std::int64_t downMs = 1000);

    /** Freezes the coordinating instance for the time. */
    void freezeOwner(std::int64_t milliseconds);

    /** Disconnects the coordinating instance from the store. */
    void cutOwnerFromStore(std::int64_t milliseconds);

    /** Stalls the coordinating instance's reads of the job log; its appends continue. */
    void stallOwnerReads(std::int64_t milliseconds);

    /** Stalls the coordinating instance's reads of the requests to evacuate zones only. */
    void stallOwnerRequestReads(std::int64_t milliseconds);

    /** Stores a request to evacuate one of the two zones, and withdraws it after the time. */
    void evacuateZone(std::size_t index, std::int64_t milliseconds);

    /** From now on no start waits in the HTTP client; before, some do where zones are evacuated. */
    void sendStartsAtOnce() { this->startsWait = false; }

    /** Deletes all requests but the newest of each zone. */
    void dropRequestHistory() { this->firstRequest = this->requests.log().size(); }

    /** Returns how many starts have reached workers of a zone after its evacuation was requested,
     * within the time that is allowed. */
    std::uint64_t startsInEvacuatedZones() const { return this->evacuatedStarts; }

    void restartWorker(std::size_t index);

    /** From now on workers reply to a hold only when a run ends or its wait is over. */
    void makeHoldsWait() { this->holdsWait = true; }

    /** From now on a worker that crashes resets its connections, and refuses others while it is
     * down; before, nobody notices but by a timeout. */
    void makeCrashesReset() { this->crashesReset = true; }

    /** For the time the store rejects all calls of all instances. */
    void rejectStoreCalls(std::int64_t milliseconds);

    /** Announces that a worker leaves, and ends it after the time; its next incarnation starts
     * downMs later. */
    void drainWorker(std::size_t index, std::int64_t milliseconds, std::int64_t downMs);

    /** Adds a worker that the registry lists at once. */
    void addWorker(const std::string &kind = "a");

    /** For the time the worker fails all that it starts. */
    void failStarts(std::size_t index, std::int64_t milliseconds);

    /** Ends a worker for good; the registry removes it after its usual time of silence. */
    void loseWorker(std::size_t index);

    /** Ends a worker, whose next incarnation starts after the time and writes to the registry
     * listedAfterMs later. */
    void crashWorker(std::size_t index, std::int64_t downMs, std::int64_t listedAfterMs = 0);

    /** The same; its next incarnation is of the kind and has the capacity. */
    void crashWorkerAndChange(std::size_t index, std::int64_t downMs, std::int64_t listedAfterMs,
                              const std::string &kind, std::int64_t milliCores);

    /** Restarts a worker, which belongs to the service from then on. */
    void changeServiceOf(std::size_t index, const ServiceId &service);

    /** Ends a worker and each of its next incarnations, which start after downMs, gapMs after the
     * one before; so many times. */
    void crashWorkerInSeries(std::size_t index, int times, std::int64_t gapMs, std::int64_t downMs);

    /** Cuts off a worker twice, for two fifths of the time each with a fifth between; its next
     * incarnation starts behind the first cut. */
    void restartWorkerBehindCuts(std::size_t index, std::int64_t milliseconds);

    /** Kills all instances, which start again after the time. */
    void killInstances(std::int64_t downMs);

    /** Ends a worker for good and adds one with another id after the time. */
    void replaceWorker(std::size_t index, std::int64_t afterMs);

    /** Loses or delays about half of the orders to a worker and of their replies, for the time. */
    void disturbOrders(std::size_t index, OrderDisturbance kind, std::int64_t milliseconds);

    /** Changes the capacity of a worker; the registry tells of it at once. */
    void resizeWorker(std::size_t index, std::int64_t milliCores);

    /** From now on no worker refuses what exceeds its capacity. */
    void trustCoordinator();

    /** Resets a connection of each instance to the worker, which stays up. */
    void resetConnections(std::size_t index);

    /** Disconnects a worker from all instances. */
    void cutWorker(std::size_t index, std::int64_t milliseconds);

    /** Returns the number of workers, with those that were lost. */
    std::size_t workersEver() const { return this->workers.size(); }
    bool workerUp(std::size_t index) const { return this->workers[index]->up; }
    std::size_t instancesUp() const;
    std::int64_t now() const { return this->nowMs; }

    /** Returns when the job was accepted, in ms; nothing if it was not. */
    std::optional<std::int64_t> acceptedAt(const JobId &id) const;

    /** Describes how the coordinating instance sees a long-running task: phase, worker, counted
     * crashes, and reason of its delay; for traces. */
    std::string ownerView(const TaskRef &task);

    /** Describes how it sees the tasks of an open job that are not done, and what the job waits for
     * if nothing of it is at work; for traces. */
    std::string ownerView(const JobId &id);

    const FleetLedger &ledger() const { return this->fleet; }
    std::size_t ownersNow() const;
    const std::vector<JobId> &accepted() const { return this->acceptedJobs; }
    const jobs::JobSpec &specOf(const JobId &id) const { return this->specs.at(id); }

    /** Returns whether the run fails; unset: none does. */
    std::function<bool(const TaskRef &, std::uint32_t run)> fails;

    /** Returns whether the task crashes each worker that starts it; unset: none does. */
    std::function<bool(const TaskRef &)> deadly;

    /** Of all deadly tasks. */
    CrashWay crashWay = CrashWay::OnceTaken;

    /** Whether other faults may keep the job of a deadly task open: then it may be started once in
     * a while beyond the bound, and else no more. */
    bool crashesInDoubt = false;

private:
    struct Instance;
    struct Event
    {
        std::int64_t at = 0;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator>(const Event &other) const
        {
            return std::tie(this->at, this->order) > std::tie(other.at, other.order);
        }
    };

    void after(std::int64_t milliseconds, std::function<void()> action);
    /** Crashes the worker that has started the deadly task; checks the bound on its starts. */
    void crashUnder(const WorkerId &worker, const TaskRef &task);
    void checkStartAfterCrashes(const TaskRef &task);
    /** Checks that the worker has the label that the task requires, as a start reaches it. */
    void checkStartOnKind(const WorkerId &worker, const TaskRef &task);
    /** Checks that the worker belongs to the service of the jobs and runs no more tasks of the step
     * than it allows, as a run begins there. */
    void checkRoute(SimWorker &worker, const TaskRef &task);
    /** Checks that the zone of the worker is not evacuated, as a start reaches it. */
    void checkStartInZone(const WorkerId &worker, const TaskRef &task);
    void readRequests(Instance &instance);
    /** Returns the zone of the worker; empty where none is evacuated. */
    ZoneId zoneOf(std::size_t worker) const;
    void note(const TaskRef &task, const std::string &text);
    std::string notesOf(const JobId &job) const;
    /** Returns whether calls to the worker, which is down, end by its closing the connection. */
    bool resets(std::size_t worker) const;
    bool chance(int perThousand);
    /** Checks that each job that is shown as failed has a reason at the workers. */
    void checkFailedJobs();
    /** Returns whether any instance shows the job as failed. */
    bool isShownAsFailed(const JobId &id) const;
    /** Returns why the job may not be shown as failed; nothing if it may. */
    std::string missingCause(const JobId &id) const;
    void cancelAt(Instance &instance, const JobId &id);
    void bringUp(Instance &instance);
    void step();
    void injectFaults();
    Instance *owner();
    std::int64_t incarnationOf(const WorkerId &worker) const;
    bool reaches(const Instance &instance, std::size_t worker) const;
    /** Returns whether a disturbance of the kind affects the next order to the worker. */
    bool disturbs(std::size_t worker, OrderDisturbance kind);
    /** Returns what the worker writes to the registry. */
    WorkerEntry entryOf(std::size_t worker) const;
    /** Lists the worker in the registry, or removes it. */
    void setListed(std::size_t worker, bool listed);
    void unlistAfterSilence(std::size_t worker);
    /** Passes what the instance has not read of the registry to its coordinator. */
    void readRegistry(Instance &instance);

    std::mt19937_64 random;
    std::mt19937_64 stallRandom; ///< Separate, so that stalls do not change existing schedules.
    std::mt19937_64 disturbanceRandom; ///< Separate for the same reason.
    std::mt19937_64 evacuationRandom;  ///< Separate for the same reason.
    const Duration evacuationTime;
    const DisabledMechanism disabled;
    SimStore requests;                            ///< To evacuate zones; the key is the zone.
    std::size_t firstRequest = 0;                 ///< Oldest one that was not deleted.
    std::map<ZoneId, std::int64_t> requestedAtMs; ///< Of zones that are to be evacuated now.
    std::uint64_t evacuatedStarts = 0;
    bool startsWait = true;
    WorkerBounds bounds;
    FaultRates rates;
    SimStore store;
    SimStore progress; ///< The progress stream.
    FleetLedger fleet;
    std::vector<std::unique_ptr<SimWorker>> workers;
    std::vector<std::int64_t> workerCutUntil;
    struct Disturbance
    {
        OrderDisturbance kind = OrderDisturbance::None;
        std::int64_t untilMs = 0;
    };
    std::map<std::size_t, Disturbance> disturbances; ///< By worker.
    std::set<std::size_t> unlisted;                  ///< Workers that the registry does not list.
    std::map<std::size_t, WorkerEntry> registry;     ///< Newest entries of those that it lists.
    std::vector<std::size_t> registryChanges;        ///< Workers, in the order of their changes.
    std::vector<std::unique_ptr<Instance>> instances;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::int64_t nowMs = 1000000;
    std::uint64_t eventOrder = 0;
    bool crashesReset = false;
    std::set<std::size_t> crashedSilently; ///< Workers that are down and reset no connections.
    std::int64_t storeRejectsUntil = 0;
    bool holdsWait = false; ///< Off: existing schedules have holds that are answered at once.
    std::uint64_t incarnations = 0;
    std::uint64_t submitted = 0;
    std::vector<JobId> acceptedJobs;
    std::map<JobId, std::int64_t> acceptedAtMs;
    std::map<JobId, jobs::JobSpec> specs; ///< Of all jobs that were submitted.
    std::set<JobId> cancelRequests;       ///< Also those that were not acknowledged.
    std::set<JobId> failedJobs;           ///< Jobs that were shown as failed.
    /** Starts and crashes of deadly tasks, and what coordinators counted, by job; explains
     * violations and is not checked. */
    std::map<JobId, std::string> notes;
    JobConfig config;
};

/** Returns a step with the given number of tasks, their run time and the steps it depends on. */
jobs::StepSpec stepOf(std::uint32_t count, std::uint32_t milliseconds,
                      const std::vector<std::uint32_t> &after = {});

} // namespace godwitfall::jobtests
