#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "clock.h"
#include "ids.h"

namespace godwitfall {

/**
 * The zones whose evacuation operators request, as read from the store's records, and how old that
 * view is.
 */
class ZoneEvacuations
{
public:
    /** bound: from the acknowledgement of a request until nothing starts in its zone any more; 0:
     * the deployment sets none, and no view is too old. */
    explicit ZoneEvacuations(Duration bound);

    /** Applies the record of the zone; returns whether it changes what is requested. Records that
     * are older than the newest known one of the zone have no effect. */
    bool apply(const ZoneId &zone, bool requested, std::uint64_t offset);

    /** Begins to read the newest record of each key anew. The records that follow replace all that
     * was read before, which holds until endNewest(). */
    void beginNewest();

    /** Ends the reading; returns the zones without a record, which are no longer requested. */
    std::vector<ZoneId> endNewest();

    /** Records that all that was stored at the time has been applied. */
    void readTo(Instant asOf);

    const std::set<ZoneId> &requested() const { return this->zones; }

    /** Returns how long ago all that was stored had been applied. */
    Duration age(Instant now) const { return now - this->viewedAt; }

    /** Returns whether the view is too old to start anything, as a request may be unknown. */
    bool outdated(Instant now) const;

private:
    const Duration bound;
    std::set<ZoneId> zones;
    std::map<ZoneId, std::uint64_t> offsets; ///< Of the newest known record of each zone.
    /** The same of the records since beginNewest(); unset: no such reading is in progress. */
    std::optional<std::map<ZoneId, std::uint64_t>> newest;
    Instant viewedAt{-1000000};
};

} // namespace godwitfall
