// Statistics of the coordinator for logs and metrics.
#include "coordinatorstatistics.h"

#include <algorithm>

#include "coordinator.h"

namespace godwitfall {

namespace {

constexpr std::array<const char *, workKinds> kindNames = {"plain", "serving", "filling"};
constexpr std::array<const char *, delayReasonCount> reasonNames = {
    "former_lease", "lease",     "start",          "stop",   "orphan_run",  "short_lived",
    "held_back",    "no_worker", "zone_evacuated", "halted", "not_reported"};
constexpr std::array<const char *, 6> obstacleNames = {
    "none", "interference", "best_effort_limit", "ejected", "takes_no_tasks", "capacity"};

WorkKind kindOf(const jobs::StepSpec &step)
{
    return step.fills()          ? WorkKind::BestEffort
           : step.long_running() ? WorkKind::Serving
                                 : WorkKind::Plain;
}

void count(const Task &task, bool jobClosed, TaskCounts &counts)
{
    switch (task.phase) {
    case TaskPhase::Waiting:
        counts.waiting += jobClosed ? 0 : 1;
        break;
    case TaskPhase::Recording:
    case TaskPhase::Starting:
    case TaskPhase::Unconfirmed:
        ++counts.starting;
        break;
    case TaskPhase::Running:
        ++counts.running;
        break;
    case TaskPhase::Stopping:
        ++counts.stopping;
        break;
    case TaskPhase::Done:
        break;
    }
}

} // namespace

const char *toText(WorkKind kind)
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

const char *toText(DelayReason reason)
{
    return reasonNames.at(static_cast<std::size_t>(reason));
}

const char *toText(PlacementObstacle obstacle)
{
    return obstacleNames.at(static_cast<std::size_t>(obstacle));
}

CoordinatorStatistics Coordinator::statistics(Instant now) const
{
    constexpr double fullPace = 100.0;
    CoordinatorStatistics statistics;
    for (const auto &[id, worker] : this->workers) {
        if (!worker->listed) {
            continue;
        }
        ++statistics.workers;
        statistics.unresponsive +=
            now - worker->lastSeenAt > PlacementPolicy::responseTimeout ? 1 : 0;
        statistics.ejected += now < worker->ejectedUntil ? 1 : 0;
        statistics.draining += worker->entry.draining ? 1 : 0;
        statistics.milliCores += worker->entry.capacity.milliCores;
        statistics.reservedMilliCores += worker->reserved.milliCores;
        statistics.memoryMb += worker->entry.capacity.memoryMb;
        statistics.reservedMemoryMb += worker->reserved.memoryMb;
    }
    statistics.openStarts = this->countOpenStarts();
    statistics.startLimit = this->startLimit.current();
    statistics.workerSearches = this->searches;
    statistics.shortServices = static_cast<std::uint32_t>(this->shortServices.size());
    statistics.openJobs = static_cast<std::uint32_t>(this->open.size());
    for (const Job *job : this->open) {
        for (std::uint32_t occurrence = 0; occurrence < job->occurrences(); ++occurrence) {
            if (job->dueMs(occurrence) > this->unixMs) {
                break;
            }
            for (int index = 0; index < job->spec().steps_size(); ++index) {
                const auto number = static_cast<std::uint32_t>(index);
                const jobs::StepSpec &step = job->stepSpec(number);
                TaskCounts &tasks = statistics.tasks.at(static_cast<std::size_t>(kindOf(step)));
                const StepRun *run = job->findStepRun(occurrence, number);
                if (!run) {
                    const bool turn = !job->closed() && job->dependenciesDone(occurrence, number);
                    tasks.waiting += turn ? step.count() : 0;
                    continue;
                }
                for (const Task &task : run->tasks) {
                    count(task, job->closed(), tasks);
                    if (step.fills() && task.phase == TaskPhase::Running) {
                        statistics.bestEffortMilliCores +=
                            static_cast<std::int64_t>(step.milli_cores() * task.pace / fullPace);
                    }
                    statistics.missedTargets += task.targetMissedSince != Instant() ? 1 : 0;
                }
            }
        }
    }
    for (const DelayedTask &task : this->delayedTasks(now)) {
        ++statistics.delayed.at(static_cast<std::size_t>(task.reason));
    }
    for (const IdleJob &job : this->idleJobs(now)) {
        ++statistics.idleJobs.at(static_cast<std::size_t>(job.first.reason));
    }
    return statistics;
}

DelayReason Coordinator::waitingReason(const TaskRef &ref, const Task &task, const StepWait *wait,
                                       Instant now) const
{
    if (this->hasOrphanRun(ref, now)) {
        return DelayReason::OrphanRun;
    }
    if (const Job *job = this->table.find(ref.job); job && this->holdBackOf(*job, ref, now)) {
        return DelayReason::HeldBack;
    }
    if (task.run == 0 && wait && wait->yields) {
        return DelayReason::ShortLivedFirst;
    }
    const Job *job = this->table.find(ref.job);
    return job && this->isHeldByEvacuation(*job, ref.step) ? DelayReason::ZoneEvacuated
                                                           : DelayReason::NoWorker;
}

bool Coordinator::isHeldByEvacuation(const Job &job, std::uint32_t step) const
{
    if (this->evacuatedZones.empty()) {
        return false;
    }
    const std::string service = this->rulesOf(job).service;
    const jobs::StepSpec &spec = job.stepSpec(step);
    return std::any_of(this->workers.begin(), this->workers.end(), [&](const auto &known) {
        const WorkerState &worker = *known.second;
        const WorkerEntry &entry = worker.entry;
        return worker.zoneEvacuated && worker.listed && worker.entryIsCurrent() &&
               !entry.draining && entry.service.value() == service && worker.fits(spec) &&
               (spec.required_label().empty() || entry.hasLabel(spec.required_label()));
    });
}

std::optional<DelayedTask> Coordinator::delayOf(const Job &job, const StepRun &run,
                                                std::uint32_t index, Instant now) const
{
    const Task &task = run.tasks[index];
    DelayedTask delayed;
    delayed.task = TaskRef{job.id(), run.occurrence, run.step, index};
    delayed.worker = task.worker;
    Instant since = task.since;
    if (task.phase == TaskPhase::Waiting) {
        const StepWait *wait = job.findWait(run.occurrence, run.step);
        delayed.reason = this->waitingReason(delayed.task, task, wait, now);
        since = since == Instant() && wait ? wait->readySince : since;
    } else {
        const auto worker = this->workers.find(task.worker);
        if (worker == this->workers.end()) {
            return std::nullopt;
        }
        const bool replies = now - worker->second->lastSeenAt <= PlacementPolicy::responseTimeout;
        if (!worker->second->responded) {
            delayed.reason = DelayReason::FormerLease;
        } else if (!replies) {
            delayed.reason = DelayReason::Lease;
            since = std::max(since, worker->second->lastSeenAt);
        } else if (task.phase == TaskPhase::Running) {
            return std::nullopt;
        } else {
            delayed.reason =
                task.phase == TaskPhase::Stopping ? DelayReason::Stop : DelayReason::Start;
        }
        delayed.left = std::max(Duration(0), worker->second->lapsesAt(this->bounds) - now);
        delayed.placedAgo = Duration(this->unixMs - task.placedMs);
    }
    delayed.waited = since == Instant() ? Duration(0) : now - since;
    return delayed;
}

std::vector<DelayedTask> Coordinator::delayedTasks(Instant now) const
{
    std::vector<DelayedTask> result;
    for (const Job *job : this->open) {
        if (job->closed()) {
            continue;
        }
        for (const auto &[key, run] : job->stepRuns()) {
            if (!job->stepSpec(run.step).long_running()) {
                continue;
            }
            for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
                const auto delayed = this->delayOf(*job, run, index, now);
                if (delayed && delayed->waited >= delayToReport) {
                    result.push_back(*delayed);
                }
            }
        }
        if (!this->evacuatedZones.empty()) {
            this->addDelayedByEvacuation(*job, now, result);
        }
    }
    return result;
}

