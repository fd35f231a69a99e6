#include "pacepolicy.h"

#include <algorithm>
#include <cmath>

namespace godwitfall {

namespace {

/** Variance of the change of a load until a pace takes effect, after about a second. */
constexpr double reactionVariance = 0.0016;
constexpr double inverseRootTwoPi = 0.3989;

/** Returns the growth of the probability of a missed target per unit of load, at the headroom. */
double missSlope(double headroom, double variance)
{
    const double deviation = std::sqrt(variance + reactionVariance);
    const double distance = std::max(0.0, headroom) / deviation;
    return inverseRootTwoPi * std::exp(-0.5 * distance * distance) / deviation;
}

} // namespace

PacePolicy::PacePolicy(const InterferenceModel &interference)
    : interference(interference)
{}

double PacePolicy::cost(const std::string &image, Activity activity,
                        const std::vector<ServingTask> &serving,
                        const std::vector<BestEffortShare> &bestEffort) const
{
    double misses = 0.0;
    for (const ServingTask &task : serving) {
        const double factor = this->interference.pressure(task.image, image, activity);
        const LoadEstimate pressure = this->interference.pressure(task.image, bestEffort);
        misses +=
            factor * missSlope(task.headroom - pressure.mean, task.variance + pressure.variance);
    }
    return misses * workPerMiss;
}

void PacePolicy::lowerPaces(const std::vector<ServingTask> &serving,
                            std::vector<PacedTask> &bestEffort) const
{
    constexpr double rounding = 0.01;
    std::vector<BestEffortShare> shares;
    shares.reserve(bestEffort.size());
    for (const PacedTask &task : bestEffort) {
        shares.push_back(BestEffortShare{task.image, task.share * task.pace, task.activity});
    }
    while (true) {
        PacedTask *costliest = nullptr;
        double highest = 1.0;
        for (PacedTask &task : bestEffort) {
            const double cost = task.pace < task.least + rounding
                                    ? 0.0
                                    : this->cost(task.image, task.activity, serving, shares);
            if (cost > highest) {
                highest = cost;
                costliest = &task;
            }
        }
        if (!costliest) {
            return;
        }
        costliest->pace = std::max(costliest->least, costliest->pace - paceStep);
        const auto index = static_cast<std::size_t>(costliest - bestEffort.data());
        shares[index].share = costliest->share * costliest->pace;
    }
}

} // namespace godwitfall
