#include "clientbudget.h"

#include <algorithm>
#include <numeric>

namespace godwitfall {

namespace {

/** The ceilings are multiples of this part of the budget. */
constexpr std::size_t eighths = 8;
/** Eighths that large requests of clients may use; the quarter beyond it is reserved. */
constexpr std::size_t largeClientShare = 6;

} // namespace

const char *toText(ListenerKind kind)
{
    constexpr std::array names = {"client", "peer", "readiness", "metrics"};
    return names.at(static_cast<std::size_t>(kind));
}

ClientBudget::ClientBudget(const ClientBounds &bounds)
    : bounds(bounds)
{}

BudgetAnswer ClientBudget::opened(ConnectionId id, ListenerKind kind, const std::string &address,
                                  Instant now)
{
    BudgetAnswer answer;
    if (!this->slotFree(kind)) {
        // Connections of clients make room for the other listeners, but not the reverse.
        auto victim = this->table.end();
        if (this->ownSlotFree(kind)) {
            victim = this->longestInactive(ListenerKind::Client, now);
        }
        if (victim == this->table.end()) {
            victim = this->longestInactive(kind, now);
        }
        if (victim == this->table.end()) {
            answer.admitted = false;
            return answer;
        }
        this->evict(victim, ShortOf::Connections, answer);
    }
    Connection connection;
    connection.kind = kind;
    connection.holder = this->holders.try_emplace(address).first;
    ++connection.holder->second.connections;
    connection.inactiveSince = now;
    Order &idle = this->order(kind, Phase::Idle);
    connection.place = idle.insert(idle.end(), id);
    this->table.emplace(id.value(), connection);
    ++this->open.at(index(kind));
    return answer;
}

void ClientBudget::idle(ConnectionId id, Instant now)
{
    const auto found = this->table.find(id.value());
    if (found != this->table.end()) {
        this->charge(found->second, 0);
        this->enter(found->second, Phase::Idle, now);
    }
}

BudgetAnswer ClientBudget::receivingHeader(ConnectionId id, std::size_t bytes, Instant now)
{
    const auto found = this->table.find(id.value());
    if (found == this->table.end()) {
        return {};
    }
    // A header that arrives byte by byte is no progress: it is inactive since its first byte.
    if (found->second.phase != Phase::Header) {
        this->enter(found->second, Phase::Header, now);
    }
    return this->reserve(found->second, bytes, now);
}

BudgetAnswer ClientBudget::receivingBody(ConnectionId id, std::size_t bytes, Instant now)
{
    const auto found = this->table.find(id.value());
    if (found == this->table.end()) {
        return {};
    }
    this->enter(found->second, Phase::Body, now);
    return this->reserve(found->second, bytes, now);
}

void ClientBudget::busy(ConnectionId id)
{
    const auto found = this->table.find(id.value());
    if (found != this->table.end()) {
        this->enter(found->second, Phase::Busy, found->second.inactiveSince);
    }
}

void ClientBudget::refused(ConnectionId id)
{
    const auto found = this->table.find(id.value());
    if (found != this->table.end()) {
        this->charge(found->second, 0);
        this->enter(found->second, Phase::Busy, found->second.inactiveSince);
    }
}

void ClientBudget::responding(ConnectionId id, std::size_t bytes)
{
    const auto found = this->table.find(id.value());
    if (found != this->table.end()) {
        this->charge(found->second, found->second.charge + bytes);
    }
}

void ClientBudget::closed(ConnectionId id)
{
    const auto found = this->table.find(id.value());
    if (found != this->table.end()) {
        this->remove(found);
    }
}

ClientBudget::Order &ClientBudget::order(ListenerKind kind, Phase phase)
{
    return this->orders.at(index(kind)).at(static_cast<std::size_t>(phase));
}

void ClientBudget::enter(Connection &connection, Phase phase, Instant now)
{
    Order &former = this->order(connection.kind, connection.phase);
    Order &next = this->order(connection.kind, phase);
    next.splice(next.end(), former, connection.place);
    connection.phase = phase;
    connection.inactiveSince = now;
}

void ClientBudget::charge(Connection &connection, std::size_t charge)
{
    std::size_t &ofKind = this->held.at(index(connection.kind));
    ofKind = ofKind - connection.charge + charge;
    std::size_t &ofAddress = connection.holder->second.bytes;
    ofAddress = ofAddress - connection.charge + charge;
    connection.charge = charge;
}

BudgetAnswer ClientBudget::reserve(Connection &connection, std::size_t bytes, Instant now)
{
    BudgetAnswer answer;
    const std::size_t wanted = bytes * costFactor;
    if (wanted <= connection.charge) {
        return answer;
    }
    const std::size_t most = this->ceiling(connection.kind, bytes);
    const auto fits = [&] {
        const std::size_t others = this->totalHeld() - connection.charge;
        // A request larger than its whole part is served as long as it is alone.
        return others + wanted <= most || others == 0;
    };
    while (!fits()) {
        auto victim = this->stalledHolder(ListenerKind::Client, connection, now);
        if (victim == this->table.end()) {
            victim = this->stalledHolder(connection.kind, connection, now);
        }
        if (victim == this->table.end()) {
            answer.admitted = false;
            return answer;
        }
        this->evict(victim, ShortOf::Memory, answer);
    }
    this->charge(connection, wanted);
    return answer;
}

std::size_t ClientBudget::ceiling(ListenerKind kind, std::size_t bytes) const
{
    // Small requests of clients use half of the reserved quarter, other listeners all of it.
    const std::size_t share =
        largeClientShare + (bytes <= smallRequest ? 1 : 0) + (kind != ListenerKind::Client ? 1 : 0);
    return this->bounds.bytes / eighths * share;
}

std::size_t ClientBudget::totalHeld() const
{
    return std::accumulate(this->held.begin(), this->held.end(), std::size_t(0));
}

bool ClientBudget::ownSlotFree(ListenerKind kind) const
{
    std::size_t most = this->bounds.connectionsPerListener;
    if (kind == ListenerKind::Client) {
        most = std::min(most, this->bounds.connections - this->bounds.reservedConnections);
    }
    return this->open.at(index(kind)) < most;
}

bool ClientBudget::slotFree(ListenerKind kind) const
{
    const std::size_t total = std::accumulate(this->open.begin(), this->open.end(), std::size_t(0));
    return this->ownSlotFree(kind) && total < this->bounds.connections;
}

ClientBudget::Connections::iterator ClientBudget::longestInactive(ListenerKind kind, Instant now)
{
    auto longestInactive = this->table.end();
    const auto consider = [&](Phase phase, Duration stall) {
        const Order &order = this->order(kind, phase);
        if (order.empty()) {
            return;
        }
        const auto first = this->table.find(order.front().value());
        const Instant since = first->second.inactiveSince;
        if (now - since >= stall && (longestInactive == this->table.end() ||
                                     since < longestInactive->second.inactiveSince)) {
            longestInactive = first;
        }
    };
    consider(Phase::Idle, Duration(0));
    consider(Phase::Header, headerStall);
    consider(Phase::Body, bodyStall);
    return longestInactive;
}

ClientBudget::Connections::iterator
ClientBudget::stalledHolder(ListenerKind kind, const Connection &except, Instant now)
{
    auto chosen = this->table.end();
    const auto better = [](const Connection &left, const Connection &right) {
        const std::size_t leftBytes = left.holder->second.bytes;
        const std::size_t rightBytes = right.holder->second.bytes;
        return leftBytes != rightBytes ? leftBytes > rightBytes
                                       : left.inactiveSince < right.inactiveSince;
    };
    const auto consider = [&](Phase phase, Duration stall) {
        for (const ConnectionId id : this->order(kind, phase)) {
            const auto candidate = this->table.find(id.value());
            if (now - candidate->second.inactiveSince < stall) {
                break;
            }
            if (&candidate->second != &except &&
                (chosen == this->table.end() || better(candidate->second, chosen->second))) {
                chosen = candidate;
            }
        }
    };
    consider(Phase::Header, headerStall);
    consider(Phase::Body, bodyStall);
    return chosen;
}

void ClientBudget::evict(Connections::iterator connection, ShortOf shortOf, BudgetAnswer &answer)
{
    answer.evictions.push_back({ConnectionId(connection->first), shortOf});
    this->remove(connection);
}

void ClientBudget::remove(Connections::iterator connection)
{
    Connection &entry = connection->second;
    this->charge(entry, 0);
    this->order(entry.kind, entry.phase).erase(entry.place);
    --this->open.at(index(entry.kind));
    if (--entry.holder->second.connections == 0) {
        this->holders.erase(entry.holder);
    }
    this->table.erase(connection);
}

} // namespace godwitfall
