#include "faultschedule.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <set>

#include "idlejobwatch.h"
#include "longrunningwatch.h"

namespace godwitfall::jobtests {

namespace {

constexpr std::size_t addedWorkers = 8;
/** Spreads the tasks of a job, so that a fault of a worker leaves some of them running. */
constexpr std::uint32_t tasksPerWorker = 2;
constexpr std::int64_t warmUpMs = 1500;
/** Calm that follows a schedule; no run of a task is due later. */
constexpr std::int64_t calmMs = 30000;
/** The same once all jobs are done: delayed orders have been carried out by then. */
constexpr std::int64_t shortestCalmMs = 14000;
constexpr std::int64_t shortLivedGapMs = 700;
/** Time between two submissions of long-running jobs before the calm. */
constexpr std::int64_t longRunningGapMs = 1100;
constexpr std::int64_t checkGapMs = 50;
constexpr int restartsInSeries = 3;
/** From a request to evacuate a zone until no start reaches its workers. */
constexpr Duration evacuationTime{5000};
/** Runs until the end of any schedule. */
constexpr std::uint32_t longRunMs = 600000;

jobs::StepSpec longRunningStep(std::uint32_t count)
{
    jobs::StepSpec step = stepOf(count, longRunMs);
    step.set_max_per_worker(tasksPerWorker);
    step.set_long_running(true);
    return step;
}

bool affectsWorker(FaultKind kind)
{
    return kind == FaultKind::WorkerLost ||
           (kind >= FaultKind::WorkerReplaced && kind <= FaultKind::OrdersDelayed);
}

/** Plays one schedule and watches its long-running tasks. */
class SchedulePlayer
{
public:
    explicit SchedulePlayer(const FaultSchedule &schedule)
        : schedule(schedule)
        , simulation(schedule.seed, FaultRates(), DisabledMechanism::None,
                     schedule.evacuates() ? evacuationTime : Duration(0))
    {}

    std::vector<std::string> play()
    {
        this->simulation.makeHoldsWait();
        for (std::size_t count = 0; count < addedWorkers; ++count) {
            this->simulation.addWorker();
        }
        this->simulation.run(warmUpMs);
        if (!this->schedule.shortLivedOnly) {
            this->submitLongRunning(4);
            this->submitLongRunning(1);
        }
        this->simulation.run(warmUpMs);
        this->beginMs = this->simulation.now();
        std::vector<Fault> faults = this->schedule.faults;
        std::stable_sort(faults.begin(), faults.end(), [](const Fault &left, const Fault &right) {
            return left.atMs < right.atMs;
        });
        this->calmFromMs = this->beginMs;
        for (const Fault &fault : faults) {
            this->calmFromMs = std::max(this->calmFromMs, this->beginMs + fault.overAtMs());
        }
        for (const Fault &fault : faults) {
            this->playUntil(this->beginMs + fault.atMs);
            this->inject(fault);
        }
        if (this->schedule.evacuates()) {
            this->playUntil(this->calmFromMs);
            this->simulation.sendStartsAtOnce();
        }
        this->playUntil(this->calmFromMs + calmMs);
        std::vector<std::string> violations = this->simulation.ledger().broken;
        const std::vector<std::string> late = this->schedule.shortLivedOnly
                                                  ? this->idleJobs.idleJobs(this->beginMs)
                                                  : this->watch.lateTasks(this->beginMs);
        violations.insert(violations.end(), late.begin(), late.end());
        return violations;
    }

private:
    void submitLongRunning(std::uint32_t count)
    {
        const JobId id = this->simulation.submit({longRunningStep(count)});
        for (std::uint32_t index = 0; index < count; ++index) {
            this->watch.add(TaskRef{id, 0, 0, index});
        }
    }

    void submitShortLived()
    {
        constexpr std::uint32_t bestEffortEach = 4;
        if (!this->schedule.shortLivedOnly || ++this->shortLivedJobs % 2 != 0) {
            this->simulation.submit({stepOf(2, 400), stepOf(1, 900, {0})});
            return;
        }
        std::vector<jobs::StepSpec> longer = {stepOf(3, 2500), stepOf(2, 600, {0})};
        for (jobs::StepSpec &step : longer) {
            step.set_fills(this->shortLivedJobs % bestEffortEach == 0);
        }
        this->simulation.submit(longer);
    }

    void playUntil(std::int64_t untilMs)
    {
        while (this->simulation.now() < untilMs) {
            const std::int64_t now = this->simulation.now();
            const bool ended = this->schedule.shortLivedOnly && now >= this->calmFromMs;
            if (ended && now >= this->calmFromMs + shortestCalmMs && this->idleJobs.allDone()) {
                return;
            }
            if (!ended && now >= this->shortLivedAtMs) {
                this->shortLivedAtMs = now + shortLivedGapMs;
                this->submitShortLived();
            }
            if (!this->schedule.shortLivedOnly && now >= this->longRunningAtMs &&
                now < this->calmFromMs) {
                this->longRunningAtMs = now + longRunningGapMs;
                this->submitLongRunning(1);
            }
            this->simulation.run(std::min(checkGapMs, untilMs - now));
            if (this->schedule.shortLivedOnly) {
                this->idleJobs.check(this->beginMs, this->calmFromMs);
            } else {
                this->watch.check(this->beginMs, this->calmFromMs);
            }
        }
    }

