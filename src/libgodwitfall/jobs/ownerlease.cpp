#include "ownerlease.h"

#include <algorithm>
#include <utility>

namespace godwitfall {

namespace {

Duration handicapOf(double processors)
{
    constexpr double weakest = 0.01;
    const double wanted =
        static_cast<double>(OwnerLease::claimHandicap.count()) / std::max(weakest, processors);
    return std::min(OwnerLease::longestHandicap, Duration(static_cast<std::int64_t>(wanted)));
}

} // namespace

OwnerLease::OwnerLease(std::string instance, std::uint64_t incarnation, double processors,
                       Random &random)
    : instance(std::move(instance))
    , incarnation(incarnation)
    , processors(processors)
    , handicap(handicapOf(processors))
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
    const bool prompt = owner.epoch == 0 || owner.released || formerSelf;
    if (owner.epoch != this->delayEpoch || prompt != this->delayPrompt) {
        this->delayEpoch = owner.epoch;
        this->delayPrompt = prompt;
        this->delay = this->random.below(claimSpread) + (formerSelf ? Duration(0) : this->handicap);
        this->seenSince = now;
    }
    if (prompt) {
        return now >= this->seenSince + this->delay;
    }
    return now >= this->replaceableAt(owner) + this->delay;
}

Instant OwnerLease::replaceableAt(const OwnerView &owner) const
{
    // While the log could not be read, the owner's records were not seen; it may be alive.
    const Instant silent =
        std::max(owner.heardAt + ownerSilence, this->readableSince + returnPatience);
    const bool weak = owner.processors > 0.0 && this->processors >= muchStronger * owner.processors;
    return weak ? std::min(silent, owner.since + weakOwnerTime) : silent;
}

void OwnerLease::confirm(Instant sentAt)
{
    this->confirmedAt = std::max(this->confirmedAt, sentAt);
}

} // namespace godwitfall
