// Tasks under which workers crash: counting, clearing and giving up.
#include "coordinator.h"

#include <algorithm>

namespace godwitfall {

Task &Coordinator::countedTask(Job &job, const TaskRef &ref)
{
    StepRun &run = job.stepRun(ref.occurrence, ref.step);
    return job.stepSpec(ref.step).gang() ? run.tasks.front() : run.tasks[ref.index];
}

bool Coordinator::mayHaveCrashed(const WorkerState &worker, const TaskRef &ref,
                                 const Task &task) const
{
    switch (task.phase) {
    case TaskPhase::Running:
        return !task.listed || worker.lastSeenAt - task.since < harmlessAge;
    case TaskPhase::Starting: {
        // A start that certainly did not reach the worker has done nothing there.
        const auto start = this->starts.find(ref);
        return start != this->starts.end() && (start->second.unanswered || start->second.inFlight);
    }
    case TaskPhase::Stopping:
        return !task.listed;
    case TaskPhase::Unconfirmed:
        return true;
    case TaskPhase::Waiting:
    case TaskPhase::Recording:
    case TaskPhase::Done:
        break;
    }
    return false;
}

Coordinator::JobSet Coordinator::countCrash(const WorkerState &worker)
{
    std::vector<std::pair<TaskRef, Job *>> causes;
    for (const auto &[ref, job] : worker.tasks) {
        if (this->mayHaveCrashed(worker, ref, *job->task(ref))) {
            causes.emplace_back(ref, job);
        }
    }
    const std::size_t enough = causes.size() == 1 ? crashesToGiveUpAlone : crashesToGiveUp;
    JobSet hopeless;
    for (const auto &[ref, job] : causes) {
        const std::uint32_t run = job->task(ref)->run;
        std::vector<std::uint32_t> &crashed = countedTask(*job, ref).crashedRuns;
        if (job->closed() || std::find(crashed.begin(), crashed.end(), run) != crashed.end()) {
            continue;
        }
        crashed.push_back(run);
        this->markDirty(*job);
        const bool givenUp = crashed.size() >= enough;
        this->observer.crashCounted(ref, run, worker.entry.id, crashed.size(), givenUp);
        if (givenUp) {
            hopeless.insert(job);
        }
    }
    return hopeless;
}

void Coordinator::giveUp(const JobSet &hopeless, Instant now)
{
    for (Job *job : hopeless) {
        if (!job->closed()) {
            this->closeJob(*job, Job::State::FAILED, now);
        }
    }
}

void Coordinator::clearCrashes(WorkerState &worker, Job &job, const TaskRef &ref, const Task &task,
                               Instant now)
{
    std::vector<std::uint32_t> &crashed = this->countedTask(job, ref).crashedRuns;
    if (!crashed.empty() && task.phase == TaskPhase::Running && now - task.since >= harmlessAge) {
        crashed.clear();
        worker.suspects.erase(ref);
        this->markDirty(job);
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
