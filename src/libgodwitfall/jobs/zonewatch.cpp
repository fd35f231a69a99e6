#include "zonewatch.h"

#include <algorithm>

namespace godwitfall {

ZoneWatch::ZoneWatch(Duration answerGap)
    : answerGap(answerGap)
{}

void ZoneWatch::addWorker(const ZoneId &zone)
{
    ++this->zones[zone.value()].workers;
}

void ZoneWatch::forgetWorkers()
{
    for (auto &[name, zone] : this->zones) {
        zone.workers = 0;
    }
}

void ZoneWatch::heard(const ZoneId &zone, Instant now)
{
    Instant &heardAt = this->zones[zone.value()].heardAt;
    heardAt = std::max(heardAt, now);
    this->newest = std::max(this->newest, now);
}

bool ZoneWatch::silent(const ZoneId &name) const
{
    const auto found = this->zones.find(name.value());
    if (found == this->zones.end() || found->second.heardAt == Instant()) {
        return false;
    }
    const Zone &zone = found->second;
    const Duration usual = this->answerGap / std::max<std::int64_t>(1, zone.workers);
    const Duration allowed = std::clamp(usual * missedAnswers, leastSilence, mostSilence);
    return this->newest - zone.heardAt > allowed;
}

void ZoneWatch::clear()
{
    this->zones.clear();
    this->newest = Instant();
}

} // namespace godwitfall
