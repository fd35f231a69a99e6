// How the coordinator learns what filling work does to serving tasks, and slows it before it harms.
#include "coordinator.h"

#include <algorithm>
#include <cmath>

namespace godwitfall {

namespace {

/** Time between two samples of a worker's figures, which cover the last half second. */
constexpr Duration figureGap{450};
/** Pace in percent below which a task that can goes on elsewhere after a while. */
constexpr std::uint32_t slowPace = 40;
/** Time for which a slowed task waits before it goes on elsewhere; above its restore time. */
constexpr Duration slowedStay{1500};
/** Time for which the peak of a load is remembered; about a period of users' loads. */
constexpr Duration peakMemory{20000};
/** Share of the time that the platform allows a target to be missed, after which all filling work
 * of the worker halts; two more samples then show whether it did. */
constexpr std::int64_t haltPercent = 25;
/** Time after which a pace is sent again. */
constexpr Duration paceRepeat{700};
/** Time that a figure covers; from the platform. */
constexpr Duration figureSpan{600};
/** Time after which a halted task may be busy or calm, whatever it was. */
constexpr Duration activitySpan{2000};
/** Share of the processors that a filling task asked for, from which it counts as busy. */
constexpr double busyShare = 0.85;
constexpr std::uint32_t fullPace = 100;

} // namespace

void Coordinator::sampleServing(WorkerState &worker, Instant now)
{
    const std::vector<FillShare> filling = worker.pacedFillShares();
    for (const auto &[ref, job] : worker.tasks) {
        const jobs::StepSpec &step = job->stepSpec(ref.step);
        Task &task = *job->task(ref);
        if (step.target_ms() == 0 || task.phase != TaskPhase::Running || task.percent < 100 ||
            task.figure <= 0) {
            continue;
        }
        const double before = task.load;
        task.load = this->interference.loadOf(step.image(), static_cast<double>(task.figure));
        task.loadSampledAt = now;
        if (task.figure <= step.target_ms()) {
            task.targetMissedSince = Instant();
        } else if (task.targetMissedSince == Instant()) {
            task.targetMissedSince = now;
        }
        if (const auto own = job->ownLoad(ref.occurrence, ref.step, now, ref.index)) {
            this->interference.observe(step.image(), *own, before, task.load, filling);
        }
        task.pressure = this->interference.pressure(step.image(), filling);
        const double own = job->ownLoad(ref.occurrence, ref.step, now)->mean;
        StepRun &run = job->stepRun(ref.occurrence, ref.step);
        if (own >= run.peakLoad || now - run.peakAt > peakMemory) {
            run.peakLoad = own;
            run.peakAt = now;
        }
    }
}

void Coordinator::sampleFilling(WorkerState &worker, Instant now)
{
    for (const auto &[ref, job] : worker.tasks) {
        const jobs::StepSpec &step = job->stepSpec(ref.step);
        Task &task = *job->task(ref);
        const Instant steadySince = std::max(task.since, task.paceSentAt);
        if (step.fills() && task.pace == 0 && now - task.paceSentAt > activitySpan) {
            task.activity = Activity::Unknown;
        }
        if (!step.fills() || task.phase != TaskPhase::Running || task.pace == 0 ||
            task.figure <= 0 || now - steadySince < figureSpan) {
            continue;
        }
        const double asked = step.milli_cores() * (task.pace / static_cast<double>(fullPace));
        task.activity =
            static_cast<double>(task.figure) < busyShare * asked ? Activity::Calm : Activity::Busy;
    }
}

std::vector<PacedTask> Coordinator::bearablePaces(const WorkerState &worker, Instant now) const
{
    std::vector<PacedTask> filling;
    for (const auto &[ref, job] : worker.tasks) {
        const jobs::StepSpec &step = job->stepSpec(ref.step);
        const Task &task = *job->task(ref);
        if (step.fills() && task.phase == TaskPhase::Running) {
            filling.push_back(PacedTask{ref, job, step.image(), task.activity,
                                        worker.shareOf(step.milli_cores())});
        }
    }
    if (!filling.empty()) {
        this->pacePolicy.slow(this->policy.servingOn(worker, now, 0.0), filling);
    }
    return filling;
}

void Coordinator::adjustPace(WorkerState &worker, Instant now)
{
    if (now - worker.figuresAt < figureGap) {
        return;
    }
    worker.figuresAt = now;
    this->sampleFilling(worker, now);
    this->sampleServing(worker, now);
    worker.forgetPlacementCosts();
    const Duration haltAfter = this->bounds.harmTime * haltPercent / 100;
    const bool halt = std::any_of(worker.tasks.begin(), worker.tasks.end(), [&](const auto &entry) {
        const Task &task = *entry.second->task(entry.first);
        return task.targetMissedSince != Instant() && now - task.targetMissedSince >= haltAfter;
    });
    for (const PacedTask &paced : this->bearablePaces(worker, now)) {
        Task &task = *paced.job->task(paced.ref);
        const double share = halt ? 0.0 : paced.pace;
        const std::uint32_t pace = static_cast<std::uint32_t>(std::lround(share * fullPace));
        if (pace != task.pace) {
            if (task.pace == fullPace) {
                task.slowedAt = now;
            }
            this->setPace(worker, paced.ref, task, pace, now);
        } else if ((!task.paceConfirmed || halt) && now - task.paceSentAt > paceRepeat) {
            this->setPace(worker, paced.ref, task, pace, now);
        } else if (pace < slowPace && now - task.slowedAt > slowedStay &&
                   this->goesOnElsewhere(worker, paced, now)) {
            this->stopTask(paced.ref, task, now);
        }
    }
}

bool Coordinator::goesOnElsewhere(const WorkerState &worker, const PacedTask &paced, Instant now)
{
    if (!paced.job->stepSpec(paced.ref.step).checkpointing()) {
        return false;
    }
    const PlacementRequest request{*paced.job, paced.ref.occurrence, paced.ref.step, {}, false};
    const WorkerState *better = this->policy.choose(
        this->allowed(*paced.job, paced.ref.occurrence, paced.ref.step, now), request, now);
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
