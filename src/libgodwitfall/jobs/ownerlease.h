#pragma once

#include <cstdint>
#include <string>

#include "clock.h"
#include "jobtable.h"
#include "random.h"

namespace godwitfall {

/**
 * Says when an instance may claim coordination and how long its claim lets it order workers.
 *
 * Times are on a clock that also counts the time for which the process was suspended.
 */
class OwnerLease
{
public:
    /** Silence of the owner in the log after which another instance claims; from design, see
     * docs/PLATFORM.md. */
    static constexpr Duration ownerSilence{2500};
    /** Time after its last append for which an owner renews leases; from design, as above. */
    static constexpr Duration renewWithoutStore{5000};
    /** Age of the newest read above which the log is not known well enough to claim. */
    static constexpr Duration readFreshness{1500};
    /** Time after the log can be read again for which its owner is left to write first; two of its
     * records fit in. */
    static constexpr Duration returnPatience{700};
    /** Multiple of the owner's processors from which an instance takes coordination from it. */
    static constexpr double muchStronger = 2.0;
    /** Time for which an owner coordinates before a much stronger instance claims; a take-over's
     * work is done by then. */
    static constexpr Duration weakOwnerTime{4000};
    /** Range of the random delay before a claim, against claims at the same moment; less than what
     * the handicaps of strong and weak instances differ by. */
    static constexpr Duration claimSpread{60};

    /** Delay of an instance of one core before a claim; weaker ones wait longer in proportion, so
     * that coordination goes to who can bear it. At a tenth of a core it is above the spread of
     * reads and claims. */
    static constexpr Duration claimHandicap{25};
    static constexpr Duration longestHandicap{300};

    /** The processors are those that the process may use, as a share of one core. */
    OwnerLease(std::string instance, std::uint64_t incarnation, double processors, Random &random);

    /** Returns whether to claim now, given when the log's end was last read. */
    bool shouldClaim(const OwnerView &owner, Instant now, Instant readAt);

    /** Returns whether the owner has not so much more processors that it would stay the better one.
     */
    bool likelySuccessor(const OwnerView &owner) const
    {
        return this->processors * muchStronger > owner.processors;
    }

    /** Returns whether the view names this process as the owner. */
    bool owns(const OwnerView &owner) const;

    /** Notes that an append sent at the time was taken by the store under this claim. */
    void confirm(Instant sentAt);

    /** Returns whether leases of workers may be renewed. */
    bool mayRenew(Instant now) const { return now < this->confirmedAt + renewWithoutStore; }

    Instant lastConfirmed() const { return this->confirmedAt; }

private:
    /** Returns since when the owner may be replaced; the far future: it is well and strong. */
    Instant replaceableAt(const OwnerView &owner) const;

    const std::string instance;
    const std::uint64_t incarnation;
    const double processors;
    const Duration handicap;
    Random &random;
    Instant confirmedAt;
    std::uint64_t delayEpoch = ~std::uint64_t(0);
    bool delayPrompt = false;
    Duration delay;
    Instant seenSince;
    Instant lastRead;
    Instant readableSince; ///< Since when reads have come without a gap.
};

} // namespace godwitfall
