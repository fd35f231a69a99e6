#include "membership.h"

#include <algorithm>
#include <set>

#include "rendezvous.h"

namespace godwitfall {

Membership::Membership(InstanceId self, ZoneId zone, Incarnation incarnation, Duration peerTimeout)
    : self(std::move(self))
    , zone(std::move(zone))
    , incarnation(incarnation)
    , peerTimeout(peerTimeout)
{}

void Membership::applyList(const wire::InstanceList &list)
{
    std::set<InstanceId> listed;
    for (const wire::ListedInstance &entry : list.instances()) {
        const InstanceId id(entry.instance());
        if (id == this->self) {
            continue;
        }
        listed.insert(id);
        Peer &peer = this->peers[id];
        peer.zone = ZoneId(entry.zone());
        peer.address = entry.peer_address();
        peer.listedLeaving = entry.leaving();
    }
    std::erase_if(this->peers, [&](const auto &entry) { return !listed.contains(entry.first); });
}

void Membership::applyHeartbeat(const wire::PeerMessage &message, Instant now)
{
    const auto found = this->peers.find(InstanceId(message.from()));
    if (found == this->peers.end()) {
        return;
    }
    Peer &peer = found->second;
    if (message.incarnation() < peer.incarnation.value()) {
        return;
    }
    if (message.incarnation() > peer.incarnation.value()) {
        peer.nextOffset = Offset();
    }
    const wire::Heartbeat &heartbeat = message.heartbeat();
    peer.incarnation = Incarnation(message.incarnation());
    peer.present = !heartbeat.leaving();
    peer.lastSeenAt = now;
    peer.draining = heartbeat.draining();
    peer.freeSlots = heartbeat.free_slots();
    peer.nextOffset = std::max(peer.nextOffset, Offset(heartbeat.next_offset()));
    for (const wire::ZoneMark &mark : heartbeat.zones()) {
        const ZoneId id(mark.zone());
        const Instant asOf = now - Duration(static_cast<std::int64_t>(mark.age_ms()));
        ZoneSummary &summary = this->summaries[id];
        if (id != this->zone && (summary.instances == 0 || asOf > summary.asOf)) {
            summary = {mark.instances(), Offset(mark.lowest_next_offset()), asOf};
        }
    }
    this->summaries.erase(this->zone);
}

wire::PeerMessage Membership::envelope() const
{
    wire::PeerMessage message;
    message.set_from(this->self.value());
    message.set_zone(this->zone.value());
    message.set_incarnation(this->incarnation.value());
    return message;
}

bool Membership::alive(const InstanceId &peer, Instant now) const
{
    const auto found = this->peers.find(peer);
    return found != this->peers.end() && found->second.present && !found->second.draining &&
           now - found->second.lastSeenAt < this->peerTimeout;
}

Incarnation Membership::incarnationOf(const InstanceId &peer) const
{
    const auto found = this->peers.find(peer);
    return found == this->peers.end() ? Incarnation() : found->second.incarnation;
}

std::vector<InstanceId> Membership::candidates(Instant now) const
{
    std::vector<InstanceId> ids;
    if (!this->selfDraining) {
        ids.push_back(this->self);
    }
    for (const auto &[id, peer] : this->peers) {
        if (peer.zone == this->zone && this->alive(id, now)) {
            ids.push_back(id);
        }
    }
    return ids;
}

bool Membership::isGateway(Instant now) const
{
    return rendezvousOwner("gateway", this->candidates(now)) == this->self;
}

std::vector<InstanceId> Membership::heartbeatTargets(Instant now, std::uint64_t round) const
{
    std::vector<InstanceId> targets;
    std::map<ZoneId, std::vector<InstanceId>> far;
    for (const auto &[id, peer] : this->peers) {
        if (peer.zone == this->zone) {
            targets.push_back(id);
        } else {
            far[peer.zone].push_back(id);
        }
    }
    if (!this->isGateway(now)) {
        return targets;
    }
    for (const auto &[id, instances] : far) {
        targets.push_back(instances[round % instances.size()]);
    }
    return targets;
}

std::vector<wire::ZoneMark> Membership::zoneSummaries(Offset ownNextOffset, Instant now) const
{
    wire::ZoneMark own;
    Offset lowest = ownNextOffset;
    std::uint32_t instances = 1;
    for (const auto &[id, peer] : this->peers) {
        if (peer.zone == this->zone && this->alive(id, now)) {
            lowest = std::min(lowest, peer.nextOffset);
            ++instances;
        }
    }
    own.set_zone(this->zone.value());
    own.set_instances(instances);
    own.set_lowest_next_offset(lowest.value());
    std::vector<wire::ZoneMark> marks = {own};
    for (const auto &[id, summary] : this->summaries) {
        if (now - summary.asOf > this->zoneTimeout()) {
            continue;
        }
        wire::ZoneMark &mark = marks.emplace_back();
        mark.set_zone(id.value());
        mark.set_instances(summary.instances);
        mark.set_lowest_next_offset(summary.lowestNextOffset.value());
        mark.set_age_ms(static_cast<std::uint64_t>((now - summary.asOf).count()));
    }
    return marks;
}

std::vector<ZoneId> Membership::aliveZones(Instant now) const
{
    std::vector<ZoneId> zones = {this->zone};
    for (const auto &[id, summary] : this->summaries) {
        if (now - summary.asOf <= this->zoneTimeout()) {
            zones.push_back(id);
        }
    }
    return zones;
}

std::optional<InstanceId> Membership::peerAhead(Offset next, Instant now) const
{
    std::optional<InstanceId> best;
    Offset highest = next;
    for (const auto &[id, peer] : this->peers) {
        const bool recent = peer.present && now - peer.lastSeenAt < this->zoneTimeout();
        if (recent && peer.nextOffset > highest) {
            best = id;
            highest = peer.nextOffset;
        }
    }
    return best;
}

Offset Membership::highestNextOffset(Instant now) const
{
    Offset highest;
    for (const auto &[id, peer] : this->peers) {
        if (peer.present && now - peer.lastSeenAt < this->zoneTimeout()) {
            highest = std::max(highest, peer.nextOffset);
        }
    }
    return highest;
}

std::string Membership::address(const InstanceId &peer) const
{
    const auto found = this->peers.find(peer);
    return found == this->peers.end() ? std::string() : found->second.address;
}

std::optional<InstanceId> Membership::peerWithSlots(Instant now) const
{
    std::optional<InstanceId> best;
    std::uint32_t most = 0;
    for (const auto &[id, peer] : this->peers) {
        if (peer.zone == this->zone && peer.freeSlots > most && this->alive(id, now)) {
            best = id;
            most = peer.freeSlots;
        }
    }
    return best;
}

void Membership::takeSlot(const InstanceId &peer)
{
    const auto found = this->peers.find(peer);
    if (found != this->peers.end() && found->second.freeSlots > 0) {
        --found->second.freeSlots;
    }
}

} // namespace godwitfall
