#pragma once

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
    const auto port = static_cast<unsigned short>(std::atoi(address.c_str() + colon + 1));
    return boost::asio::ip::tcp::endpoint(ip, port);
}

} // namespace godwitfall
