#include "interferencemodel.h"

#include <algorithm>
#include <cmath>

namespace godwitfall {

namespace {

/** Multiple of the base latency at the knee: a load of 0.8. */
constexpr double kneeFactor = 5.0;
/** Load for each multiple of the base latency above the knee. */
constexpr double overloadSlope = 1.0 / 200.0;
constexpr double kneeLoad = 1.0 - 1.0 / kneeFactor;
/** Factor of a pair without samples; most pairs do not interfere. */
constexpr double initialFactor = 0.1;
/** Variance of the factors of pairs; interfering pairs lie one to three above the others. */
constexpr double initialVariance = 1.0;
/** Added to the variance of a factor with each sample, so that changes are followed. */
constexpr double varianceGrowth = 0.0005;
/** Standard deviations to which an error is clamped: the queue may be filling or draining. */
constexpr double outlierBound = 2.5;
/** Largest factor of a pair; a whole worker then adds five times the load that a queue sustains. */
constexpr double maxFactor = 5.0;

/** Shares of its work that a task is assumed to do in each state. */
struct ActivityShares
{
    double calm = 0.5;
    double busy = 0.5;
};

ActivityShares sharesOf(Activity activity)
{
    switch (activity) {
    case Activity::Calm:
        return {1.0, 0.0};
    case Activity::Busy:
        return {0.0, 1.0};
    case Activity::Unknown:
        break;
    }
    return {};
}

/** Returns the load at which the tail latency is the given multiple of the base latency. */
double loadAtFactor(double factor)
{
    return factor <= kneeFactor ? 1.0 - 1.0 / factor
                                : 1.0 - 1.0 / kneeFactor + (factor - kneeFactor) * overloadSlope;
}

} // namespace

const InterferenceModel::Factors InterferenceModel::initialFactors = {
    {initialFactor, initialVariance}, {initialFactor, initialVariance}};

double InterferenceModel::loadOf(const std::string &serving, double tailMs)
{
    const double tail = std::max(1.0, tailMs);
    double &base = this->baseMs.try_emplace(serving, tail).first->second;
    base = std::min(base, tail);
    return loadAtFactor(tail / base);
}

double InterferenceModel::loadAtTarget(const std::string &serving, double targetMs) const
{
    const auto found = this->baseMs.find(serving);
    const double base = found == this->baseMs.end() ? 1.0 : found->second;
    return loadAtFactor(std::max(1.0, targetMs / base));
}

const InterferenceModel::Factors &InterferenceModel::factorsOf(const std::string &serving,
                                                               const std::string &bestEffort) const
{
    return factorsOf(this->factorsOf(serving), bestEffort);
}

const InterferenceModel::FactorsByImage *
InterferenceModel::factorsOf(const std::string &serving) const
{
    const auto found = this->factors.find(serving);
    return found == this->factors.end() ? nullptr : &found->second;
}

const InterferenceModel::Factors &InterferenceModel::factorsOf(const FactorsByImage *known,
                                                               const std::string &bestEffort)
{
    if (!known) {
        return initialFactors;
    }
    const auto found = known->find(bestEffort);
    return found == known->end() ? initialFactors : found->second;
}

double InterferenceModel::pressure(const std::string &serving, const std::string &bestEffort,
                                   Activity activity) const
{
    const Factors &known = this->factorsOf(serving, bestEffort);
    const ActivityShares part = sharesOf(activity);
    return part.calm * known.calm.mean + part.busy * known.busy.mean;
}

LoadEstimate InterferenceModel::pressure(const std::string &serving,
                                         const std::vector<BestEffortShare> &bestEffort) const
{
    LoadEstimate sum;
    const FactorsByImage *ofServing = this->factorsOf(serving);
    for (const BestEffortShare &entry : bestEffort) {
        const Factors &known = factorsOf(ofServing, entry.image);
        const ActivityShares part = sharesOf(entry.activity);
        const double calm = part.calm * entry.share;
        const double busy = part.busy * entry.share;
        sum.mean += calm * known.calm.mean + busy * known.busy.mean;
        sum.variance += calm * calm * known.calm.variance + busy * busy * known.busy.variance;
    }
    return sum;
}

void InterferenceModel::observe(const std::string &serving, const LoadEstimate &own,
                                double loadBefore, double load,
                                const std::vector<BestEffortShare> &bestEffort)
{
    // Above the knee a queue drains slowly, so its tail latency reflects earlier load.
    if (loadBefore > kneeLoad || bestEffort.empty()) {
        return;
    }
    const LoadEstimate expected = this->pressure(serving, bestEffort);
    const double variance = expected.variance + own.variance + sampleVariance;
    const double bound = outlierBound * std::sqrt(variance);
    const double error = std::clamp(load - own.mean - expected.mean, -bound, bound);
    FactorsByImage &ofServing = this->factors[serving];
    for (const BestEffortShare &entry : bestEffort) {
        Factors &known = ofServing.try_emplace(entry.image, initialFactors).first->second;
        const ActivityShares part = sharesOf(entry.activity);
        const auto correct = [&](Estimate &factor, double share) {
            const double gain = factor.variance * share / variance;
            factor.mean = std::clamp(factor.mean + gain * error, 0.0, maxFactor);
            factor.variance =
                std::min(initialVariance, factor.variance * (1.0 - gain * share) + varianceGrowth);
        };
        correct(known.calm, part.calm * entry.share);
        correct(known.busy, part.busy * entry.share);
    }
}

jobs::LearntPressures InterferenceModel::toMessage() const
{
    jobs::LearntPressures message;
    for (const auto &[serving, ofServing] : this->factors) {
        for (const auto &[bestEffort, known] : ofServing) {
            jobs::PressureFactors &entry = *message.add_factors();
            entry.set_serving(serving);
            entry.set_filling(bestEffort);
            entry.set_calm(static_cast<float>(known.calm.mean));
            entry.set_calm_variance(static_cast<float>(known.calm.variance));
            entry.set_busy(static_cast<float>(known.busy.mean));
            entry.set_busy_variance(static_cast<float>(known.busy.variance));
        }
    }
    for (const auto &[image, base] : this->baseMs) {
        jobs::BaseLatency &entry = *message.add_bases();
        entry.set_image(image);
        entry.set_milliseconds(static_cast<float>(base));
    }
    return message;
}

void InterferenceModel::restore(const jobs::LearntPressures &learned)
{
    const auto inRange = [](float mean, float variance) {
        return mean >= 0.0F && mean <= maxFactor && variance > 0.0F && variance <= initialVariance;
    };
    for (const jobs::PressureFactors &entry : learned.factors()) {
        if (inRange(entry.calm(), entry.calm_variance()) &&
            inRange(entry.busy(), entry.busy_variance())) {
            this->factors[entry.serving()][entry.filling()] = {
                {entry.calm(), entry.calm_variance()}, {entry.busy(), entry.busy_variance()}};
        }
    }
    for (const jobs::BaseLatency &entry : learned.bases()) {
        if (entry.milliseconds() >= 1.0F) {
            this->baseMs[entry.image()] = entry.milliseconds();
        }
    }
}

} // namespace godwitfall
