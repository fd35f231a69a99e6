#pragma once

#include <cstdint>
#include <string>

#include "clock.h"
#include "jobtable.h"
#include "random.h"

namespace godwitfall {

/**
 * Decides when an instance may claim ownership and how long its claim allows renewing leases.
 *
 * Times are on a clock that also advances while the process is suspended.
 */
class OwnerLease
{
public:
    /** Time without a record of the owner in the log after which another instance claims; see
     * docs/PLATFORM.md. */
    static constexpr Duration ownerTimeout{2500};
    /** Time after sending its last stored append for which an owner renews leases; see
     * docs/PLATFORM.md. */
    static constexpr Duration renewWithoutStore{2800};
    /** Age of the newest read of the log above which an instance must not claim. */
    static constexpr Duration readFreshness{1500};
    /** Time after the log can be read again in which its owner may write before others claim; two
     * ownership records fit into it. */
    static constexpr Duration recoveryGracePeriod{700};
    /** Multiple of the owner's processors from which an instance replaces a live owner. */
    static constexpr double takeoverRatio = 2.0;
    /** Time for which an owner coordinates before a much stronger instance claims; the work of a
     * takeover is done by then. */
    static constexpr Duration minOwnershipTime{4000};
    /** Range of the random delay before a claim, against simultaneous claims; less than the
     * difference between the delays of strong and weak instances. */
    static constexpr Duration claimJitter{60};

    /** Delay of an instance with one core before a claim; weaker ones wait longer in inverse
     * proportion, so that an instance with enough processors wins. At a tenth of a core it is above
     * the spread of reads and claims. */
    static constexpr Duration oneCoreClaimDelay{25};
    static constexpr Duration longestClaimDelay{300};

    /** The processors are those that the process may use, in cores. */
    OwnerLease(std::string instance, std::uint64_t incarnation, double processors, Random &random);

    /** Returns whether to claim now, given when the log was last read to its end. */
    bool shouldClaim(const OwnerView &owner, Instant now, Instant readAt);

    /** Returns whether the owner is not so much stronger that it would replace this instance again.
     */
    bool likelySuccessor(const OwnerView &owner) const
    {
        return this->processors * takeoverRatio > owner.processors;
    }

    /** Returns whether the view names this process as the owner. */
    bool owns(const OwnerView &owner) const;

    /** Notes that the store has accepted an append under this claim, sent at the given time. */
    void confirm(Instant sentAt);

    /** Returns until when leases of workers may be renewed, unless the store accepts an append. */
    Instant renewalEnd() const { return this->confirmedAt + renewWithoutStore; }

    /** Returns whether leases of workers may be renewed. */
    bool mayRenew(Instant now) const { return now < this->renewalEnd(); }

    Instant lastConfirmed() const { return this->confirmedAt; }

private:
    /** Returns from when on the owner may be replaced, if no newer record of it is read. */
    Instant replaceableAt(const OwnerView &owner) const;

    const std::string instance;
    const std::uint64_t incarnation;
    const double processors;
    const Duration capacityDelay;
    Random &random;
    Instant confirmedAt;
    std::uint64_t delayEpoch = ~std::uint64_t(0);
    bool delayOwnerGone = false;
    Duration delay;
    Instant ownerStateSince;
    Instant lastRead;
    Instant readableSince; ///< Since when reads have succeeded without a gap.
};

} // namespace godwitfall
