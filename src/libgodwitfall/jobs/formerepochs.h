#pragma once

#include <cstdint>
#include <map>

#include "clock.h"

namespace godwitfall {

/**
 * Until when coordinators of former epochs may have sent orders.
 *
 * Each coordinator passes it on to the next one as ages, as clocks of two instances are not
 * compared. A wait that counts from an order is then not begun anew by each takeover.
 */
class FormerEpochs
{
public:
    /** Age of an epoch's last order from which no wait depends on how old it is exactly. */
    static constexpr Duration keptAge{60000};

    /** Records that coordinators of the epoch and of all before it sent no order after the time. */
    void add(std::uint64_t epoch, Instant lastOrderAt);

    /** Returns the latest time at which a coordinator of the epoch may have sent an order; for an
     * epoch that is not known, the latest time for any. Requires that an epoch was added. */
    Instant lastOrderAt(std::uint64_t epoch) const;

    /** Removes what later epochs cover, as their last orders are older than keptAge. */
    void removeCovered(Instant now);

    /** By epoch, with the time of add(). */
    const std::map<std::uint64_t, Instant> &all() const { return this->lastOrders; }

private:
    std::map<std::uint64_t, Instant> lastOrders;
};

} // namespace godwitfall
