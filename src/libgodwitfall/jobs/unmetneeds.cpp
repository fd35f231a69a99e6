#include "unmetneeds.h"

#include <algorithm>

namespace godwitfall {

UnmetNeeds::Kind UnmetNeeds::kindOf(const RoomNeed &need)
{
    return {need.service, need.label, need.fillingImage, need.fills};
}

void UnmetNeeds::note(const RoomNeed &need)
{
    std::vector<Resources> &amounts = this->unmet[kindOf(need)];
    std::erase_if(amounts, [&](const Resources &greater) { return need.amount.fitsIn(greater); });
    amounts.push_back(need.amount);
}

bool UnmetNeeds::covers(const RoomNeed &need) const
{
    const auto found = this->unmet.find(kindOf(need));
    return found != this->unmet.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&](const Resources &amount) { return amount.fitsIn(need.amount); });
}

} // namespace godwitfall
