#include "connectionlimiter.h"

#include <chrono>
#include <utility>

#include "logging.h"
#include "metrics.h"

namespace godwitfall {

namespace {

Instant steadyNow()
{
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return Instant(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

std::string labels(ListenerKind kind, std::string_view reason)
{
    return std::string("listener=\"") + toText(kind) + "\",reason=\"" + std::string(reason) + "\"";
}

const char *toText(ShortOf shortOf)
{
    return shortOf == ShortOf::Memory ? "short_of_memory" : "short_of_connections";
}

} // namespace

ConnectionLimiter::ConnectionLimiter(const ClientBounds &bounds)
    : budget(bounds)
{}

std::optional<ConnectionId> ConnectionLimiter::open(ListenerKind kind, const std::string &address,
                                                    Close close)
{
    const ConnectionId id(++this->lastConnection);
    const BudgetAnswer answer = this->budget.opened(id, kind, address, steadyNow());
    this->apply(answer);
    if (!answer.admitted) {
        return std::nullopt;
    }
    this->closers.emplace(id.value(), [this, kind, close = std::move(close)](ShortOf shortOf) {
        this->countClosed(kind, toText(shortOf));
        close(shortOf);
    });
    return id;
}

bool ConnectionLimiter::receivingHeader(ConnectionId id, std::size_t bytes)
{
    const BudgetAnswer answer = this->budget.receivingHeader(id, bytes, steadyNow());
    this->apply(answer);
    return answer.admitted;
}

bool ConnectionLimiter::receivingBody(ConnectionId id, std::size_t bytes)
{
    const BudgetAnswer answer = this->budget.receivingBody(id, bytes, steadyNow());
    this->apply(answer);
    return answer.admitted;
}

void ConnectionLimiter::idle(ConnectionId id)
{
    this->budget.idle(id, steadyNow());
}

void ConnectionLimiter::busy(ConnectionId id)
{
    this->budget.busy(id);
}

void ConnectionLimiter::responding(ConnectionId id, std::size_t bytes)
{
    this->budget.responding(id, bytes);
}

void ConnectionLimiter::closed(ConnectionId id)
{
    this->budget.closed(id);
    this->closers.erase(id.value());
}

void ConnectionLimiter::refused(ConnectionId id, ListenerKind kind, unsigned status,
                                const char *reason)
{
    this->budget.refused(id);
    ++this->refusedBy[labels(kind, reason)];
    logLine(LogLevel::Info, {"request_not_read", reason},
            {{"listener", godwitfall::toText(kind)},
             {"status", std::to_string(status)},
             {"reason", reason}});
}

void ConnectionLimiter::countClosed(ListenerKind kind, std::string_view reason)
{
    ++this->closedBy[labels(kind, reason)];
    // The end of idle connections is part of normal operation.
    logLine(reason == idleReason ? LogLevel::Debug : LogLevel::Info, {"connection_closed", reason},
            {{"listener", godwitfall::toText(kind)}, {"reason", std::string(reason)}});
}

std::string ConnectionLimiter::metricLines() const
{
    std::string page;
    for (std::size_t number = 0; number < listenerKinds; ++number) {
        const auto kind = static_cast<ListenerKind>(number);
        const std::string label = std::string("listener=\"") + godwitfall::toText(kind) + "\"";
        page += sampleLine("godwitfall_request_bytes_held",
                           static_cast<double>(this->budget.bytesHeld(kind)), label);
        page += sampleLine("godwitfall_connections",
                           static_cast<double>(this->budget.connections(kind)), label);
    }
    for (const auto &[label, number] : this->closedBy) {
        page +=
            sampleLine("godwitfall_connections_closed_total", static_cast<double>(number), label);
    }
    for (const auto &[label, number] : this->refusedBy) {
        page +=
            sampleLine("godwitfall_requests_not_read_total", static_cast<double>(number), label);
    }
    return page;
}

void ConnectionLimiter::apply(const BudgetAnswer &answer)
{
    for (const Eviction &eviction : answer.evictions) {
        // Extracted, so that the connection's end finds nothing left to do.
        if (const auto closer = this->closers.extract(eviction.connection.value())) {
            closer.mapped()(eviction.shortOf);
        }
    }
}

} // namespace godwitfall
