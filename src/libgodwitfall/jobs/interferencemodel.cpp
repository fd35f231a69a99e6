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
/** Factor that no pair exceeds; a whole worker then presses five times what a queue bears. */
constexpr double largestFactor = 5.0;
/** Share of a factor kept in a sample of the serving image without the filling one, so that an
 * avoided pair is tried again in time. */
constexpr double fade = 0.9995;

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

double InterferenceModel::Factors::of(Activity activity) const
{
    const CalmAndBusy part = partsOf(activity);
    return part.calm * this->calm + part.busy * this->busy;
}

double InterferenceModel::pressure(const std::string &serving, const std::string &filling,
                                   Activity activity) const
{
    const auto found = this->factors.find({serving, filling});
    return found == this->factors.end() ? 0.0 : found->second.of(activity);
}

double InterferenceModel::pressure(const std::string &serving,
                                   const std::vector<FillShare> &filling, double least) const
{
    double sum = 0.0;
    for (const FillShare &fill : filling) {
        if (this->pressure(serving, fill.image) >= least) {
            sum += this->pressure(serving, fill.image, fill.activity) * fill.share;
        }
    }
    return sum;
}

void InterferenceModel::observe(const std::string &serving, double ownLoad, double loadBefore,
                                double load, const std::vector<FillShare> &filling)
{
    for (auto at = this->factors.lower_bound({serving, {}});
         at != this->factors.end() && at->first.first == serving; ++at) {
        at->second.calm *= fade;
        at->second.busy *= fade;
    }
    // Above the knee a queue drains slowly, so its tail tells of what was there before.
    if (loadBefore > knee) {
        return;
    }
    double squares = 0.0;
    for (const FillShare &fill : filling) {
        const Factors &known = this->factors[{serving, fill.image}];
        const CalmAndBusy part = partsOf(fill.activity);
        squares += part.calm * part.calm * fill.share * fill.share * (known.calm + unknownPressure);
        squares += part.busy * part.busy * fill.share * fill.share * (known.busy + unknownPressure);
    }
    if (squares <= 0.0) {
        return;
    }
    const double error = load - ownLoad - this->pressure(serving, filling);
    for (const FillShare &fill : filling) {
        Factors &known = this->factors[{serving, fill.image}];
        const CalmAndBusy part = partsOf(fill.activity);
        const auto correct = [&](double &factor, double share) {
            const double step = learningRate * error * share * (factor + unknownPressure) / squares;
            factor = std::clamp(factor + step, 0.0, largestFactor);
        };
        correct(known.calm, part.calm * fill.share);
        correct(known.busy, part.busy * fill.share);
    }
}

} // namespace godwitfall
