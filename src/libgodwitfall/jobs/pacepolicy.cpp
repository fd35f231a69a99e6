#include "pacepolicy.h"

#include <algorithm>
#include <cmath>

namespace godwitfall {

namespace {

/** Variance of what a load does until a pace takes effect, about a second. */
constexpr double reactionVariance = 0.0016;
constexpr double inverseRootTwoPi = 0.3989;

/** Returns by how much the chance of missing a target grows with the load, at what room is left. */
double missSlope(double room, double variance)
{
    const double deviation = std::sqrt(variance + reactionVariance);
    const double distance = std::max(0.0, room) / deviation;
    return inverseRootTwoPi * std::exp(-0.5 * distance * distance) / deviation;
}

} // namespace

PacePolicy::PacePolicy(const InterferenceModel &interference)
    : interference(interference)
{}

double PacePolicy::cost(const std::string &image, Activity activity,
                        const std::vector<ServingTask> &serving,
                        const std::vector<BestEffortShare> &filling) const
{
    double misses = 0.0;
    for (const ServingTask &task : serving) {
        const double factor = this->interference.pressure(task.image, image, activity);
        const LoadEstimate pressure = this->interference.pressure(task.image, filling);
        misses +=
            factor * missSlope(task.headroom - pressure.mean, task.variance + pressure.variance);
    }
    return misses * workPerMiss;
}

void PacePolicy::lowerPaces(const std::vector<ServingTask> &serving,
                            std::vector<PacedTask> &filling) const
{
    constexpr double halted = 0.01;
    std::vector<BestEffortShare> shares;
    shares.reserve(filling.size());
    for (const PacedTask &task : filling) {
        shares.push_back(BestEffortShare{task.image, task.share * task.pace, task.activity});
    }
    while (true) {
        PacedTask *dearest = nullptr;
        double highest = 1.0;
        for (PacedTask &task : filling) {
            const double cost =
                task.pace < halted ? 0.0 : this->cost(task.image, task.activity, serving, shares);
            if (cost > highest) {
                highest = cost;
                dearest = &task;
            }
        }
        if (!dearest) {
            return;
        }
        dearest->pace = std::max(0.0, dearest->pace - paceStep);
        const auto index = static_cast<std::size_t>(dearest - filling.data());
        shares[index].share = dearest->share * dearest->pace;
    }
}

} // namespace godwitfall
