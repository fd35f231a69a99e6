// Learns how best-effort tasks slow serving tasks, and lowers their pace before targets are missed.
#include "coordinator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace godwitfall {

namespace {

/** Time between two samples of a worker's metrics, which cover the last half second. */
constexpr Duration metricSampleGap{450};
/** Pace in percent below which a task is moved to another worker after a while. */
constexpr std::uint32_t slowPace = 40;
/** Time that a slowed task stays before it is moved; above its restore time. */
constexpr Duration slowedStayTime{1500};
/** Time that a halted task stays before it is moved to a worker on which it may be slowed again;
 * above the busy phases of tasks, after which it may continue in place. */
constexpr Duration haltedStayTime{5000};
/** Time that a run may lose by its pace before it has a least pace. */
constexpr Duration lostTimeLimit{3000};
/** Least pace in percent of a run that has lost that time or that is not its task's first. */
constexpr std::uint32_t leastPace = 60;
/** Time for which the peak of a load is kept; about one period of the users' load. */
constexpr Duration peakMemory{20000};
/** Share of the time that the platform allows a target to be missed, in percent, after which all
 * best-effort tasks of the worker are halted; leaves two more samples to see whether they were. */
constexpr std::int64_t haltPercent = 25;
/** Time after which an unconfirmed pace, or one that halts a task, is sent again. */
constexpr Duration paceRepeat{700};
/** Time that a metric of a task covers; set by the platform. */
constexpr Duration metricSpan{600};
/** Time after which a halted task's last activity, busy or calm, is no longer known. */
constexpr Duration activitySpan{2000};
/** Used share of a best-effort task's processors from which it counts as busy. */
constexpr double busyShare = 0.85;
constexpr std::uint32_t fullPace = 100;

} // namespace

void Coordinator::sampleServing(WorkerState &worker, Instant now)
{
    const std::vector<BestEffortShare> bestEffort = worker.pacedBestEffortShares();
    for (const auto &[ref, job] : worker.tasks) {
        const jobs::StepSpec &step = job->stepSpec(ref.step);
        Task &task = *job->task(ref);
        if (step.target_ms() == 0 || task.phase != TaskPhase::Running || task.percent < 100 ||
            task.metric <= 0) {
            continue;
        }
        const double before = task.load;
        task.load = this->interference.loadOf(step.image(), static_cast<double>(task.metric));
        task.loadSampledAt = now;
        if (task.metric <= step.target_ms()) {
            task.targetMissedSince = Instant();
        } else if (task.targetMissedSince == Instant()) {
            task.targetMissedSince = now;
        }
        if (const auto own = job->ownLoad(ref.occurrence, ref.step, now, ref.index)) {
            this->interference.observe(step.image(), *own, before, task.load, bestEffort);
        }
        task.pressure = this->interference.pressure(step.image(), bestEffort);
        const double own = job->ownLoad(ref.occurrence, ref.step, now)->mean;
        StepRun &run = job->stepRun(ref.occurrence, ref.step);
        if (own >= run.peakLoad || now - run.peakAt > peakMemory) {
            run.peakLoad = own;
            run.peakAt = now;
        }
    }
}

void Coordinator::sampleBestEffort(WorkerState &worker, Instant now)
{
    for (const auto &[ref, job] : worker.tasks) {
        const jobs::StepSpec &step = job->stepSpec(ref.step);
        Task &task = *job->task(ref);
        const Instant steadySince = std::max(task.since, task.paceSentAt);
        if (step.fills() && task.pace == 0 && now - task.paceSentAt > activitySpan) {
            task.activity = Activity::Unknown;
        }
        if (!step.fills() || task.phase != TaskPhase::Running || task.pace == 0 ||
            task.metric <= 0 || now - steadySince < metricSpan) {
            continue;
        }
        const double asked = step.milli_cores() * (task.pace / static_cast<double>(fullPace));
        task.activity =
            static_cast<double>(task.metric) < busyShare * asked ? Activity::Calm : Activity::Busy;
    }
}

double Coordinator::leastPaceOf(const Job &job, const Task &task)
{
    // A run may be lost with its end: for the users nothing of the job works until it has ended
    // again.
    const bool isOverdue = task.run > 1 || task.lostTime >= lostTimeLimit;
    return isOverdue && this->isMostlyFree(job) ? leastPace / static_cast<double>(fullPace) : 0.0;
}

