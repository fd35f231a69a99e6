#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "jobnode.h"
#include "simstore.h"
#include "simworker.h"

namespace godwitfall::jobtests {

/** Takes down only what a node asks for. */
class QuietHost : public JobNodeHost
{
public:
    void taskReturned(const TaskRef &, std::uint32_t, const WorkerId &, RunOutcome) override {}
    void jobFinished(const Job &) override {}
    void workerRests(const WorkerId &, Duration) override {}
    void workerReborn(const WorkerId &) override {}
    void superseded(const WorkerId &) override {}
    void workPending() override {}
    void progressNeeded(std::uint64_t) override { this->needsProgress = true; }
    void ownershipGained(std::uint64_t) override { this->needsWorkers = true; }
    void ownershipLost(std::uint64_t, const char *) override { this->needsReload = true; }
    void startsPaused(bool, Duration) override {}
    void recordUnreadable(const JobRecord &) override {}

    bool needsProgress = false;
    bool needsWorkers = false;
    bool needsReload = true;
};

/** How often things go wrong, each in parts of a thousand. */
struct FaultRates
{
    int orderLost = 0;      ///< An order that is not carried out nor answered.
    int answerLost = 0;     ///< An order or append that is carried out and not answered.
    int orderLate = 0;      ///< An order without an answer, carried out 2 to 12 s later.
    int perSecondStall = 0; ///< In each second: the coordinator reads nothing for a while.
    int perSecondKill = 0;  ///< In each second, for each: an instance dies, a worker is reborn...
};

/** A mechanism that a run may do without, to show that the checks notice. */
enum class Missing {
    Nothing,
    WorkerFence,
    WorkerLease,
    StoreFence,
    ViewBound,
};

/**
 * Instances, workers and the store under one clock and one seed.
 *
 * Promises are checked at the workers: no two runs of a task at once, no start after an
 * acknowledged end.
 */
class JobWorld
{
public:
    JobWorld(std::uint64_t seed, const FaultRates &rates, Missing missing = Missing::Nothing);
    ~JobWorld();

    /** Runs for the time with faults as set. */
    void run(std::int64_t milliseconds);

    /** Ends all faults: instances up, links whole. */
    void heal();

    /** Submits a job at some instance; returns its id. */
    JobId submit(const std::vector<jobs::StepSpec> &steps);
    void cancel(const JobId &id);

    /** Cancels at an instance that does not coordinate. */
    void cancelElsewhere(const JobId &id);

    /** Returns the state that most instances show. */
    jobs::JobState shown(const JobId &id);

    /** Kills the coordinating instance, if any; it starts again after a second. */
    void killOwner();

    /** Freezes the coordinating instance for the time. */
    void freezeOwner(std::int64_t milliseconds);

    /** Cuts the coordinating instance off from the store. */
    void cutOwnerFromStore(std::int64_t milliseconds);

    /** Keeps the coordinating instance from reading the log of jobs, while its appends go on. */
    void stallOwnerReads(std::int64_t milliseconds);

    void rebirthWorker(std::size_t index);

    /** Cuts a worker off from all instances. */
    void cutWorker(std::size_t index, std::int64_t milliseconds);

    const FleetLedger &ledger() const { return this->fleet; }
    std::size_t ownersNow() const;
    const std::vector<JobId> &accepted() const { return this->acceptedJobs; }

    /** Extra run time of a task in ms, by step estimate; and whether each run fails. */
    std::function<bool(const TaskRef &, std::uint32_t run)> fails;

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
    bool chance(int perThousand);
    void cancelAt(Instance &instance, const JobId &id);
    void bringUp(Instance &instance);
    void step();
    void breakThings();
    Instance *owner();
    std::int64_t lifeOf(const WorkerId &worker) const;
    bool reaches(const Instance &instance, std::size_t worker) const;

    std::mt19937_64 random;
    std::mt19937_64 stallRandom; ///< Apart, so that schedules without stalls stay what they were.
    WorkerBounds bounds;
    FaultRates rates;
    SimStore store;
    SimStore progress; ///< The stream of progress.
    FleetLedger fleet;
    std::vector<std::unique_ptr<SimWorker>> workers;
    std::vector<std::int64_t> workerCutUntil;
    std::vector<std::unique_ptr<Instance>> instances;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::int64_t nowMs = 1000000;
    std::uint64_t eventOrder = 0;
    std::uint64_t incarnations = 0;
    std::uint64_t submitted = 0;
    std::vector<JobId> acceptedJobs;
    JobConfig config;
};

/** Returns a step of the given width and run time. */
jobs::StepSpec stepOf(std::uint32_t count, std::uint32_t milliseconds,
                      const std::vector<std::uint32_t> &after = {});

} // namespace godwitfall::jobtests
