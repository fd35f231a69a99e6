#include "unplaceabledemands.h"

#include <algorithm>

namespace godwitfall {

UnplaceableDemands::Kind UnplaceableDemands::kindOf(const ResourceDemand &need)
{
    return {need.service, need.label, need.bestEffortImage, need.fills};
}

void UnplaceableDemands::add(const ResourceDemand &need)
{
    std::vector<Resources> &amounts = this->unmet[kindOf(need)];
    std::erase_if(amounts, [&](const Resources &greater) { return need.amount.fitsIn(greater); });
    amounts.push_back(need.amount);
}

bool UnplaceableDemands::covers(const ResourceDemand &need) const
{
    const auto found = this->unmet.find(kindOf(need));
    return found != this->unmet.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&](const Resources &amount) { return amount.fitsIn(need.amount); });
}

} // namespace godwitfall
