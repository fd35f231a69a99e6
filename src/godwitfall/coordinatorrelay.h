#pragma once

#include <functional>
#include <string>
#include <vector>

#include "circuitbreaker.h"
#include "httpclient.h"
#include "httpmessage.h"

namespace godwitfall {

/** What becomes of a client's request after the coordinator was asked. */
enum class RelayStep : std::uint8_t {
    Relay,               ///< Its answer is the client's.
    ServeHere,           ///< It did nothing, or knows less than this instance.
    ServeHereMaybeTaken, ///< It may have done what was asked; "not done" may not be answered.
};

/** Returns the step for the coordinator's answer or the error of the call. */
RelayStep relayStep(const std::string &method, const Result<HttpResponse> &result, bool knownHere);

/** Passes clients' requests to the coordinator, as long as that is worth it. */
class CoordinatorRelay
{
public:
    /** Longest wait for the coordinator's answer to a question; another instance's view is at hand.
     */
    static constexpr Duration askTimeout{800};
    /** The same where it has to append first; a slow store takes a second for two appends. */
    static constexpr Duration submitTimeout{1500};

    /** The names are those of the headers to pass on. */
    CoordinatorRelay(HttpClient &http, std::vector<std::string> headers);

    /** Returns whether to ask the coordinator at the address now; empty: there is none. */
    bool worthAsking(const std::string &address, Instant now);

    using Answer = std::function<void(HttpResponse)>;
    using ServeHere = std::function<void(bool maybeTaken)>;

    /** Asks it; calls back one of both. The clock tells when the call has ended. */
    void ask(const HttpRequest &request, bool knownHere, const std::function<Instant()> &now,
             Answer answer, ServeHere serveHere);

private:
    HttpClient &http;
    const std::vector<std::string> headers;
    CircuitBreaker breaker;
    std::string address;
};

} // namespace godwitfall
