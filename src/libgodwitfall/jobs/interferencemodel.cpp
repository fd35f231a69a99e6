#include "interferencemodel.h"

#include <algorithm>

namespace godwitfall {

namespace {

/** Harm assumed of a pair that was never seen, as pseudo-counts. */
constexpr double priorSlow = 0.05;
constexpr double priorCount = 1.0;
/** Evidence kept of a pair; older evidence fades, as loads change. */
constexpr double memory = 40.0;
/** Weight of a halted image's effect against a plain sample. */
constexpr double trialWeight = 4.0;

} // namespace

double InterferenceModel::harm(const std::string &serving, const std::string &filling) const
{
    const auto found = this->pairs.find({serving, filling});
    if (found == this->pairs.end()) {
        return priorSlow / priorCount;
    }
    const Evidence &evidence = found->second;
    return (evidence.slow + priorSlow) / (evidence.slow + evidence.calm + priorCount);
}

void InterferenceModel::observe(const std::string &serving, double ratio,
                                const std::vector<std::string> &filling)
{
    const bool slow = ratio > slowRatio;
    double total = 0.0;
    std::vector<double> shares;
    for (const std::string &image : filling) {
        shares.push_back(this->harm(serving, image));
        total += shares.back();
    }
    for (std::size_t index = 0; index < filling.size(); ++index) {
        Evidence &evidence = this->pairs[{serving, filling[index]}];
        if (slow) {
            evidence.slow += shares[index] / total;
        } else {
            evidence.calm += 1.0;
        }
        const double count = evidence.slow + evidence.calm;
        if (count > memory) {
            evidence.slow *= memory / count;
            evidence.calm *= memory / count;
        }
    }
}

void InterferenceModel::confirm(const std::string &serving, const std::string &filling, bool caused)
{
    Evidence &evidence = this->pairs[{serving, filling}];
    (caused ? evidence.slow : evidence.calm) += trialWeight;
}

} // namespace godwitfall
