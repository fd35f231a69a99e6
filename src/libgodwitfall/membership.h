#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "godwitfall.pb.h"
#include "ids.h"

namespace godwitfall {

/** Another instance, as known from the instance list and its heartbeats. */
struct Peer
{
    ZoneId zone;
    std::string address;
    bool listedLeaving = false;
    bool draining = false;
    bool present = false; ///< It sent a heartbeat, and the latest one announced no exit.
    Instant lastSeenAt;   ///< When the latest heartbeat arrived.
    Incarnation incarnation;
    Offset nextOffset;
    std::uint32_t freeSlots = 0;
};

/** Summary of another zone, whose details are known only inside that zone. */
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
 * summary to one instance of each other zone, so that the cost does not grow with the square of
 * the number of instances.
 */
class Membership
{
public:
    Membership(InstanceId self, ZoneId zone, Incarnation incarnation, Duration peerTimeout);

    void applyList(const wire::InstanceList &list);

    /** Applies a heartbeat; ignores one of an unlisted sender or an earlier incarnation of it. */
    void applyHeartbeat(const wire::PeerMessage &message, Instant now);

    /** Sets whether this instance is stopping; then it is no candidate for owning workers. */
    void setDraining(bool draining) { this->selfDraining = draining; }

    const InstanceId &selfId() const { return this->self; }
    const ZoneId &ownZone() const { return this->zone; }
    Incarnation ownIncarnation() const { return this->incarnation; }

    /** Returns an empty message that names this instance as its sender. */
    wire::PeerMessage envelope() const;

    /** Returns whether a heartbeat came within the peer timeout and the peer is not stopping. */
    bool alive(const InstanceId &peer, Instant now) const;

    /** Returns the incarnation of the peer's latest heartbeat; 0 if there is none. */
    Incarnation incarnationOf(const InstanceId &peer) const;

    /** Returns the instances of the own zone that may own workers, including this one. */
    std::vector<InstanceId> candidates(Instant now) const;

    /** Returns whether this instance sends its zone's summary to the other zones. */
    bool isGateway(Instant now) const;

    /** Returns the recipients of a heartbeat; the round selects one in each other zone. */
    std::vector<InstanceId> heartbeatTargets(Instant now, std::uint64_t round) const;

    /** Returns the summaries of the own zone and all live others, for the next heartbeat. */
    std::vector<wire::ZoneMark> zoneSummaries(Offset ownNextOffset, Instant now) const;

    /** Returns the own zone and those whose summary is at most three peer timeouts old. */
    std::vector<ZoneId> aliveZones(Instant now) const;

    /** Returns the peer that is furthest ahead of the offset, or nothing. */
    std::optional<InstanceId> peerAhead(Offset next, Instant now) const;

    /** Returns the highest next offset of the peers seen within three peer timeouts. */
    Offset highestNextOffset(Instant now) const;

    const std::map<InstanceId, Peer> &all() const { return this->peers; }
    const std::map<ZoneId, ZoneSummary> &zones() const { return this->summaries; }
    /** Returns the peer's address; empty if it is not listed. */
    std::string address(const InstanceId &peer) const;

    /** Returns the live peer of the own zone with the most free slots, or nothing. */
    std::optional<InstanceId> peerWithSlots(Instant now) const;

    /** Lowers the assumed free slots of a peer by one, after a request was sent there. */
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
