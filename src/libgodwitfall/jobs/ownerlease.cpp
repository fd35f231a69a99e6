#include "ownerlease.h"

#include <algorithm>
#include <utility>

namespace godwitfall {

namespace {

Duration capacityDelayOf(double processors)
{
    constexpr double weakest = 0.01;
    const double delay =
        static_cast<double>(OwnerLease::oneCoreClaimDelay.count()) / std::max(weakest, processors);
    return std::min(OwnerLease::longestClaimDelay, Duration(static_cast<std::int64_t>(delay)));
}

} // namespace

OwnerLease::OwnerLease(std::string instance, std::uint64_t incarnation, double processors,
                       Random &random)
    : instance(std::move(instance))
    , incarnation(incarnation)
    , processors(processors)
    , capacityDelay(capacityDelayOf(processors))
    , random(random)
{}

bool OwnerLease::owns(const OwnerView &owner) const
{
    return owner.instance == this->instance && owner.incarnation == this->incarnation &&
           !owner.released;
}

bool OwnerLease::shouldClaim(const OwnerView &owner, Instant now, Instant readAt)
{
    if (readAt - this->lastRead > readFreshness) {
        this->readableSince = readAt;
    }
    this->lastRead = readAt;
    if (this->owns(owner) || now - readAt > readFreshness) {
        return false;
    }
    const bool formerSelf =
        owner.instance == this->instance && owner.incarnation != this->incarnation;
    const bool ownerGone = owner.epoch == 0 || owner.released || formerSelf;
    if (owner.epoch != this->delayEpoch || ownerGone != this->delayOwnerGone) {
        this->delayEpoch = owner.epoch;
        this->delayOwnerGone = ownerGone;
        this->delay =
            this->random.below(claimJitter) + (formerSelf ? Duration(0) : this->capacityDelay);
        this->ownerStateSince = now;
    }
    if (ownerGone) {
        return now >= this->ownerStateSince + this->delay;
    }
    return now >= this->replaceableAt(owner) + this->delay;
}

Instant OwnerLease::replaceableAt(const OwnerView &owner) const
{
    // While the log could not be read, the owner's records were not seen; it may be alive.
    const Instant timedOutAt =
        std::max(owner.lastSeenAt + ownerTimeout, this->readableSince + recoveryGracePeriod);
    const bool weak =
        owner.processors > 0.0 && this->processors >= takeoverRatio * owner.processors;
    return weak ? std::min(timedOutAt, owner.since + minOwnershipTime) : timedOutAt;
}

void OwnerLease::confirm(Instant sentAt)
{
    this->confirmedAt = std::max(this->confirmedAt, sentAt);
}

} // namespace godwitfall
