#include "formerepochs.h"

#include <algorithm>

namespace godwitfall {

void FormerEpochs::add(std::uint64_t epoch, Instant lastOrderAt)
{
    const auto [entry, added] = this->lastOrders.emplace(epoch, lastOrderAt);
    // Each report is an upper bound, so the earliest one is the tightest.
    entry->second = std::min(entry->second, lastOrderAt);
}

Instant FormerEpochs::lastOrderAt(std::uint64_t epoch) const
{
    auto entry = this->lastOrders.lower_bound(epoch);
    if (epoch == 0 || entry == this->lastOrders.end()) {
        return this->lastOrders.rbegin()->second;
    }
    // The bound of a later epoch holds for earlier ones as well.
    Instant last = entry->second;
    for (; entry != this->lastOrders.end(); ++entry) {
        last = std::min(last, entry->second);
    }
    return last;
}

void FormerEpochs::removeCovered(Instant now)
{
    const auto newestOld =
        std::find_if(this->lastOrders.rbegin(), this->lastOrders.rend(),
                     [&](const auto &entry) { return now - entry.second > keptAge; });
    if (newestOld != this->lastOrders.rend()) {
        this->lastOrders.erase(this->lastOrders.begin(), std::prev(newestOld.base()));
    }
}

} // namespace godwitfall
