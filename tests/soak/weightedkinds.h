#pragma once

#include <functional>
#include <numeric>
#include <random>
#include <vector>

namespace godwitfall::soak {

/** One kind of thing that a plan does. */
template <typename Plan>
struct WeightedKind
{
    const char *name;
    unsigned weight;
    std::function<void(Plan &plan)> act;
};

/** Draws one of the kinds by their weights. */
template <typename Plan>
const WeightedKind<Plan> &drawKind(const std::vector<WeightedKind<Plan>> &kinds,
                                   std::mt19937_64 &random)
{
    const auto total =
        std::accumulate(kinds.begin(), kinds.end(), 0U,
                        [](unsigned sum, const auto &kind) { return sum + kind.weight; });
    std::uint64_t drawn = random() % total;
    auto kind = kinds.begin();
    for (; drawn >= kind->weight; ++kind) {
        drawn -= kind->weight;
    }
    return *kind;
}

} // namespace godwitfall::soak
