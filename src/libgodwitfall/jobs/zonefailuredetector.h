#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "clock.h"
#include "ids.h"

namespace godwitfall {

/**
 * Detects availability zones that are unresponsive as a whole.
 *
 * The workers of a zone together respond far more often than each by itself, so a zone that is cut
 * off is detected long before its workers time out one by one. Time is measured up to the newest
 * response of any zone, so a process that was paused takes no zone for unresponsive.
 */
class ZoneFailureDetector
{
public:
    /** Consecutive responses of a zone that may be missing. */
    static constexpr std::int64_t missedResponses = 8;
    /** Lower limit of the timeout; above a round trip and a slow response. */
    static constexpr Duration minTimeout{300};
    /** Upper limit of the timeout, for zones with few workers. */
    static constexpr Duration maxTimeout{1500};

    /** Every worker is expected to respond at least once per interval. */
    explicit ZoneFailureDetector(Duration responseInterval);

    /** Counts a worker of the zone. */
    void addWorker(const ZoneId &zone);

    /** Sets the worker counts to 0 and keeps the response times. */
    void resetWorkerCounts();

    /** Records a response of a worker of the zone. */
    void responded(const ZoneId &zone, Instant now);

    /** Returns whether the zone has exceeded its timeout while other zones respond. */
    bool unresponsive(const ZoneId &zone) const;

    void clear();

private:
    struct Zone
    {
        std::int64_t workers = 0;
        Instant lastSeenAt;
    };

    const Duration responseInterval;
    std::map<std::string, Zone> zones;
    Instant newestResponseAt; ///< Of all zones.
};

} // namespace godwitfall
