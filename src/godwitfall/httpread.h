#pragma once

#include <algorithm>
#include <cstdint>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

namespace godwitfall {

/**
 * Reads a whole HTTP message into the parser and returns the number of its bytes that were read.
 *
 * Beast reads as much at once as the buffer has room for, 512 bytes at first, and a busy event loop
 * takes its time between two reads. So the buffer gets room for the body once its length is known.
 */
template <typename Parser>
boost::asio::awaitable<std::size_t> readMessage(boost::beast::tcp_stream &stream,
                                                boost::beast::flat_buffer &buffer, Parser &parser,
                                                boost::system::error_code &failure)
{
    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    /** Beast reads no more than this at once, in bytes. */
    constexpr std::uint64_t largestRead = 65536;
    const std::size_t headerBytes = co_await http::async_read_header(
        stream, buffer, parser, asio::redirect_error(asio::use_awaitable, failure));
    if (failure || parser.is_done()) {
        co_return headerBytes;
    }
    const std::uint64_t left = parser.content_length_remaining().value_or(largestRead);
    buffer.reserve(std::max(buffer.size(), std::min(left, largestRead)));
    const std::size_t bodyBytes = co_await http::async_read(
        stream, buffer, parser, asio::redirect_error(asio::use_awaitable, failure));
    co_return headerBytes + bodyBytes;
}

} // namespace godwitfall
