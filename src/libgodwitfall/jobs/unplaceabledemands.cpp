#include "unplaceabledemands.h"

#include <algorithm>

namespace godwitfall {

UnplaceableDemands::Kind UnplaceableDemands::kindOf(const ResourceDemand &demand)
{
    return {demand.service, demand.label, demand.bestEffortImage, demand.fills, demand.mayCrowd};
}

void UnplaceableDemands::add(const ResourceDemand &demand)
{
    std::vector<Resources> &amounts = this->amountsByKind[kindOf(demand)];
    std::erase_if(amounts, [&](const Resources &greater) { return demand.amount.fitsIn(greater); });
    amounts.push_back(demand.amount);
}

bool UnplaceableDemands::covers(const ResourceDemand &demand) const
{
    const auto found = this->amountsByKind.find(kindOf(demand));
    return found != this->amountsByKind.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&](const Resources &amount) { return amount.fitsIn(demand.amount); });
}

} // namespace godwitfall
