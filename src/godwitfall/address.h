#pragma once

#include <charconv>
#include <cstdint>
#include <string>
#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include "error.h"

namespace godwitfall {

/** Reads "ip:port"; names are not looked up. */
inline Result<boost::asio::ip::tcp::endpoint> parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    boost::system::error_code failure;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), failure);
    if (failure || colon == std::string::npos) {
        return tl::unexpected(
            Error{Fate::NotDone, "read address", address, "is not an IP number and a port"});
    }
    std::uint16_t port = 0;
    const char *const textEnd = address.data() + address.size();
    const auto [end, problem] = std::from_chars(address.data() + colon + 1, textEnd, port);
    if (problem != std::errc() || end != textEnd || port == 0) {
        return tl::unexpected(
            Error{Fate::NotDone, "read address", address, "the port is not a number up to 65535"});
    }
    return boost::asio::ip::tcp::endpoint(ip, port);
}

} // namespace godwitfall
