#include "interferencemodel.h"

#include <algorithm>
#include <cmath>

namespace godwitfall {

namespace {

/** Multiple of the base latency at the knee: a load of 0.8. */
constexpr double kneeFactor = 5.0;
/** Load for each multiple of the base latency above the knee. */
constexpr double overloadSlope = 1.0 / 200.0;
constexpr double knee = 1.0 - 1.0 / kneeFactor;
/** Factor of a pair that was never seen together; most pairs are harmless. */
constexpr double firstFactor = 0.1;
/** Variance of the factors of pairs; the harmful ones lie one to three above the others. */
constexpr double firstVariance = 1.0;
/** What the variance of a factor grows by with each sample, so that changes are followed. */
constexpr double drift = 0.0005;
/** Standard deviations beyond which an error counts no more: a queue that fills or drains. */
constexpr double surprise = 2.5;
/** Factor that no pair exceeds; a whole worker then presses five times what a queue bears. */
constexpr double largestFactor = 5.0;
/** What parts of its work a task is taken to do in each state. */
struct CalmAndBusy
{
    double calm = 0.5;
    double busy = 0.5;
};

CalmAndBusy partsOf(Activity activity)
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

double loadAt(double factor)
{
    return factor <= kneeFactor ? 1.0 - 1.0 / factor
                                : 1.0 - 1.0 / kneeFactor + (factor - kneeFactor) * overloadSlope;
}

} // namespace

const InterferenceModel::Factors InterferenceModel::unseen = {{firstFactor, firstVariance},
                                                              {firstFactor, firstVariance}};

double InterferenceModel::loadOf(const std::string &serving, double tailMs)
{
    const double tail = std::max(1.0, tailMs);
    double &base = this->baseMs.try_emplace(serving, tail).first->second;
    base = std::min(base, tail);
    return loadAt(tail / base);
}

double InterferenceModel::loadAtTarget(const std::string &serving, double targetMs) const
{
    const auto found = this->baseMs.find(serving);
    const double base = found == this->baseMs.end() ? 1.0 : found->second;
    return loadAt(std::max(1.0, targetMs / base));
}

const InterferenceModel::Factors &InterferenceModel::factorsOf(const std::string &serving,
                                                               const std::string &filling) const
{
    return factorsOf(this->factorsOf(serving), filling);
}

const InterferenceModel::FactorsByFilling *
InterferenceModel::factorsOf(const std::string &serving) const
{
    const auto found = this->factors.find(serving);
    return found == this->factors.end() ? nullptr : &found->second;
}

const InterferenceModel::Factors &InterferenceModel::factorsOf(const FactorsByFilling *known,
                                                               const std::string &filling)
{
    if (!known) {
        return unseen;
    }
    const auto found = known->find(filling);
    return found == known->end() ? unseen : found->second;
}

double InterferenceModel::pressure(const std::string &serving, const std::string &filling,
                                   Activity activity) const
{
    const Factors &known = this->factorsOf(serving, filling);
    const CalmAndBusy part = partsOf(activity);
    return part.calm * known.calm.mean + part.busy * known.busy.mean;
}

LoadEstimate InterferenceModel::pressure(const std::string &serving,
                                         const std::vector<BestEffortShare> &filling) const
{
    LoadEstimate sum;
    const FactorsByFilling *ofServing = this->factorsOf(serving);
    for (const BestEffortShare &fill : filling) {
        const Factors &known = factorsOf(ofServing, fill.image);
        const CalmAndBusy part = partsOf(fill.activity);
        const double calm = part.calm * fill.share;
        const double busy = part.busy * fill.share;
        sum.mean += calm * known.calm.mean + busy * known.busy.mean;
        sum.variance += calm * calm * known.calm.variance + busy * busy * known.busy.variance;
    }
    return sum;
}

void InterferenceModel::observe(const std::string &serving, const LoadEstimate &own,
                                double loadBefore, double load,
                                const std::vector<BestEffortShare> &filling)
{
    // Above the knee a queue drains slowly, so its tail tells of what was there before.
    if (loadBefore > knee || filling.empty()) {
        return;
    }
    const LoadEstimate expected = this->pressure(serving, filling);
    const double variance = expected.variance + own.variance + sampleVariance;
    const double bound = surprise * std::sqrt(variance);
    const double error = std::clamp(load - own.mean - expected.mean, -bound, bound);
    FactorsByFilling &ofServing = this->factors[serving];
    for (const BestEffortShare &fill : filling) {
        Factors &known = ofServing.try_emplace(fill.image, unseen).first->second;
        const CalmAndBusy part = partsOf(fill.activity);
        const auto correct = [&](Estimate &factor, double share) {
            const double gain = factor.variance * share / variance;
            factor.mean = std::clamp(factor.mean + gain * error, 0.0, largestFactor);
            factor.variance =
                std::min(firstVariance, factor.variance * (1.0 - gain * share) + drift);
        };
        correct(known.calm, part.calm * fill.share);
        correct(known.busy, part.busy * fill.share);
    }
}

jobs::LearntPressures InterferenceModel::toMessage() const
{
    jobs::LearntPressures message;
    for (const auto &[serving, ofServing] : this->factors) {
        for (const auto &[filling, known] : ofServing) {
            jobs::PressureFactors &entry = *message.add_factors();
            entry.set_serving(serving);
            entry.set_filling(filling);
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

void InterferenceModel::restore(const jobs::LearntPressures &learnt)
{
    const auto inRange = [](float mean, float variance) {
        return mean >= 0.0F && mean <= largestFactor && variance > 0.0F &&
               variance <= firstVariance;
    };
    for (const jobs::PressureFactors &entry : learnt.factors()) {
        if (inRange(entry.calm(), entry.calm_variance()) &&
            inRange(entry.busy(), entry.busy_variance())) {
            this->factors[entry.serving()][entry.filling()] = {
                {entry.calm(), entry.calm_variance()}, {entry.busy(), entry.busy_variance()}};
        }
    }
    for (const jobs::BaseLatency &entry : learnt.bases()) {
        if (entry.milliseconds() >= 1.0F) {
            this->baseMs[entry.image()] = entry.milliseconds();
        }
    }
}

} // namespace godwitfall
