// State changes of tasks and jobs when a run ends, a job is cancelled or a gang loses a member.
#include "coordinator.h"

#include <algorithm>

namespace godwitfall {

void Coordinator::detach(const TaskRef &ref, Task &task)
{
    if (WorkerState *worker = this->findWorker(WorkerId(task.worker))) {
        worker->release(ref);
    }
    task.worker.clear();
    this->starts.erase(ref);
    this->stops.erase(ref);
    this->planNeeded = true;
}

void Coordinator::finishTask(Job &job, const TaskRef &ref, Task &task, std::uint32_t endedRun,
                             Instant now)
{
    const jobs::StepSpec &step = job.stepSpec(ref.step);
    if (step.long_running() || job.closed()) {
        this->returnTask(job, ref, task, RunOutcome::Done, now);
        return;
    }
    job.workedAt = now;
    StepRun &run = job.stepRun(ref.occurrence, ref.step);
    // Members of a gang end together, so one end counts for all.
    const std::uint32_t first = step.gang() ? 0 : ref.index;
    const std::uint32_t last =
        step.gang() ? static_cast<std::uint32_t>(run.tasks.size()) - 1 : ref.index;
    for (std::uint32_t index = first; index <= last; ++index) {
        Task &member = run.tasks[index];
        const TaskRef memberRef{ref.job, ref.occurrence, ref.step, index};
        if (member.phase != TaskPhase::Done) {
            this->supersede(job, memberRef, member, endedRun, now);
            this->detach(memberRef, member);
            member.phase = TaskPhase::Done;
            ++run.done;
            this->markDirty(job, memberRef);
        }
    }
    if (run.complete()) {
        // Steps that depend on it may now be placed.
        this->unplaced.insert(&job);
    }
    if (run.complete() && job.allDone()) {
        this->closeJob(job, Job::State::COMPLETED, JobEnd{JobEndReason::AllDone, {}, {}, {}}, now);
    }
}

bool Coordinator::countFailure(Job &job, const TaskRef &ref, std::uint32_t run)
{
    std::vector<std::uint32_t> &failed = this->countedTask(job, ref).failedRuns;
    if (std::find(failed.begin(), failed.end(), run) == failed.end()) {
        failed.push_back(run);
        this->markDirty(job, countedRef(job, ref));
    }
    return failed.size() >= std::max(1U, this->rulesOf(job).attempts);
}

void Coordinator::failTask(Job &job, const TaskRef &ref, Task &task, Instant now)
{
    const jobs::StepSpec &step = job.stepSpec(ref.step);
    if (step.long_running() || job.closed()) {
        this->returnTask(job, ref, task, RunOutcome::Failed, now);
        return;
    }
    const bool attemptsUsedUp = this->countFailure(job, ref, task.run);
    this->returnTask(job, ref, task, RunOutcome::Failed, now);
    if (attemptsUsedUp) {
        this->failJob(job, JobEndReason::AttemptsUsedUp, ref, now);
    }
}

void Coordinator::returnTask(Job &job, const TaskRef &ref, Task &task, RunOutcome outcome,
                             Instant now)
{
    if (outcome != RunOutcome::Stopped) {
        this->observer.taskReturned(ref, task.run, WorkerId(task.worker), outcome);
    }
    ++job.returnedRuns;
    this->detach(ref, task);
    task.phase = TaskPhase::Waiting;
    task.since = now;
    task.percent = 0;
    task.pace = 100;
    task.paceConfirmed = true;
    task.lostTime = Duration(0);
    task.activity = Activity::Unknown;
    task.targetMissedSince = Instant();
    this->markDirty(job, ref);
    if (!job.closed()) {
        this->unplaced.insert(&job);
    }
    if (job.stepSpec(ref.step).gang()) {
        this->breakGang(job, ref, now);
    }
}

void Coordinator::breakGang(Job &job, const TaskRef &ref, Instant now)
{
    StepRun &run = job.stepRun(ref.occurrence, ref.step);
    for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
        const TaskRef memberRef{ref.job, ref.occurrence, ref.step, index};
        Task &member = run.tasks[index];
        if (member.phase == TaskPhase::Recording) {
            this->detach(memberRef, member);
            member.phase = TaskPhase::Waiting;
            this->markDirty(job, memberRef);
            if (!job.closed()) {
                this->unplaced.insert(&job);
            }
        } else if (member.phase == TaskPhase::Starting || member.phase == TaskPhase::Running) {
            this->stopTask(memberRef, member, now);
        }
    }
}

void Coordinator::failJob(Job &job, JobEndReason reason, const TaskRef &ref, Instant now)
{
    const Task &counted = this->countedTask(job, ref);
    job.failure = JobEnd{reason, countedRef(job, ref), counted.failedRuns, counted.crashedRuns};
    this->closeJob(job, Job::State::FAILED, *job.failure, now);
}

void Coordinator::closeJob(Job &job, Job::State state, const JobEnd &end, Instant now)
{
    job.state = state;
    job.closedAt = now;
    job.finishedMs = std::max<std::int64_t>(1, this->unixMs);
    this->unplaced.erase(&job);
    this->publishState(job);
    this->markDirty(job);
    this->observer.jobFinished(job, end);
    if (state != Job::State::COMPLETED) {
        this->stopAll(job, now);
    }
}

void Coordinator::stopAll(Job &job, Instant now)
{
    for (auto &[key, run] : job.stepRuns()) {
        for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
            Task &task = run.tasks[index];
            const TaskRef ref{job.id(), run.occurrence, run.step, index};
            if (task.phase == TaskPhase::Recording) {
                this->detach(ref, task);
                task.phase = TaskPhase::Waiting;
                this->markDirty(job, ref);
            } else if (task.phase == TaskPhase::Starting || task.phase == TaskPhase::Running ||
                       task.phase == TaskPhase::Unconfirmed) {
                this->stopTask(ref, task, now);
            }
        }
    }
}

bool Coordinator::mayInterrupt(const Job &job, const TaskRef &ref) const
{
    const std::uint32_t mayMiss = job.stepSpec(ref.step).may_miss();
    const StepRun *run = job.findStepRun(ref.occurrence, ref.step);
    if (mayMiss == 0 || !run) {
        return true;
    }
    std::uint32_t missing = 0;
    for (std::uint32_t index = 0; index < run->tasks.size(); ++index) {
        const Task &task = run->tasks[index];
        const bool working = task.phase == TaskPhase::Running && task.percent >= 100;
        missing += index != ref.index && !working ? 1 : 0;
    }
    return missing < mayMiss;
}

} // namespace godwitfall
