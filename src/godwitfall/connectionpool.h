#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/beast/core/tcp_stream.hpp>

#include "httpclient.h"

namespace godwitfall {

using SteadyClock = std::chrono::steady_clock;

/** A connection to a server. */
struct Connection
{
    std::unique_ptr<boost::beast::tcp_stream> stream;
    std::int64_t incarnation = 0; ///< The server's, as a response on it has named; 0: none has.
    std::optional<SteadyClock::time_point> repliedAt; ///< When its last response arrived.
};

/**
 * Connections that no call uses, by address.
 *
 * Their number is bounded over all addresses, and by age, as connections to servers that have left
 * are never asked for again and would take descriptors for good.
 */
class ConnectionPool
{
public:
    explicit ConnectionPool(const ConnectionLimits &limits);

    /** Removes and returns the newest connection to the address that is open and that the
     * incarnation may be called on (0: any); nothing if there is none. */
    std::optional<Connection> take(const std::string &address, std::int64_t incarnation);

    /** Adds the connection; closes those that are too many or have not been used for too long. */
    void keep(const std::string &address, Connection connection, SteadyClock::time_point now);

    /** Closes the connections to the address without a response since the time. */
    void dropSilent(const std::string &address, SteadyClock::time_point since);

    std::size_t size() const { return this->kept.size(); }

private:
    struct Kept
    {
        std::string address;
        Connection connection;
        SteadyClock::time_point at;
    };
    using Place = std::list<Kept>::iterator;

    /** Closes the connections to the address for which the condition holds. */
    template <typename Condition>
    void dropIf(const std::string &address, Condition condition);
    void dropOldest();

    const ConnectionLimits limits;
    std::list<Kept> kept;                             ///< In the order in which they were kept.
    std::map<std::string, std::vector<Place>> places; ///< By address, in the same order.
};

} // namespace godwitfall
