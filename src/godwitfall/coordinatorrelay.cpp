#include "coordinatorrelay.h"

#include <utility>

namespace godwitfall {

namespace {

constexpr unsigned notFound = 404;
constexpr unsigned gone = 410;
constexpr unsigned unavailable = 503;
constexpr unsigned outcomeUnknown = 504;

/** Returns the coordinator's response as it is sent to the client. */
HttpResponse relayed(const HttpResponse &theirs)
{
    HttpResponse response;
    response.status = theirs.status;
    response.body = theirs.body;
    const auto retryAfter = theirs.headers.find("retry-after");
    if (retryAfter != theirs.headers.end()) {
        response.headers["Retry-After"] = retryAfter->second;
    }
    return response;
}

} // namespace

RelayStep relayStep(const std::string &method, const Result<HttpResponse> &result, bool knownHere)
{
    const bool question = method == "GET";
    if (!result) {
        const bool untouched = question || result.error().fate == Fate::NotDone;
        return untouched ? RelayStep::ServeHere : RelayStep::ServeHereMaybeTaken;
    }
    switch (result->status) {
    case notFound: // Its configuration may be older than this instance's, which has the queue.
    case unavailable:
        return RelayStep::ServeHere;
    case outcomeUnknown:
        return question ? RelayStep::ServeHere : RelayStep::ServeHereMaybeTaken;
    case gone:
        return knownHere ? RelayStep::ServeHere : RelayStep::Relay;
    default:
        return RelayStep::Relay;
    }
}

CoordinatorRelay::CoordinatorRelay(HttpClient &http, std::vector<std::string> headers)
    : http(http)
    , headers(std::move(headers))
{}

bool CoordinatorRelay::worthAsking(const std::string &coordinator, Instant now)
{
    if (coordinator != this->address) {
        this->address = coordinator;
        this->breaker.reset();
    }
    return !this->address.empty() && this->breaker.admit(now);
}

void CoordinatorRelay::ask(const HttpRequest &request, bool knownHere,
                           const std::function<Instant()> &now, Answer answer, ServeHere serveHere)
{
    HttpCall call;
    call.step = "forward to coordinator";
    call.address = this->address;
    call.method = request.method;
    call.target = request.target;
    call.body = request.body;
    call.timeout = request.method == "GET" ? askTimeout : submitTimeout;
    for (const std::string &name : this->headers) {
        if (const std::string value = request.header(name); !value.empty()) {
            call.headers[name] = value;
        }
    }
    this->http.call(std::move(call),
                    [this, knownHere, now, method = request.method, asked = this->address,
                     answer = std::move(answer),
                     serveHere = std::move(serveHere)](const Result<HttpResponse> &result) {
                        if (asked == this->address) {
                            result ? this->breaker.succeeded() : this->breaker.failed(now());
                        }
                        const RelayStep step = relayStep(method, result, knownHere);
                        if (step == RelayStep::Relay) {
                            answer(relayed(*result));
                        } else {
                            serveHere(step == RelayStep::ServeHereMaybeTaken);
                        }
                    });
}

} // namespace godwitfall
