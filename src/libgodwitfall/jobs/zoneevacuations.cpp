#include "zoneevacuations.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace godwitfall {

namespace {

/** Fraction (1/n) of the bound that the age of the view may use up; the rest is for an order in
 * transit. */
constexpr std::int64_t viewAgeDivisor = 2;

} // namespace

ZoneEvacuations::ZoneEvacuations(Duration bound)
    : bound(bound)
{}

bool ZoneEvacuations::apply(const ZoneId &zone, bool requested, std::uint64_t offset)
{
    // A reading of the newest records is more recent than all that was read before it, also if the
    // store has been set up anew and its offsets are lower.
    std::map<ZoneId, std::uint64_t> &known = this->newest ? *this->newest : this->offsets;
    const auto [entry, isFirst] = known.try_emplace(zone, offset);
    if (!isFirst && offset < entry->second) {
        return false;
    }
    entry->second = offset;
    return requested ? this->zones.insert(zone).second : this->zones.erase(zone) > 0;
}

void ZoneEvacuations::beginNewest()
{
    this->newest.emplace();
}

std::vector<ZoneId> ZoneEvacuations::endNewest()
{
    std::vector<ZoneId> withdrawn;
    if (!this->newest) {
        return withdrawn;
    }
    std::copy_if(this->zones.begin(), this->zones.end(), std::back_inserter(withdrawn),
                 [&](const ZoneId &zone) { return !this->newest->contains(zone); });
    for (const ZoneId &zone : withdrawn) {
        this->zones.erase(zone);
    }
    this->offsets = std::move(*this->newest);
    this->newest.reset();
    return withdrawn;
}

void ZoneEvacuations::readTo(Instant asOf)
{
    this->viewedAt = std::max(this->viewedAt, asOf);
}

bool ZoneEvacuations::outdated(Instant now) const
{
    return this->bound > Duration(0) && this->age(now) > this->bound / viewAgeDivisor;
}

} // namespace godwitfall
