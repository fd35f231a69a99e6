#pragma once

#include <functional>
#include <memory>
#include <string>

#include "clientbudget.h"
#include "clock.h"
#include "connectionlimiter.h"
#include "error.h"
#include "httpmessage.h"

namespace boost::asio {
class io_context;
}

namespace godwitfall {

/** Bounds on what a peer of a listener may use. */
struct HttpLimits
{
    std::size_t maxBodyBytes = 1 << 20;
    std::uint32_t maxHeaderBytes = 16 * 1024; ///< Also of trailers and of one chunk's header.
    std::size_t maxConnections = 1024;        ///< Of a listener that shares no ConnectionLimiter.
    Duration headerTimeout{10000};            ///< From the first byte of a request.
    /** For the minimum rate of a body, and to send one response. */
    Duration ioTimeout{10000};
    Duration idleTimeout{60000}; ///< From a response to the next request.
    /** Of a body, averaged over ioTimeout; half of what a slow client sends. */
    std::size_t minBytesPerSecond = 512;
};

/** Sends the response of one request; may be called from any thread, once. */
using Respond = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(HttpRequest, Respond)>;

/**
 * An HTTP/1.1 listener with bounded sizes, times and connections.
 *
 * Malformed, oversized and slow requests get an error and close only their own connection. What the
 * listeners of a process may hold together is bounded by the limiter that they share.
 */
class HttpServer
{
public:
    /** A listener with a limiter of its own, without a bound on bytes. */
    HttpServer(boost::asio::io_context &context, const HttpLimits &limits, HttpHandler handler);
    HttpServer(boost::asio::io_context &context, const HttpLimits &limits, HttpHandler handler,
               ListenerKind kind, std::shared_ptr<ConnectionLimiter> limiter);
    ~HttpServer();

    /** Listens on "ip:port"; the error says why it can't. */
    Result<void> listen(const std::string &address);

    /** Sets the limits of requests that begin from now on; only on the context's thread. */
    void setLimits(const HttpLimits &limits);

    /** Takes no more connections. */
    void close();

private:
    struct Shared;
    std::shared_ptr<Shared> shared;
};

} // namespace godwitfall
