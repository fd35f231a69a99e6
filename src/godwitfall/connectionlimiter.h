#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "clientbudget.h"

namespace godwitfall {

/**
 * Applies a ClientBudget to the connections of the listeners that share it: closes those that are
 * evicted, and counts and logs what is closed and refused. Single-threaded.
 */
class ConnectionLimiter
{
public:
    /** Reason of a connection that is closed as no request came within its time limit. */
    static constexpr std::string_view idleReason = "idle";

    /** Closes a connection that was evicted. */
    using Close = std::function<void(ShortOf)>;

    explicit ConnectionLimiter(const ClientBounds &bounds);

    /** Admits a connection; unset: no slot is free, and none can be freed. */
    std::optional<ConnectionId> open(ListenerKind kind, const std::string &address, Close close);

    /** Each of these calls the method of ClientBudget; false: refuse the request. */
    bool receivingHeader(ConnectionId id, std::size_t bytes);
    bool receivingBody(ConnectionId id, std::size_t bytes);
    void idle(ConnectionId id);
    void busy(ConnectionId id);
    void responding(ConnectionId id, std::size_t bytes);
    void closed(ConnectionId id);

    /** Notes that the connection's request is answered with an error before it had a handler. */
    void refused(ConnectionId id, ListenerKind kind, unsigned status, const char *reason);

    /** Counts a connection that is closed for the reason. */
    void countClosed(ListenerKind kind, std::string_view reason);

    /** Returns the sample lines of the metrics page. */
    std::string metricLines() const;

private:
    void apply(const BudgetAnswer &answer);

    ClientBudget budget;
    std::uint64_t lastConnection = 0;
    std::unordered_map<std::uint64_t, Close> closers; ///< By connection.
    std::map<std::string, std::uint64_t> closedBy;    ///< Numbers, by labels.
    std::map<std::string, std::uint64_t> refusedBy;
};

} // namespace godwitfall
