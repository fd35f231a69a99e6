#pragma once

#include <functional>
#include <memory>
#include <string>

#include "clock.h"
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
    std::size_t maxConnections = 1024;
    Duration ioTimeout{10000};
    Duration idleTimeout{60000};
};

/** Sends the response of one request; may be called from any thread, once. */
using Respond = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(const HttpRequest &, Respond)>;

/**
 * An HTTP/1.1 listener with bounded sizes, times and connections.
 *
 * Malformed, oversized and slow requests get an error and close only their own connection.
 */
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context, const HttpLimits &limits, HttpHandler handler);
    ~HttpServer();

    /** Listens on "ip:port"; the error says why it can't. */
    Result<void> listen(const std::string &address);

    /** Takes no more connections. */
    void close();

private:
    struct Shared;
    std::shared_ptr<Shared> shared;
};

} // namespace godwitfall