std::vector<PacedTask> Coordinator::tolerablePaces(const WorkerState &worker, Instant now)
{
    std::vector<PacedTask> bestEffort;
    for (const auto &[ref, job] : worker.tasks) {
        const jobs::StepSpec &step = job->stepSpec(ref.step);
        const Task &task = *job->task(ref);
        if (step.fills() && task.phase == TaskPhase::Running) {
            bestEffort.push_back(PacedTask{ref, job, step.image(), task.activity,
                                           worker.shareOf(step.milli_cores()), 1.0,
                                           this->leastPaceOf(*job, task)});
        }
    }
    if (!bestEffort.empty()) {
        this->pacePolicy.lowerPaces(this->policy.servingOn(worker, now, 0.0), bestEffort);
    }
    return bestEffort;
}

void Coordinator::adjustPace(WorkerState &worker, Instant now)
{
    if (now - worker.metricsSampledAt < metricSampleGap) {
        return;
    }
    const Instant sampledLast = std::exchange(worker.metricsSampledAt, now);
    this->sampleBestEffort(worker, now);
    this->sampleServing(worker, now);
    worker.invalidatePlacementCosts();
    const Duration haltAfter = this->bounds.targetMissLimit * haltPercent / 100;
    const bool halt = std::any_of(worker.tasks.begin(), worker.tasks.end(), [&](const auto &entry) {
        const Task &task = *entry.second->task(entry.first);
        return task.targetMissedSince != Instant() && now - task.targetMissedSince >= haltAfter;
    });
    for (const PacedTask &paced : this->tolerablePaces(worker, now)) {
        Task &task = *paced.job->task(paced.ref);
        const Duration sinceSample = now - std::max(sampledLast, task.since);
        task.lostTime = task.lostTime + sinceSample * (fullPace - task.pace) / fullPace;
        const double share = halt ? 0.0 : paced.pace;
        const std::uint32_t pace = static_cast<std::uint32_t>(std::lround(share * fullPace));
        if (pace != task.pace) {
            if (task.pace == fullPace) {
                task.slowedAt = now;
            }
            this->setPace(worker, paced.ref, task, pace, now);
        } else if ((!task.paceConfirmed || halt) && now - task.paceSentAt > paceRepeat) {
            this->setPace(worker, paced.ref, task, pace, now);
        } else if (pace < slowPace && now - task.slowedAt > slowedStayTime &&
                   this->canResumeElsewhere(worker, paced, now)) {
            this->stopTask(paced.ref, task, now);
        }
    }
}

bool Coordinator::canResumeElsewhere(const WorkerState &worker, const PacedTask &paced, Instant now)
{
    const jobs::StepSpec &step = paced.job->stepSpec(paced.ref.step);
    const Task &task = *paced.job->task(paced.ref);
    // Once it has lost as much time as it would take to do the work again; how long it will be
    // slowed is not known.
    const Duration repeated(
        step.checkpointing() ? 0 : std::int64_t(step.estimated_ms()) * task.percent / fullPace);
    if (task.lostTime <= repeated) {
        return false;
    }
    const bool halted = task.pace == 0 && now - task.slowedAt > haltedStayTime;
    // A worker without other serving tasks may not exist; elsewhere it may be halted again.
    const bool allowInterference = halted && this->isMostlyFree(*paced.job);
    const PlacementRequest request{
        *paced.job, paced.ref.occurrence, paced.ref.step, {}, allowInterference};
    std::vector<WorkerState *> others =
        this->allowed(*paced.job, paced.ref.occurrence, paced.ref.step, now);
    if (allowInterference) {
        std::erase(others, &worker);
    }
    const WorkerState *better = this->policy.choose(others, request, now);
    return better && better != &worker;
}

void Coordinator::paceAnswered(const WorkerId &id, const TaskRef &ref, std::uint32_t run,
                               std::uint32_t percent, OrderOutcome outcome)
{
    if (outcome == OrderOutcome::Fenced) {
        this->noteFenced(id);
        return;
    }
    Job *job = this->table.find(ref.job);
    Task *task = job ? job->task(ref) : nullptr;
    const bool current = task && task->run == run && task->pace == percent;
    if (current && outcome == OrderOutcome::Accepted) {
        task->paceConfirmed = true;
    }
}

void Coordinator::setPace(const WorkerState &worker, const TaskRef &ref, Task &task,
                          std::uint32_t percent, Instant now)
{
    task.pace = percent;
    task.paceConfirmed = false;
    task.paceSentAt = now;
    task.progressAt = now;
    this->orders.pace(PaceOrder{this->targetOf(worker), ref, task.run, percent});
}

} // namespace godwitfall