    /** Returns the workers that run watched tasks, or all that are up if none does, and then those
     * that earlier faults hit. */
    std::vector<std::size_t> targets() const
    {
        std::set<std::size_t> result;
        const std::vector<TaskRef> longRunning = this->watch.tasks();
        for (const auto &[ref, runs] : this->simulation.ledger().running) {
            if (!this->schedule.shortLivedOnly &&
                std::find(longRunning.begin(), longRunning.end(), ref) == longRunning.end()) {
                continue;
            }
            for (const auto &[worker, run] : runs) {
                result.insert(std::stoul(worker.substr(1)));
            }
        }
        for (std::size_t index = 0; index < this->simulation.workersEver() && result.empty();
             ++index) {
            if (this->simulation.workerUp(index)) {
                result.insert(index);
            }
        }
        std::vector<std::size_t> workers(result.begin(), result.end());
        std::copy_if(this->hitWorkers.begin(), this->hitWorkers.end(), std::back_inserter(workers),
                     [&](std::size_t worker) { return this->simulation.workerUp(worker); });
        return workers;
    }

    void inject(const Fault &fault)
    {
        const std::vector<std::size_t> workers = this->targets();
        const std::size_t worker = workers[fault.target % workers.size()];
        if (affectsWorker(fault.kind)) {
            this->hitWorkers.push_back(worker);
        }
        switch (fault.kind) {
        case FaultKind::OwnerLost:
            if (this->simulation.instancesUp() > 1) {
                this->simulation.killOwner(INT32_MAX);
            }
            break;
        case FaultKind::WorkerLost:
            this->simulation.loseWorker(worker);
            break;
        case FaultKind::OwnerKilled:
            this->simulation.killOwner(fault.lengthMs);
            break;
        case FaultKind::OwnerFrozen:
            this->simulation.freezeOwner(fault.lengthMs);
            break;
        case FaultKind::OwnerCutFromStore:
            this->simulation.cutOwnerFromStore(fault.lengthMs);
            break;
        case FaultKind::OwnerReadsStalled:
            this->simulation.stallOwnerReads(fault.lengthMs);
            break;
        case FaultKind::WorkerReplaced:
            this->simulation.replaceWorker(worker, fault.lengthMs);
            break;
        case FaultKind::WorkerRestarted:
            this->simulation.crashWorker(worker, fault.lengthMs);
            break;
        case FaultKind::WorkerCut:
            this->simulation.cutWorker(worker, fault.lengthMs);
            break;
        case FaultKind::WorkerRestartedInSeries:
            this->simulation.crashWorkerInSeries(worker, restartsInSeries,
                                                 fault.lengthMs / restartsInSeries,
                                                 fault.lengthMs / restartsInSeries / 2);
            break;
        case FaultKind::WorkerRestartedBehindCuts:
            this->simulation.restartWorkerBehindCuts(worker, fault.lengthMs);
            break;
        case FaultKind::InstancesKilled:
            this->simulation.killInstances(fault.lengthMs);
            break;
        case FaultKind::OrdersLost:
            this->simulation.disturbOrders(worker, OrderDisturbance::Lost, fault.lengthMs);
            break;
        case FaultKind::OrdersDelayed:
            this->simulation.disturbOrders(worker, OrderDisturbance::Delayed, fault.lengthMs);
            break;
        case FaultKind::ZoneEvacuated:
            this->simulation.evacuateZone(fault.target, fault.lengthMs);
            break;
        case FaultKind::RequestReadsStalled:
            this->simulation.stallOwnerRequestReads(fault.lengthMs);
            break;
        case FaultKind::RequestHistoryDropped:
            this->simulation.dropRequestHistory();
            break;
        }
    }

    const FaultSchedule &schedule;
    JobSimulation simulation;
    std::int64_t beginMs = 0;
    std::int64_t calmFromMs = 0;
    std::int64_t shortLivedAtMs = 0;
    std::int64_t longRunningAtMs = 0;
    std::vector<std::size_t> hitWorkers; ///< By earlier faults.
    std::uint32_t shortLivedJobs = 0;
    LongRunningWatch watch{this->simulation};
    IdleJobWatch idleJobs{this->simulation};
};

} // namespace

std::ostream &operator<<(std::ostream &stream, const Fault &fault)
{
    constexpr std::array<const char *, 17> names = {"OwnerLost",
                                                    "WorkerLost",
                                                    "OwnerKilled",
                                                    "OwnerFrozen",
                                                    "OwnerCutFromStore",
                                                    "OwnerReadsStalled",
                                                    "WorkerReplaced",
                                                    "WorkerRestarted",
                                                    "WorkerCut",
                                                    "WorkerRestartedInSeries",
                                                    "WorkerRestartedBehindCuts",
                                                    "OrdersLost",
                                                    "OrdersDelayed",
                                                    "InstancesKilled",
                                                    "ZoneEvacuated",
                                                    "RequestReadsStalled",
                                                    "RequestHistoryDropped"};
    return stream << "Fault{FaultKind::" << names.at(static_cast<std::size_t>(fault.kind)) << ", "
                  << fault.atMs << ", " << fault.lengthMs << ", " << fault.target << "}";
}

bool FaultSchedule::evacuates() const
{
    return std::any_of(this->faults.begin(), this->faults.end(),
                       [](const Fault &fault) { return fault.kind >= FaultKind::ZoneEvacuated; });
}

std::vector<std::string> play(const FaultSchedule &schedule)
{
    return SchedulePlayer(schedule).play();
}

} // namespace godwitfall::jobtests
