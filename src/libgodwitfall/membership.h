#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "godwitfall.pb.h"
#include "ids.h"

namespace godwitfall {

/** Another instance, as the list and its heartbeats tell of it. */
struct Peer
{
    ZoneId zone;
    std::string address;
    bool listedLeaving = false;
    bool draining = false;
    bool heard = false;
    Instant heardAt;
    Incarnation incarnation;
    Offset nextOffset;
    std::uint32_t freeSlots = 0;
};

/** What is known of another zone; detail stays in that zone. */
struct ZoneSummary
{
    std::uint32_t instances = 0;
    Offset lowestNextOffset;
    Instant asOf;
};

/**
 * The instances of the own zone, and a summary of each other zone.
 *
 * Instances of one zone send each other heartbeats. One of them, the gateway, sends the zone's
 * summary to one instance of each other zone, so that the cost does not grow with instances
 * squared.
 */
class Membership
{
public:
    Membership(InstanceId self, ZoneId zone, Incarnation incarnation, Duration peerTimeout);

    void applyList(const wire::InstanceList &list);

    /** Takes in a heartbeat; one from an earlier incarnation of the sender is dropped. */
    void applyHeartbeat(const wire::PeerMessage &message, Instant now);

    /** Sets whether this instance is stopping, so that it no longer counts as a candidate. */
    void setDraining(bool draining) { this->selfDraining = draining; }

    const InstanceId &selfId() const { return this->self; }
    const ZoneId &ownZone() const { return this->zone; }
    Incarnation ownIncarnation() const { return this->incarnation; }

    /** Returns a message that names this instance as its sender and is else empty. */
    wire::PeerMessage envelope() const;

    /** Returns whether the peer was heard of within the peer timeout and is not stopping. */
    bool alive(const InstanceId &peer, Instant now) const;

    /** Returns the instances of the own zone that may own workers, this one among them. */
    std::vector<InstanceId> candidates(Instant now) const;

    /** Returns whether this instance speaks for its zone to the others. */
    bool gateway(Instant now) const;

    /** Returns the instances that the next heartbeat goes to; the round picks one per far zone. */
    std::vector<InstanceId> heartbeatTargets(Instant now, std::uint64_t round) const;

    /** Returns the summaries of the own zone and all others, to be sent on. */
    std::vector<wire::ZoneMark> zoneMarks(Offset ownNextOffset, Instant now) const;

    /** Returns the zones that were heard of within three peer timeouts, the own one among them. */
    std::vector<ZoneId> aliveZones(Instant now) const;

    /** Returns a peer that is ahead of the offset, or nothing. */
    std::optional<InstanceId> peerAhead(Offset next, Instant now) const;

    /** Returns the highest offset that any live peer has applied. */
    Offset highestNextOffset(Instant now) const;

    const std::map<InstanceId, Peer> &all() const { return this->peers; }
    const std::map<ZoneId, ZoneSummary> &zones() const { return this->summaries; }
    std::string address(const InstanceId &peer) const;

    /** Returns the live peer of the own zone with the most free slots, or nothing. */
    std::optional<InstanceId> peerWithSlots(Instant now) const;

    /** Lowers what a peer is taken to have free, after work was sent there. */
    void takeSlot(const InstanceId &peer);

private:
    Duration zoneTimeout() const { return this->peerTimeout * 3; }

    InstanceId self;
    ZoneId zone;
    Incarnation incarnation;
    Duration peerTimeout;
    bool selfDraining = false;
    std::map<InstanceId, Peer> peers;
    std::map<ZoneId, ZoneSummary> summaries;
};

} // namespace godwitfall
