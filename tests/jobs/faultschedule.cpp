#include "faultschedule.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <sstream>

namespace godwitfall::jobtests {

namespace {

// The platform's rule for long-running tasks. A task is judged from notJudgedMs after its last run;
// it is LOST when it does not run for longestIdleMs with capacity for it, and those and the
// calmBeforeMs before them are calm.
constexpr std::int64_t notJudgedMs = 6000;
constexpr std::int64_t calmBeforeMs = 4000;
constexpr std::int64_t longestIdleMs = 3000;

constexpr std::size_t addedWorkers = 8;
/** Spreads the tasks of a job, so that a fault of a worker leaves some of them running. */
constexpr std::uint32_t tasksPerWorker = 2;
constexpr std::int64_t warmUpMs = 1500;
/** Calm that follows a schedule; no run of a task is due later. */
constexpr std::int64_t calmMs = 30000;
constexpr std::int64_t shortLivedGapMs = 700;
/** Time between two submissions of long-running jobs before the calm. */
constexpr std::int64_t longRunningGapMs = 1100;
constexpr std::int64_t checkGapMs = 50;
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
    return kind == FaultKind::WorkerLost || kind >= FaultKind::WorkerReplaced;
}

std::string textOf(const TaskRef &ref)
{
    return ref.job.value() + "." + std::to_string(ref.index);
}

/** Plays one schedule and watches its long-running tasks. */
class SchedulePlayer
{
public:
    explicit SchedulePlayer(const FaultSchedule &schedule)
        : schedule(schedule)
        , simulation(schedule.seed, FaultRates())
    {}

    std::vector<std::string> play()
    {
        this->simulation.makeHoldsWait();
        for (std::size_t count = 0; count < addedWorkers; ++count) {
            this->simulation.addWorker();
        }
        this->simulation.run(warmUpMs);
        this->submitLongRunning(4);
        this->submitLongRunning(1);
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
        this->playUntil(this->calmFromMs + calmMs);
        this->noteTasksThatNeverRan();
        std::vector<std::string> violations = this->simulation.ledger().broken;
        violations.insert(violations.end(), this->late.begin(), this->late.end());
        return violations;
    }

private:
    /** What is known of one long-running task. */
    struct Watched
    {
        std::optional<std::int64_t> overdueSinceMs;
        std::string overdueView; ///< The coordinator's when the bound passed.
        std::int64_t stoppedMs = 0;
        std::string view;  ///< The coordinator's at the last check.
        std::string trace; ///< Changes of the view while it does not run.
    };

    void submitLongRunning(std::uint32_t count)
    {
        const JobId id = this->simulation.submit({longRunningStep(count)});
        for (std::uint32_t index = 0; index < count; ++index) {
            this->tasks.emplace(TaskRef{id, 0, 0, index}, Watched());
        }
    }

    void playUntil(std::int64_t untilMs)
    {
        while (this->simulation.now() < untilMs) {
            const std::int64_t now = this->simulation.now();
            if (now >= this->shortLivedAtMs) {
                this->shortLivedAtMs = now + shortLivedGapMs;
                this->simulation.submit({stepOf(2, 400), stepOf(1, 900, {0})});
            }
            if (now >= this->longRunningAtMs && now < this->calmFromMs) {
                this->longRunningAtMs = now + longRunningGapMs;
                this->submitLongRunning(1);
            }
            this->simulation.run(std::min(checkGapMs, untilMs - now));
            this->check();
        }
    }

    bool isRunning(const TaskRef &ref) const
    {
        const auto &running = this->simulation.ledger().running;
        const auto found = running.find(ref);
        return found != running.end() && !found->second.empty();
    }

