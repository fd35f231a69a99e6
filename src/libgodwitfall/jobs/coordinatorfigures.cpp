// What the coordinator tells logs and metrics of itself.
#include "coordinatorfigures.h"

#include "coordinator.h"

namespace godwitfall {

namespace {

constexpr std::array<const char *, workKinds> kindNames = {"plain", "serving", "filling"};

WorkKind kindOf(const jobs::StepSpec &step)
{
    return step.fills()          ? WorkKind::Filling
           : step.long_running() ? WorkKind::Serving
                                 : WorkKind::Plain;
}

void count(const Task &task, TaskFigures &figures)
{
    switch (task.phase) {
    case TaskPhase::Waiting:
        ++figures.waiting;
        break;
    case TaskPhase::Recording:
    case TaskPhase::Starting:
    case TaskPhase::Unconfirmed:
        ++figures.starting;
        break;
    case TaskPhase::Running:
        ++figures.running;
        break;
    case TaskPhase::Stopping:
        ++figures.stopping;
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

CoordinatorFigures Coordinator::figures(Instant now) const
{
    constexpr double fullPace = 100.0;
    CoordinatorFigures figures;
    for (const auto &[id, worker] : this->workers) {
        if (!worker->listed) {
            continue;
        }
        ++figures.workers;
        figures.silent += now - worker->heardAt > PlacementPolicy::silenceLimit ? 1 : 0;
        figures.resting += now < worker->restUntil ? 1 : 0;
        figures.draining += worker->entry.draining ? 1 : 0;
        figures.milliCores += worker->entry.capacity.milliCores;
        figures.reservedMilliCores += worker->reserved.milliCores;
        figures.memoryMb += worker->entry.capacity.memoryMb;
        figures.reservedMemoryMb += worker->reserved.memoryMb;
    }
    figures.workerSearches = this->searches;
    figures.openJobs = static_cast<std::uint32_t>(this->open.size());
    for (const Job *job : this->open) {
        for (std::uint32_t occurrence = 0; occurrence < job->occurrences(); ++occurrence) {
            if (job->dueMs(occurrence) > this->unixMs) {
                break;
            }
            for (int index = 0; index < job->spec().steps_size(); ++index) {
                const auto number = static_cast<std::uint32_t>(index);
                const jobs::StepSpec &step = job->stepSpec(number);
                TaskFigures &tasks = figures.tasks.at(static_cast<std::size_t>(kindOf(step)));
                const StepRun *run = job->findStepRun(occurrence, number);
                if (!run) {
                    const bool turn = !job->closed() && job->dependenciesDone(occurrence, number);
                    tasks.waiting += turn ? step.count() : 0;
                    continue;
                }
                for (const Task &task : run->tasks) {
                    count(task, tasks);
                    if (step.fills() && task.phase == TaskPhase::Running) {
                        figures.fillingMilliCores +=
                            static_cast<std::int64_t>(step.milli_cores() * task.pace / fullPace);
                    }
                    figures.missedTargets += task.targetMissedSince != Instant() ? 1 : 0;
                }
            }
        }
    }
    return figures;
}

} // namespace godwitfall