void Coordinator::addDelayedByEvacuation(const Job &job, Instant now,
                                         std::vector<DelayedTask> &delayed) const
{
    for (std::uint32_t occurrence = 0;
         occurrence < job.occurrences() && job.dueMs(occurrence) <= this->unixMs; ++occurrence) {
        for (int index = 0; index < job.spec().steps_size(); ++index) {
            const auto number = static_cast<std::uint32_t>(index);
            const jobs::StepSpec &step = job.stepSpec(number);
            const StepWait *wait = job.findWait(occurrence, number);
            if (!step.long_running() || !wait || wait->readySince == Instant() ||
                now - wait->readySince < delayToReport || job.findStepRun(occurrence, number) ||
                !this->isHeldByEvacuation(job, number)) {
                continue;
            }
            for (std::uint32_t task = 0; task < step.count(); ++task) {
                delayed.push_back(DelayedTask{TaskRef{job.id(), occurrence, number, task},
                                              {},
                                              DelayReason::ZoneEvacuated,
                                              now - wait->readySince,
                                              Duration(0),
                                              std::nullopt});
            }
        }
    }
}

bool Coordinator::isAtWork(const Task &task, Instant now) const
{
    const auto worker = this->workers.find(task.worker);
    return task.phase == TaskPhase::Running && task.pace > 0 && worker != this->workers.end() &&
           now - worker->second->lastSeenAt <= PlacementPolicy::responseTimeout;
}

