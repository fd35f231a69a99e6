#pragma once

#include <functional>
#include <string>
#include <vector>

#include "circuitbreaker.h"
#include "httpclient.h"
#include "httpmessage.h"

namespace godwitfall {

/** How to continue with a client's request after it was forwarded to the coordinator. */
enum class RelayDecision : std::uint8_t {
    Relay,                     ///< Send the coordinator's response to the client.
    ServeLocally,              ///< The coordinator did nothing, or has an older view.
    ServeLocallyMaybeAccepted, ///< It may have taken effect; don't answer "not accepted".
};

/** Returns how to continue after the response or error; knownHere: the local view has the job;
 * newerConfig: the coordinator's configuration is newer than this instance's. */
RelayDecision relayDecision(const std::string &method, const Result<HttpResponse> &result,
                            bool knownHere, bool newerConfig);

/** Forwards clients' requests to the coordinator, behind a circuit breaker. */
class CoordinatorRelay
{
public:
    /** Timeout of a forwarded query; this instance can answer it from its own view instead. */
    static constexpr Duration queryTimeout{800};
    /** Timeout of other requests, which need appends; a slow store takes a second for two. */
    static constexpr Duration submitTimeout{1500};

    /** Called with the coordinator's response, which tells the version of its configuration. */
    struct ConfigCallbacks
    {
        std::function<bool(const HttpResponse &)> isNewer;  ///< Than this instance's.
        std::function<void(const HttpResponse &)> passedOn; ///< To the client.
    };

    /** headers: names of the headers to forward. */
    CoordinatorRelay(HttpClient &http, std::vector<std::string> headers, ConfigCallbacks config);

    /** Returns whether to forward to the coordinator at the address now; empty: there is none. */
    bool shouldForward(const std::string &address, Instant now);

    using Answer = std::function<void(HttpResponse)>;
    using ServeLocally = std::function<void(bool maybeAccepted)>;

    /** Forwards the request, then calls answer or serveLocally; now returns the current time. */
    void forward(const HttpRequest &request, bool knownHere, const std::function<Instant()> &now,
                 Answer answer, ServeLocally serveLocally);

private:
    HttpClient &http;
    const std::vector<std::string> headers;
    const ConfigCallbacks config;
    CircuitBreaker breaker;
    std::string address;
};

} // namespace godwitfall
