#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "calltraffic.h"
#include "clock.h"
#include "error.h"
#include "httpmessage.h"

namespace boost::asio {
class io_context;
}

namespace godwitfall {

/** Bounds on connections that are kept for later calls. */
struct ConnectionLimits
{
    std::size_t perAddress = 32;
    std::size_t total = 1024;   ///< Over all addresses.
    Duration unusedTime{30000}; ///< Time after which a connection that no call uses is closed.
};

/** One call to a server. */
struct HttpCall
{
    std::string step; ///< What the call is for; errors carry it.
    std::string address;
    std::string method = "POST";
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;
    Duration timeout{5000};
    Duration serverWait{0}; ///< Part of the timeout for which the server may delay its response.
    /** Asked just before the first byte is sent; when it says no, the call was not done. */
    std::function<bool()> stillWanted;

    /** The incarnation of the server that the call is meant for; 0: any. The call is only sent on a
     * connection on which this incarnation has replied. */
    std::int64_t incarnation = 0;
    /** Returns the incarnation that a response names; 0: none. */
    std::function<std::int64_t(const HttpResponse &)> incarnationOf;
    /** Target and body of the call that is sent first on a connection on which no response has
     * named an incarnation; it must be safe for any incarnation to carry out. */
    std::string identifyTarget;
    std::string identifyBody;
    /** Receives the response to it when it does not name the call's incarnation. */
    std::function<void(const HttpResponse &)> identifiedOther;
};

/**
 * Makes HTTP/1.1 calls over kept connections.
 *
 * A connection does not outlive the process that accepted it, so a call that is sent on a
 * connection on which an incarnation of the server has replied reaches that incarnation or none.
 *
 * A connection may go silent without a reset. When a response is not there in time, all connections
 * to the address that have been kept for as long without one are closed, so the next call takes a
 * new one.
 *
 * An error says NotDone only when no byte of the request was sent. Call and result handlers run on
 * the context's thread.
 */
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &context, const ConnectionLimits &limits = {});
    ~HttpClient();

    using Handler = std::function<void(const Result<HttpResponse> &)>;

    /** Starts the call; may be called from any thread. */
    void call(HttpCall call, Handler handler);

    /** Returns the bytes and delays of all calls; for the context's thread. */
    CallTraffic &traffic() const;

private:
    struct Shared;
    std::shared_ptr<Shared> shared;
};

} // namespace godwitfall
