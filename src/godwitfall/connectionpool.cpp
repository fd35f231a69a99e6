#include "connectionpool.h"

#include <utility>

#include <boost/asio/buffer.hpp>

namespace godwitfall {

namespace {

/** Returns whether the server has neither closed the kept connection nor sent anything on it. */
bool isOpen(boost::beast::tcp_stream &stream)
{
    boost::system::error_code failure;
    stream.socket().non_blocking(true, failure);
    char byte = 0;
    stream.socket().receive(boost::asio::buffer(&byte, 1), boost::asio::socket_base::message_peek,
                            failure);
    return failure == boost::asio::error::would_block;
}

} // namespace

ConnectionPool::ConnectionPool(const ConnectionLimits &limits)
    : limits(limits)
{}

template <typename Condition>
void ConnectionPool::dropIf(const std::string &address, Condition condition)
{
    const auto found = this->places.find(address);
    if (found == this->places.end()) {
        return;
    }
    std::erase_if(found->second, [&](Place place) {
        const bool drops = condition(place->connection);
        if (drops) {
            this->kept.erase(place);
        }
        return drops;
    });
    if (found->second.empty()) {
        this->places.erase(found);
    }
}

std::optional<Connection> ConnectionPool::take(const std::string &address, std::int64_t incarnation)
{
    // Connections on which another incarnation has replied are of no use any more: the one that is
    // to be called is newer, or gone.
    this->dropIf(address, [incarnation](const Connection &connection) {
        return incarnation != 0 && connection.incarnation != 0 &&
               connection.incarnation != incarnation;
    });
    std::optional<Connection> taken;
    for (auto found = this->places.find(address); found != this->places.end() && !taken;
         found = this->places.find(address)) {
        const Place newest = found->second.back();
        if (isOpen(*newest->connection.stream)) {
            taken = std::move(newest->connection);
        }
        this->kept.erase(newest);
        found->second.pop_back();
        if (found->second.empty()) {
            this->places.erase(found);
        }
    }
    return taken;
}

void ConnectionPool::keep(const std::string &address, Connection connection,
                          SteadyClock::time_point now)
{
    const auto unusedSince = now - std::chrono::milliseconds(this->limits.unusedTime.count());
    while (!this->kept.empty() && this->kept.front().at < unusedSince) {
        this->dropOldest();
    }
    std::vector<Place> &ofAddress = this->places[address];
    if (ofAddress.size() >= this->limits.perAddress) {
        return;
    }
    connection.stream->expires_never();
    ofAddress.push_back(
        this->kept.insert(this->kept.end(), Kept{address, std::move(connection), now}));
    if (this->kept.size() > this->limits.total) {
        this->dropOldest();
    }
}

void ConnectionPool::dropSilent(const std::string &address, SteadyClock::time_point since)
{
    this->dropIf(address,
                 [since](const Connection &connection) { return connection.repliedAt < since; });
}

void ConnectionPool::dropOldest()
{
    const auto found = this->places.find(this->kept.front().address);
    found->second.erase(found->second.begin());
    if (found->second.empty()) {
        this->places.erase(found);
    }
    this->kept.pop_front();
}

} // namespace godwitfall