DelayedTask Coordinator::idleTask(const Job &job, const TaskRef &ref, Instant now) const
{
    const StepRun *run = job.findStepRun(ref.occurrence, ref.step);
    if (!run) {
        const StepWait *wait = job.findWait(ref.occurrence, ref.step);
        DelayedTask unplaced;
        unplaced.task = ref;
        unplaced.reason = this->waitingReason(ref, Task(), wait, now);
        return unplaced;
    }
    if (auto delayed = this->delayOf(job, *run, ref.index, now)) {
        return *delayed;
    }
    const Task &task = run->tasks[ref.index];
    DelayedTask running;
    running.task = ref;
    running.worker = task.worker;
    running.reason = task.pace == 0 ? DelayReason::Halted : DelayReason::NotReported;
    return running;
}

std::optional<IdleJob> Coordinator::idleOccurrence(const Job &job, std::uint32_t occurrence,
                                                   Instant now) const
{
    IdleJob idle;
    idle.job = job.id();
    std::optional<TaskRef> first;
    for (int index = 0; index < job.spec().steps_size(); ++index) {
        const auto step = static_cast<std::uint32_t>(index);
        if (!job.dependenciesDone(occurrence, step)) {
            continue;
        }
        const StepRun *run = job.findStepRun(occurrence, step);
        if (!run) {
            idle.waiting += job.stepSpec(step).count();
            first = first.value_or(TaskRef{job.id(), occurrence, step, 0});
            continue;
        }
        for (std::uint32_t task = 0; task < run->tasks.size(); ++task) {
            const Task &known = run->tasks[task];
            if (known.phase == TaskPhase::Done) {
                continue;
            }
            if (this->isAtWork(known, now)) {
                return std::nullopt;
            }
            idle.waiting += known.phase == TaskPhase::Waiting ? 1 : 0;
            idle.placed += known.worker.empty() ? 0 : 1;
            idle.halted += known.phase == TaskPhase::Running && known.pace == 0 ? 1 : 0;
            first = first.value_or(TaskRef{job.id(), occurrence, step, task});
        }
    }
    if (!first) {
        return std::nullopt;
    }
    idle.first = this->idleTask(job, *first, now);
    return idle;
}

std::vector<IdleJob> Coordinator::idleJobs(Instant now) const
{
    std::vector<IdleJob> result;
    for (const Job *job : this->open) {
        const Instant since = std::max({job->workedAt, job->knownSince, this->begunAt});
        if (job->closed() || now - since < delayToReport) {
            continue;
        }
        for (std::uint32_t occurrence = 0; occurrence < job->occurrences(); ++occurrence) {
            const std::int64_t dueMs = job->dueMs(occurrence);
            const Duration sinceDue = dueMs == 0 ? now - since : Duration(this->unixMs - dueMs);
            if (sinceDue < delayToReport) {
                break;
            }
            if (auto idle = this->idleOccurrence(*job, occurrence, now)) {
                idle->idle = std::min(now - since, sinceDue);
                result.push_back(*idle);
            }
        }
    }
    return result;
}

PlacementObstacle Coordinator::obstacleFor(const TaskRef &ref, Instant now)
{
    const Job *job = this->table.find(ref.job);
    if (!job) {
        return PlacementObstacle::None;
    }
    const jobs::StepSpec &step = job->stepSpec(ref.step);
    const PlacementRequest request{*job, ref.occurrence, ref.step, {}, false};
    PlacementObstacle nearest = PlacementObstacle::Capacity;
    for (WorkerState *worker : this->candidates(*job)) {
        const bool hasLabel =
            step.required_label().empty() || worker->entry.hasLabel(step.required_label());
        if (!worker->fits(step) || !hasLabel) {
            continue;
        }
        PlacementObstacle obstacle = PlacementObstacle::None;
        if (now < worker->ejectedUntil || worker->probe) {
            obstacle = PlacementObstacle::Ejected;
        } else if (!PlacementPolicy::takesTasks(*worker, now)) {
            obstacle = PlacementObstacle::TakesNoTasks;
        } else if (!this->policy.admits(*worker, request, now)) {
            obstacle =
                step.fills() ? PlacementObstacle::BestEffortLimit : PlacementObstacle::Capacity;
        } else if (!this->policy.tolerates(*worker, request, now)) {
            obstacle = PlacementObstacle::Interference;
        }
        nearest = std::min(nearest, obstacle);
    }
    return nearest;
}

} // namespace godwitfall
