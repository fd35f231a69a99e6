// Statistics of the coordinator for logs and metrics.
#include "coordinatorstatistics.h"

#include "coordinator.h"

namespace godwitfall {

namespace {

constexpr std::array<const char *, workKinds> kindNames = {"plain", "serving", "filling"};

WorkKind kindOf(const jobs::StepSpec &step)
{
    return step.fills()          ? WorkKind::BestEffort
           : step.long_running() ? WorkKind::Serving
                                 : WorkKind::Plain;
}

void count(const Task &task, TaskCounts &counts)
{
    switch (task.phase) {
    case TaskPhase::Waiting:
        ++counts.waiting;
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
    statistics.workerSearches = this->searches;
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
                    count(task, tasks);
                    if (step.fills() && task.phase == TaskPhase::Running) {
                        statistics.bestEffortMilliCores +=
                            static_cast<std::int64_t>(step.milli_cores() * task.pace / fullPace);
                    }
                    statistics.missedTargets += task.targetMissedSince != Instant() ? 1 : 0;
                }
            }
        }
    }
    return statistics;
}

} // namespace godwitfall
