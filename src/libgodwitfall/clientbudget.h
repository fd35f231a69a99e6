#pragma once

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "clock.h"
#include "ids.h"

namespace godwitfall {

/** Who connects to a listener. */
enum class ListenerKind : std::uint8_t { Client, Peer, Readiness, Metrics };
constexpr std::size_t listenerKinds = 4;

const char *toText(ListenerKind kind);

/** Identifies a connection for as long as the process runs. */
using ConnectionId = NumberId<struct ConnectionTag>;

/** Bounds on what the connections of all listeners of a process hold together. */
struct ClientBounds
{
    std::size_t bytes = 32U << 20U; ///< Charged for all requests together.
    std::size_t connections = 4096; ///< Over all listeners.
    std::size_t connectionsPerListener = 1024;
    /** Slots that connections of clients don't take. */
    std::size_t reservedConnections = 64;
};

/** Why a connection is closed before its client closes it. */
enum class ShortOf : std::uint8_t { Connections, Memory };

/** A connection to close, and for the lack of what. */
struct Eviction
{
    ConnectionId connection;
    ShortOf shortOf = ShortOf::Connections;
};

/** Whether to continue, and which connections to close first. */
struct BudgetAnswer
{
    bool admitted = true;
    std::vector<Eviction> evictions;
};

/**
 * Decides which connections and requests of untrusted clients a process admits, and which it closes
 * when slots or memory run short.
 *
 * A connection is idle, receives a header or a body, or is busy: its request was passed to a
 * handler, whose response is not written yet. Busy connections are never closed. A request is
 * charged costFactor times its bytes until its response has been written. Evicted connections no
 * longer count, so the caller closes them at once. Single-threaded.
 */
class ClientBudget
{
public:
    /** Memory that a request takes per byte. Measured: 1.3 while it is received, 2.0 while it waits
     * for an append. A request that is served locally after its forward failed exists four times.
     */
    static constexpr std::size_t costFactor = 4;
    /** Largest request that may use the part of the budget that is reserved for small ones. */
    static constexpr std::size_t smallRequest = 16384;
    /** Age of an incomplete header from which its connection may be evicted. Clients send a header
     * at once. */
    static constexpr Duration headerStall{1000};
    /** Time without bytes of a body from which its connection may be evicted; a client at the
     * minimum rate that sends once per second is not. */
    static constexpr Duration bodyStall{2000};

    explicit ClientBudget(const ClientBounds &bounds);

    /** Notes a new connection, which is idle. Unless admitted it is not counted. */
    BudgetAnswer opened(ConnectionId id, ListenerKind kind, const std::string &address,
                        Instant now);

    /** Notes that the connection waits for its next request; releases the charge of the last. */
    void idle(ConnectionId id, Instant now);

    /** Notes that a header has begun, or has grown to the bytes in total. */
    BudgetAnswer receivingHeader(ConnectionId id, std::size_t bytes, Instant now);

    /** Notes progress of a body; bytes: of the whole request, as declared or so far. */
    BudgetAnswer receivingBody(ConnectionId id, std::size_t bytes, Instant now);

    /** Notes that the request is complete and goes to its handler. */
    void busy(ConnectionId id);

    /** Notes that the request was refused and its bytes are gone; the connection is to close. */
    void refused(ConnectionId id);

    /** Notes bytes of a response that are held in addition until idle() or closed(). */
    void responding(ConnectionId id, std::size_t bytes);

    /** Ends the connection; without effect if it was evicted. */
    void closed(ConnectionId id);

    /** Returns the bytes charged for requests at listeners of the kind. */
    std::size_t bytesHeld(ListenerKind kind) const { return this->held.at(index(kind)); }

    /** Returns the number of connections to listeners of the kind. */
    std::size_t connections(ListenerKind kind) const { return this->open.at(index(kind)); }

private:
    enum class Phase : std::uint8_t { Idle, Header, Body, Busy };
    static constexpr std::size_t phases = 4;
    /** In the order in which they became inactive, longest first. */
    using Order = std::list<ConnectionId>;

    /** What the connections from one address hold. */
    struct Holder
    {
        std::size_t bytes = 0;
        std::size_t connections = 0;
    };
    using Holders = std::map<std::string, Holder>;

    struct Connection
    {
        ListenerKind kind = ListenerKind::Client;
        Phase phase = Phase::Idle;
        Holders::iterator holder; ///< Entry of its address.
        std::size_t charge = 0;
        Instant inactiveSince;
        Order::iterator place;
    };
    using Connections = std::unordered_map<std::uint64_t, Connection>;

    static std::size_t index(ListenerKind kind) { return static_cast<std::size_t>(kind); }
    Order &order(ListenerKind kind, Phase phase);
    void enter(Connection &connection, Phase phase, Instant now);
    void charge(Connection &connection, std::size_t charge);
    BudgetAnswer reserve(Connection &connection, std::size_t bytes, Instant now);
    /** Returns the most that may be charged in total for a request of the kind and charge. */
    std::size_t ceiling(ListenerKind kind, std::size_t bytes) const;
    std::size_t totalHeld() const;
    /** Returns whether listeners of the kind have a slot left, irrespective of other kinds. */
    bool ownSlotFree(ListenerKind kind) const;
    bool slotFree(ListenerKind kind) const;
    /** Returns the connection of the kind that has been idle or stalled longest, or end(). */
    Connections::iterator longestInactive(ListenerKind kind, Instant now);
    /** Returns the stalled connection of the kind to close for its memory, or end(). */
    Connections::iterator stalledHolder(ListenerKind kind, const Connection &except, Instant now);
    void evict(Connections::iterator connection, ShortOf shortOf, BudgetAnswer &answer);
    void remove(Connections::iterator connection);

    const ClientBounds bounds;
    Connections table;
    std::array<std::array<Order, phases>, listenerKinds> orders;
    Holders holders; ///< By address.
    std::array<std::size_t, listenerKinds> held{};
    std::array<std::size_t, listenerKinds> open{};
};

} // namespace godwitfall