    /** Returns the workers that run long-running tasks, or all that are up if none does, and then
     * those that earlier faults hit. */
    std::vector<std::size_t> targets() const
    {
        std::set<std::size_t> result;
        for (const auto &[ref, watched] : this->tasks) {
            const auto found = this->simulation.ledger().running.find(ref);
            if (found != this->simulation.ledger().running.end()) {
                for (const auto &[worker, run] : found->second) {
                    result.insert(std::stoul(worker.substr(1)));
                }
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
        case FaultKind::OrdersLost:
            this->simulation.disturbOrders(worker, OrderDisturbance::Lost, fault.lengthMs);
            break;
        case FaultKind::OrdersDelayed:
            this->simulation.disturbOrders(worker, OrderDisturbance::Delayed, fault.lengthMs);
            break;
        }
    }

    /** Returns when the task must run; nothing if the rule does not judge it. */
    std::optional<std::int64_t> mustRunBy(const TaskRef &ref) const
    {
        const std::optional<std::int64_t> accepted = this->simulation.acceptedAt(ref.job);
        if (!accepted) {
            return std::nullopt;
        }
        std::int64_t lastRunMs = *accepted;
        const auto last = this->simulation.ledger().lastEnds.find(ref);
        if (last != this->simulation.ledger().lastEnds.end()) {
            if (last->second.startedLate) {
                return std::nullopt;
            }
            lastRunMs = std::max(lastRunMs, last->second.atMs);
        }
        return std::max(lastRunMs + notJudgedMs, this->calmFromMs + calmBeforeMs) + longestIdleMs;
    }

    void check()
    {
        const std::int64_t now = this->simulation.now();
        for (auto &[ref, watched] : this->tasks) {
            if (this->isRunning(ref)) {
                if (watched.overdueSinceMs) {
                    this->noteLate(ref, watched);
                }
                watched = Watched();
                continue;
            }
            if (watched.stoppedMs == 0) {
                watched.stoppedMs = now;
            }
            std::string view = this->simulation.ownerView(ref);
            if (view != watched.view) {
                watched.trace += "\n    " + std::to_string(now - this->beginMs) + ": " + view;
                watched.view = std::move(view);
            }
            const std::optional<std::int64_t> bound = this->mustRunBy(ref);
            if (bound && now > *bound && !watched.overdueSinceMs) {
                watched.overdueSinceMs = *bound;
                watched.overdueView = watched.view;
            }
        }
    }

    void noteLate(const TaskRef &ref, const Watched &watched)
    {
        const std::int64_t now = this->simulation.now();
        std::ostringstream text;
        text << textOf(ref) << " did not run from " << watched.stoppedMs - this->beginMs << " to "
             << now - this->beginMs << " ms, calm from " << this->calmFromMs - this->beginMs
             << ", had to by " << *watched.overdueSinceMs - this->beginMs << ": "
             << now - *watched.overdueSinceMs << " late; then " << watched.overdueView
             << watched.trace;
        this->late.push_back(text.str());
    }

    void noteTasksThatNeverRan()
    {
        for (const auto &[ref, watched] : this->tasks) {
            if (watched.overdueSinceMs) {
                this->noteLate(ref, watched);
            }
        }
    }

    const FaultSchedule &schedule;
    JobSimulation simulation;
    std::int64_t beginMs = 0;
    std::int64_t calmFromMs = 0;
    std::int64_t shortLivedAtMs = 0;
    std::int64_t longRunningAtMs = 0;
    std::vector<std::size_t> hitWorkers; ///< By earlier faults.
    std::map<TaskRef, Watched> tasks;
    std::vector<std::string> late;
};

} // namespace

std::ostream &operator<<(std::ostream &stream, const Fault &fault)
{
    constexpr std::array<const char *, 11> names = {
        "OwnerLost",         "WorkerLost",        "OwnerKilled",    "OwnerFrozen",
        "OwnerCutFromStore", "OwnerReadsStalled", "WorkerReplaced", "WorkerRestarted",
        "WorkerCut",         "OrdersLost",        "OrdersDelayed"};
    return stream << "Fault{FaultKind::" << names.at(static_cast<std::size_t>(fault.kind)) << ", "
                  << fault.atMs << ", " << fault.lengthMs << ", " << fault.target << "}";
}

std::vector<std::string> play(const FaultSchedule &schedule)
{
    return SchedulePlayer(schedule).play();
}

} // namespace godwitfall::jobtests
