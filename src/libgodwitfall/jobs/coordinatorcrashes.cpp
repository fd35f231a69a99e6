// Tasks under which workers crash: counting, clearing and giving up.
#include "coordinator.h"

#include <algorithm>

namespace godwitfall {

TaskRef Coordinator::countedRef(const Job &job, const TaskRef &ref)
{
    const std::uint32_t index = job.stepSpec(ref.step).gang() ? 0 : ref.index;
    return TaskRef{ref.job, ref.occurrence, ref.step, index};
}

Task &Coordinator::countedTask(Job &job, const TaskRef &ref)
{
    return job.stepRun(ref.occurrence, ref.step).tasks[countedRef(job, ref).index];
}

bool Coordinator::mayBeCause(const TaskRef &ref, const Task &task) const
{
    if (task.harmless) {
        return false;
    }
    switch (task.phase) {
    case TaskPhase::Running:
        return true;
    case TaskPhase::Starting: {
        // A start that certainly did not reach the worker has done nothing there.
        const auto start = this->starts.find(ref);
        return start != this->starts.end() && (start->second.unanswered || start->second.inFlight);
    }
    case TaskPhase::Stopping:
        return !task.listed;
    case TaskPhase::Unconfirmed:
        return this->unixMs - task.placedMs < adoptedHarmlessAge.count();
    case TaskPhase::Waiting:
    case TaskPhase::Recording:
    case TaskPhase::Done:
        break;
    }
    return false;
}

std::vector<std::pair<TaskRef, Job *>> Coordinator::causesOfCrash(const WorkerState &worker) const
{
    std::vector<std::pair<TaskRef, Job *>> begun;
    std::int64_t latestMs = 0;
    for (const auto &[ref, job] : worker.tasks) {
        const Task &task = *job->task(ref);
        if (this->mayBeCause(ref, task)) {
            begun.emplace_back(ref, job);
            latestMs = task.startTaken ? std::max(latestMs, task.placedMs) : latestMs;
        }
    }
    // Of a start that had no reply nothing tells whether the worker crashed before it or after.
    std::erase_if(begun, [&](const auto &entry) {
        const Task &task = *entry.second->task(entry.first);
        return task.startTaken && task.placedMs < latestMs - crashDelay.count();
    });
    return begun;
}

Coordinator::JobSet Coordinator::countCrash(const WorkerState &worker)
{
    const std::vector<std::pair<TaskRef, Job *>> causes = this->causesOfCrash(worker);
    const std::size_t enough = causes.size() == 1 ? crashesToGiveUpAlone : crashesToGiveUp;
    JobSet toGiveUp;
    for (const auto &[ref, job] : causes) {
        const std::uint32_t run = job->task(ref)->run;
        std::vector<std::uint32_t> &crashed = countedTask(*job, ref).crashedRuns;
        if (job->closed() || std::find(crashed.begin(), crashed.end(), run) != crashed.end()) {
            continue;
        }
        crashed.push_back(run);
        this->markDirty(*job, countedRef(*job, ref));
        const bool givenUp = crashed.size() >= enough;
        this->observer.crashCounted(ref, run, worker.entry.id, crashed.size(), givenUp);
        if (givenUp) {
            toGiveUp.insert(job);
        }
    }
    return toGiveUp;
}

void Coordinator::giveUp(const JobSet &toGiveUp, Instant now)
{
    for (Job *job : toGiveUp) {
        if (!job->closed()) {
            this->closeJob(*job, Job::State::FAILED, now);
        }
    }
}

void Coordinator::noteAtWork(WorkerState &worker, Job &job, const TaskRef &ref, Task &task,
                             Instant now)
{
    if (task.harmless || task.phase != TaskPhase::Running || now - task.since < harmlessAge) {
        return;
    }
    task.harmless = true;
    std::vector<std::uint32_t> &crashed = countedTask(job, ref).crashedRuns;
    if (!crashed.empty()) {
        crashed.clear();
        worker.suspects.erase(ref);
        this->markDirty(job, countedRef(job, ref));
    }
}

void Coordinator::placeSuspects(Job &job, StepRun &run,
                                const std::vector<WorkerState *> &candidates,
                                PlacementRequest request, Instant now)
{
    for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
        Task &task = run.tasks[index];
        request.crashes = task.crashedRuns.size();
        if (request.crashes == 0 || task.phase != TaskPhase::Waiting ||
            this->hasOrphanRun(TaskRef{job.id(), run.occurrence, run.step, index}, now)) {
            continue;
        }
        if (WorkerState *worker = this->policy.choose(candidates, request, now)) {
            task.run += 1;
            this->place(job, run, index, *worker, now);
        }
    }
}

} // namespace godwitfall
