#include "placementpolicy.h"

#include <algorithm>

#include "workersearch.h"

namespace godwitfall {

namespace {

/** Added for a rack other than the wanted one; more than any difference in load. */
constexpr double farCost = 10.0;
/** Added for each job that recently failed on the worker. */
constexpr double failureCost = 0.3;

/** Weight of harm against a share of a worker's processors. */
constexpr double harmCost = 1.0;
/** Harm beyond which one worker is as bad as another. */
constexpr double largestHarm = 5.0;
/** Part of the way from a serving task's load now to its peak for which filling work is placed; the
 * pace follows what the load does later. */
constexpr double caution = 0.25;
/** Load of its own assumed of a serving task that does not run yet. */
constexpr double usualLoad = 0.5;

/** Gain of a worker whose serving tasks are all of the same image: images that one filling task
 * slows are then kept apart from those that bear it. */
constexpr double likenessGain = 1.0;

/** Returns how much more of the worker's serving tasks have the image than have another, -1 to 1.
 */
double likeness(const WorkerState &worker, const std::string &image)
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

/** Cost of each other filling image on the worker: few of them show more clearly which one slows
 * what serves there. */
constexpr double mixtureCost = 0.1;

double otherFills(const WorkerState &worker, const std::string &image)
{
    double others = 0.0;
    for (const BestEffortShare &fill : worker.fullPaceBestEffortShares()) {
        others += fill.image != image ? 1.0 : 0.0;
    }
    return others;
}

/** Returns the share of the worker's processors in use, with what a task would add. */
double loadWith(const WorkerState &worker, double added)
{
    const double reserved = static_cast<double>(worker.reserved.milliCores);
    const double filling = static_cast<double>(worker.bestEffortMilliCores);
    return worker.shareOf(reserved * PlacementPolicy::servingUse + filling + added);
}

} // namespace

PlacementPolicy::PlacementPolicy(const InterferenceModel &interference)
    : interference(interference)
    , paces(interference)
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
        const double bearable = this->interference.loadAtTarget(step.image(), step.target_ms());
        serving.push_back(ServingTask{step.image(), bearable - load, own.variance});
    }
    return serving;
}

double PlacementPolicy::harmWith(WorkerState &worker, const jobs::StepSpec &step, Instant now) const
{
    if (!step.fills() && step.target_ms() == 0) {
        return 0.0;
    }
    const auto known = worker.interferenceCosts.find(step.image());
    if (known != worker.interferenceCosts.end()) {
        return known->second;
    }
    if (!worker.serving) {
        worker.serving = this->servingOn(worker, now, caution);
    }
    double harm = 0.0;
    if (step.fills()) {
        std::vector<BestEffortShare> filling = worker.fullPaceBestEffortShares();
        filling.push_back(BestEffortShare{step.image(), worker.shareOf(step.milli_cores())});
        harm = this->paces.cost(step.image(), Activity::Unknown, *worker.serving, filling);
    } else {
        const double bearable = this->interference.loadAtTarget(step.image(), step.target_ms());
        const std::vector<BestEffortShare> &filling = worker.fullPaceBestEffortShares();
        for (const BestEffortShare &fill : filling) {
            harm = std::max(
                harm, this->paces.cost(fill.image, fill.activity,
                                       {ServingTask{step.image(), bearable - usualLoad}}, filling));
        }
    }
    worker.interferenceCosts[step.image()] = harm;
    return harm;
}

bool PlacementPolicy::admits(const WorkerState &worker, const PlacementRequest &request,
                             Instant now) const
{
    const jobs::StepSpec &step = request.job.stepSpec(request.step);
    const WorkerEntry &entry = worker.entry;
    if (!worker.listed || entry.draining || !worker.responded || worker.zoneUnresponsive ||
        now < worker.ejectedUntil || now - worker.lastSeenAt > responseTimeout) {
        return false;
    }
    if (!worker.fits(step) ||
        (step.fills() && loadWith(worker, step.milli_cores()) > fillCeiling)) {
        return false;
    }
    if (!step.required_label().empty() && !entry.hasLabel(step.required_label())) {
        return false;
    }
    if (!request.onlyRack.empty() && entry.rack != request.onlyRack) {
        return false;
    }
    return step.max_per_worker() == 0 || worker.countOf(request.job.id(), request.occurrence,
                                                        request.step) < step.max_per_worker();
}

bool PlacementPolicy::tolerates(WorkerState &worker, const PlacementRequest &request,
                                Instant now) const
{
    const jobs::StepSpec &step = request.job.stepSpec(request.step);
    return !step.fills() || request.allowInterference || this->harmWith(worker, step, now) <= 1.0;
}

bool PlacementPolicy::usable(WorkerState &worker, const PlacementRequest &request,
                             Instant now) const
{
    return this->admits(worker, request, now) && this->tolerates(worker, request, now);
}

double PlacementPolicy::costLowerBound(const WorkerState &worker, const jobs::StepSpec &step) const
{
    // Filling tasks go where most is left over; reserved room is packed tightly, so that wide tasks
    // still find some.
    double cost = step.fills()
                      ? loadWith(worker, step.milli_cores())
                      : 1.0 - worker.shareOf(static_cast<double>(worker.reserved.milliCores));
    cost -= step.target_ms() > 0 ? likenessGain : 0.0;
    cost += failureCost * static_cast<double>(worker.failedJobs.size());
    if (!step.rack_affinity().empty() && worker.entry.rack != step.rack_affinity()) {
        cost += farCost;
    }
    return cost;
}

double PlacementPolicy::cost(WorkerState &worker, const jobs::StepSpec &step, Instant now) const
{
    double cost = this->costLowerBound(worker, step);
    if (step.target_ms() > 0) {
        cost += likenessGain * (1.0 - likeness(worker, step.image()));
    }
    if (step.fills()) {
        cost += mixtureCost * otherFills(worker, step.image());
    }
    return cost + harmCost * std::min(largestHarm, this->harmWith(worker, step, now));
}

WorkerState *PlacementPolicy::choose(const std::vector<WorkerState *> &candidates,
                                     const PlacementRequest &request, Instant now) const
{
    return WorkerSearch(*this, candidates, request, now).next();
}

} // namespace godwitfall
