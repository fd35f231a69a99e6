#include "zonefailuredetector.h"

#include <algorithm>

namespace godwitfall {

ZoneFailureDetector::ZoneFailureDetector(Duration responseInterval)
    : responseInterval(responseInterval)
{}

void ZoneFailureDetector::addWorker(const ZoneId &zone)
{
    ++this->zones[zone.value()].workers;
}

void ZoneFailureDetector::resetWorkerCounts()
{
    for (auto &[name, zone] : this->zones) {
        zone.workers = 0;
    }
}

void ZoneFailureDetector::responded(const ZoneId &zone, Instant now)
{
    Instant &lastSeenAt = this->zones[zone.value()].lastSeenAt;
    lastSeenAt = std::max(lastSeenAt, now);
    this->newestResponseAt = std::max(this->newestResponseAt, now);
}

bool ZoneFailureDetector::unresponsive(const ZoneId &name) const
{
    const auto found = this->zones.find(name.value());
    if (found == this->zones.end() || found->second.lastSeenAt == Instant()) {
        return false;
    }
    const Zone &zone = found->second;
    const Duration expected = this->responseInterval / std::max<std::int64_t>(1, zone.workers);
    const Duration timeout = std::clamp(expected * missedResponses, minTimeout, maxTimeout);
    return this->newestResponseAt - zone.lastSeenAt > timeout;
}

void ZoneFailureDetector::clear()
{
    this->zones.clear();
    this->newestResponseAt = Instant();
}

} // namespace godwitfall
