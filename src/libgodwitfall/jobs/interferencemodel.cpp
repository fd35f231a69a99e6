#include "interferencemodel.h"

#include <algorithm>

namespace godwitfall {

namespace {

/** Multiple of the base latency at the knee: a load of 0.8. */
constexpr double kneeFactor = 5.0;
/** Load for each multiple of the base latency above the knee. */
constexpr double overloadSlope = 1.0 / 200.0;
constexpr double knee = 1.0 - 1.0 / kneeFactor;
/** Share of an error that one sample corrects. */
constexpr double learningRate = 0.35;
/** Factor added where an error is shared among images: the known cause bears most of it. */
constexpr double unknownPressure = 0.3;
/** Factor of a pair that was never seen together; that of most harmless pairs. */
constexpr double assumedPressure = 0.0;
/** Factor that no pair exceeds; a whole worker then presses five times what a queue bears. */
constexpr double largestFactor = 5.0;
/** Share of a factor kept in a sample of the serving image without the filling one, so that an
 * avoided pair is tried again in time. */
constexpr double fade = 0.9995;

double loadAt(double factor)
{
    return factor <= kneeFactor ? 1.0 - 1.0 / factor
                                : 1.0 - 1.0 / kneeFactor + (factor - kneeFactor) * overloadSlope;
}

} // namespace

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

double InterferenceModel::pressure(const std::string &serving, const std::string &filling) const
{
    const auto found = this->factors.find({serving, filling});
    return found == this->factors.end() ? assumedPressure : found->second;
}

double InterferenceModel::pressure(const std::string &serving,
                                   const std::vector<FillShare> &filling, double least) const
{
    double sum = 0.0;
    for (const FillShare &fill : filling) {
        const double factor = this->pressure(serving, fill.image);
        sum += factor >= least ? factor * fill.share : 0.0;
    }
    return sum;
}

void InterferenceModel::observe(const std::string &serving, double ownLoad, double loadBefore,
                                double load, const std::vector<FillShare> &filling)
{
    for (auto at = this->factors.lower_bound({serving, {}});
         at != this->factors.end() && at->first.first == serving; ++at) {
        at->second *= fade;
    }
    // Above the knee a queue drains slowly, so its tail tells of what was there before.
    if (loadBefore > knee) {
        return;
    }
    double squares = 0.0;
    for (const FillShare &fill : filling) {
        const double weight = this->pressure(serving, fill.image) + unknownPressure;
        squares += fill.share * fill.share * weight;
    }
    if (squares <= 0.0) {
        return;
    }
    const double error = load - ownLoad - this->pressure(serving, filling);
    for (const FillShare &fill : filling) {
        double &factor =
            this->factors.try_emplace({serving, fill.image}, assumedPressure).first->second;
        const double weight = factor + unknownPressure;
        factor = std::clamp(factor + learningRate * error * fill.share * weight / squares, 0.0,
                            largestFactor);
    }
}

} // namespace godwitfall
