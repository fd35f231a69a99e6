#include "placementpolicy.h"

#include <algorithm>

#include "workersearch.h"

namespace godwitfall {

namespace {

/** Added for a rack other than the preferred one; exceeds any difference in load. */
constexpr double otherRackCost = 10.0;
/** Added for each job that recently failed on the worker. */
constexpr double failureCost = 0.3;

/** Added for each task that a suspect is to be kept apart from; exceeds any other difference. */
constexpr double suspectCost = 100.0;
/** Crashes from which a task is also kept apart from tasks that have just begun. */
constexpr std::size_t crashesToIsolate = 2;

/** Weight of the interference cost against a share of a worker's processors. */
constexpr double interferenceWeight = 1.0;
/** Interference cost beyond which workers count as equal. */
constexpr double maxInterferenceCost = 5.0;
/** Part of the way from a serving task's present load to its recent peak that placement of
 * best-effort tasks assumes; their pace follows later changes of the load. */
constexpr double peakWeight = 0.25;
/** Load assumed of a serving task that does not run yet. */
constexpr double assumedLoad = 0.5;

/** Gain of a worker whose serving tasks all have the image of the task to place: images that a
 * best-effort task slows are then kept apart from those that tolerate it. */
constexpr double sameImageGain = 1.0;

/** Returns the share of the worker's serving tasks with the image minus the share with others, -1
 * to 1. */
double sameImageBalance(const WorkerState &worker, const std::string &image)
{
    double same = 0.0;
    double other = 0.0;
    for (const auto &[ref, job] : worker.tasks) {
        const jobs::StepSpec &step = job->stepSpec(ref.step);
        if (step.target_ms() > 0) {
            (step.image() == image ? same : other) += 1.0;
        }
    }
    return same + other > 0.0 ? (same - other) / (same + other) : 0.0;
}

/** Cost of each other best-effort image on the worker: with few images, samples show more clearly
 * which one slows the serving tasks. */
constexpr double imageMixCost = 0.1;

double otherBestEffortImages(const WorkerState &worker, const std::string &image)
{
    double others = 0.0;
    for (const BestEffortShare &share : worker.fullPaceBestEffortShares()) {
        others += share.image != image ? 1.0 : 0.0;
    }
    return others;
}

/** Returns the share of the worker's processors in use once a task adds the milli-cores. */
double utilizationWith(const WorkerState &worker, double added)
{
    const double reserved = static_cast<double>(worker.reserved.milliCores);
    const double bestEffort = static_cast<double>(worker.bestEffortMilliCores);
    return worker.shareOf(reserved * PlacementPolicy::reservedUtilization + bestEffort + added);
}

} // namespace

PlacementPolicy::PlacementPolicy(const InterferenceModel &interference)
    : interference(interference)
    , pacePolicy(interference)
{}

std::vector<ServingTask> PlacementPolicy::servingOn(const WorkerState &worker, Instant now,
                                                    double towardsPeak) const
{
    std::vector<ServingTask> serving;
    for (const auto &[ref, job] : worker.tasks) {
        const jobs::StepSpec &step = job->stepSpec(ref.step);
        const StepRun *run = job->findStepRun(ref.occurrence, ref.step);
        if (step.target_ms() == 0 || !run) {
            continue;
        }
        const auto known = job->ownLoad(ref.occurrence, ref.step, now);
        const LoadEstimate own = known.value_or(LoadEstimate{1.0, 0.0});
        const double load = own.mean + towardsPeak * std::max(0.0, run->peakLoad - own.mean);
        const double tolerable = this->interference.loadAtTarget(step.image(), step.target_ms());
        serving.push_back(ServingTask{step.image(), tolerable - load, own.variance});
    }
    return serving;
}

double PlacementPolicy::interferenceCost(WorkerState &worker, const jobs::StepSpec &step,
                                         Instant now) const
{
    if (!step.fills() && step.target_ms() == 0) {
        return 0.0;
    }
    const auto cached = worker.interferenceCosts.find(step.image());
    if (cached != worker.interferenceCosts.end()) {
        return cached->second;
    }
    if (!worker.serving) {
        worker.serving = this->servingOn(worker, now, peakWeight);
    }
    double cost = 0.0;
    if (step.fills()) {
        std::vector<BestEffortShare> bestEffort = worker.fullPaceBestEffortShares();
        bestEffort.push_back(BestEffortShare{step.image(), worker.shareOf(step.milli_cores())});
        cost = this->pacePolicy.cost(step.image(), Activity::Unknown, *worker.serving, bestEffort);
    } else {
        const double tolerable = this->interference.loadAtTarget(step.image(), step.target_ms());
        const std::vector<BestEffortShare> &bestEffort = worker.fullPaceBestEffortShares();
        for (const BestEffortShare &share : bestEffort) {
            cost = std::max(
                cost, this->pacePolicy.cost(share.image, share.activity,
                                            {ServingTask{step.image(), tolerable - assumedLoad}},
                                            bestEffort));
        }
    }
    worker.interferenceCosts[step.image()] = cost;
    return cost;
}

bool PlacementPolicy::takesTasks(const WorkerState &worker, Instant now)
{
    return worker.listed && worker.entryIsCurrent() && !worker.entry.draining && worker.responded &&
           !worker.zoneUnresponsive && !worker.zoneEvacuated && now >= worker.ejectedUntil &&
           !worker.probe && !(worker.onProbation && !worker.orphans.empty()) &&
           now - worker.lastSeenAt <= responseTimeout;
}

Resources PlacementPolicy::freeCapacity(const WorkerState &worker, bool bestEffort, Instant now)
{
    if (!takesTasks(worker, now)) {
        return {};
    }
    Resources free = worker.entry.capacity - worker.used();
    if (bestEffort) {
        const double share = bestEffortCeiling - utilizationWith(worker, 0.0);
        free.milliCores = static_cast<std::int64_t>(
            share * static_cast<double>(worker.entry.capacity.milliCores));
    }
    return free;
}

bool PlacementPolicy::suits(const WorkerState &worker, const PlacementRequest &request, Instant now)
{
    const jobs::StepSpec &step = request.job.stepSpec(request.step);
    const WorkerEntry &entry = worker.entry;
    if (!takesTasks(worker, now) || !hasRequiredLabel(worker, step)) {
        return false;
    }
    if (!request.onlyRack.empty() && entry.rack != request.onlyRack) {
        return false;
    }
    return step.max_per_worker() == 0 ||
           worker.countOf(StepRef{request.job.id(), request.occurrence, request.step}) <
               step.max_per_worker();
}

bool PlacementPolicy::admits(const WorkerState &worker, const PlacementRequest &request,
                             Instant now) const
{
    const jobs::StepSpec &step = request.job.stepSpec(request.step);
    const bool leavesCapacity = !step.fills() || request.mayCrowd ||
                                utilizationWith(worker, step.milli_cores()) <= bestEffortCeiling;
    return worker.fits(step) && leavesCapacity && suits(worker, request, now);
}

bool PlacementPolicy::tolerates(WorkerState &worker, const PlacementRequest &request,
                                Instant now) const
{
    const jobs::StepSpec &step = request.job.stepSpec(request.step);
    return !step.fills() || request.allowInterference ||
           this->interferenceCost(worker, step, now) <= 1.0;
}

bool PlacementPolicy::usable(WorkerState &worker, const PlacementRequest &request,
                             Instant now) const
{
    return this->admits(worker, request, now) && this->tolerates(worker, request, now);
}

double PlacementPolicy::costLowerBound(const WorkerState &worker, const jobs::StepSpec &step) const
{
    // Best-effort tasks go where most capacity is left; reserved resources are packed tightly, so
    // that large tasks still find a worker.
    double cost = step.fills()
                      ? utilizationWith(worker, step.milli_cores())
                      : 1.0 - worker.shareOf(static_cast<double>(worker.reserved.milliCores));
    cost -= step.target_ms() > 0 ? sameImageGain : 0.0;
    cost += failureCost * static_cast<double>(worker.failedJobs.size());
    if (!step.rack_affinity().empty() && worker.entry.rack != step.rack_affinity()) {
        cost += otherRackCost;
    }
    return cost;
}

double PlacementPolicy::cost(WorkerState &worker, const jobs::StepSpec &step, Instant now) const
{
    double cost = this->costLowerBound(worker, step);
    if (step.target_ms() > 0) {
        cost += sameImageGain * (1.0 - sameImageBalance(worker, step.image()));
    }
    if (step.fills()) {
        cost += imageMixCost * otherBestEffortImages(worker, step.image());
    }
    return cost + interferenceWeight *
                      std::min(maxInterferenceCost, this->interferenceCost(worker, step, now));
}

double PlacementPolicy::separationCost(const WorkerState &worker, const PlacementRequest &request)
{
    if (request.crashes == 0) {
        const bool awaitsVerdict =
            std::any_of(worker.suspects.begin(), worker.suspects.end(), [&](const TaskRef &ref) {
                return worker.tasks.at(ref)->crashesUnder(ref) >= crashesToIsolate;
            });
        return awaitsVerdict ? suspectCost : 0.0;
    }
    double others = static_cast<double>(worker.suspects.size());
    if (request.crashes >= crashesToIsolate) {
        for (const auto &[ref, job] : worker.tasks) {
            const Task &task = *job->task(ref);
            const bool settled = task.phase == TaskPhase::Running && task.listed;
            others += settled ? 0.0 : 1.0;
        }
    }
    return suspectCost * others;
}

WorkerState *PlacementPolicy::choose(const std::vector<WorkerState *> &candidates,
                                     const PlacementRequest &request, Instant now) const
{
    return WorkerSearch(*this, candidates, request, now).next();
}

} // namespace godwitfall
