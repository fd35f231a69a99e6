#include "placementpolicy.h"

#include <algorithm>

namespace godwitfall {

namespace {

/** Added for a rack other than the wanted one; more than any difference in load. */
constexpr double farCost = 10.0;
/** Added for each job that recently failed on the worker. */
constexpr double failureCost = 0.3;

/** Weight of the harm between images against a share of a worker's processors. */
constexpr double interferenceCost = 3.0;
/** Added for filling tasks while a serving task there misses its target. */
constexpr double slowWorkerCost = 2.0;

/** Returns the share of the worker's processors in use, with what a task would add. */
double loadWith(const WorkerState &worker, double added)
{
    const double capacity = static_cast<double>(std::max<std::int64_t>(
        1, worker.entry.capacity.milliCores));
    const double reserved = static_cast<double>(worker.reserved.milliCores);
    const double filling = static_cast<double>(worker.fillMilliCores);
    return (reserved * PlacementPolicy::servingUse + filling + added) / capacity;
}

} // namespace

PlacementPolicy::PlacementPolicy(const InterferenceModel &interference)
    : interference(interference)
{}

double PlacementPolicy::interferenceOf(const WorkerState &worker, const jobs::StepSpec &step) const
{
    double worst = 0.0;
    for (const auto &[ref, job] : worker.tasks) {
        const jobs::StepSpec &other = job->stepSpec(ref.step);
        if (step.fills() && other.target_ms() > 0) {
            worst = std::max(worst, this->interference.harm(other.image(), step.image()));
        } else if (step.target_ms() > 0 && other.fills()) {
            worst = std::max(worst, this->interference.harm(step.image(), other.image()));
        }
    }
    return worst;
}

bool PlacementPolicy::usable(const WorkerState &worker, const PlacementRequest &request,
                             Instant now) const
{
    const jobs::StepSpec &step = request.job.stepSpec(request.step);
    const WorkerEntry &entry = worker.entry;
    if (!worker.listed || entry.draining || !worker.heard || now < worker.restUntil ||
        now - worker.heardAt > silenceLimit) {
        return false;
    }
    if (!step.required_label().empty() && !entry.hasLabel(step.required_label())) {
        return false;
    }
    if (!request.onlyRack.empty() && entry.rack != request.onlyRack) {
        return false;
    }
    if (step.max_per_worker() > 0 &&
        worker.countOf(request.job.id(), request.occurrence, request.step) >=
            step.max_per_worker()) {
        return false;
    }
    if (!worker.fits(step)) {
        return false;
    }
    if (step.fills()) {
        return loadWith(worker, step.milli_cores()) <= fillCeiling;
    }
    return true;
}

double PlacementPolicy::cost(const WorkerState &worker, const jobs::StepSpec &step) const
{
    const double capacity =
        static_cast<double>(std::max<std::int64_t>(1, worker.entry.capacity.milliCores));
    // Filling tasks go where most is left over; reserved room is packed tightly, so that wide tasks
    // still find some.
    double cost = step.fills()
                      ? loadWith(worker, step.milli_cores())
                      : 1.0 - static_cast<double>(worker.reserved.milliCores) / capacity;
    if (step.fills() || step.target_ms() > 0) {
        cost += this->interferenceOf(worker, step) * interferenceCost;
    }
    if (step.fills() && worker.servingRatio > InterferenceModel::slowRatio) {
        cost += slowWorkerCost;
    }
    cost += failureCost * static_cast<double>(worker.failedJobs.size());
    if (!step.rack_affinity().empty() && worker.entry.rack != step.rack_affinity()) {
        cost += farCost;
    }
    return cost;
}

WorkerState *PlacementPolicy::choose(const std::vector<WorkerState *> &candidates,
                                     const PlacementRequest &request, Instant now) const
{
    const jobs::StepSpec &step = request.job.stepSpec(request.step);
    WorkerState *best = nullptr;
    double bestCost = 0.0;
    for (WorkerState *worker : candidates) {
        if (!this->usable(*worker, request, now)) {
            continue;
        }
        const double cost = this->cost(*worker, step);
        if (!best || cost < bestCost) {
            best = worker;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace godwitfall
