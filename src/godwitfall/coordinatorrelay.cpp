#include "coordinatorrelay.h"

#include <utility>

namespace godwitfall {

namespace {

constexpr unsigned notFound = 404;
constexpr unsigned gone = 410;
constexpr unsigned unavailable = 503;
constexpr unsigned outcomeUnknown = 504;

/** Returns the coordinator's response as it is sent to the client. */
HttpResponse relayed(const HttpResponse &original)
{
    HttpResponse response;
    response.status = original.status;
    response.body = original.body;
    const auto retryAfter = original.headers.find("retry-after");
    if (retryAfter != original.headers.end()) {
        response.headers["Retry-After"] = retryAfter->second;
    }
    return response;
}

} // namespace

RelayDecision relayDecision(const std::string &method, const Result<HttpResponse> &result,
                            bool knownHere, bool newerConfig)
{
    const bool query = method == "GET";
    if (!result) {
        const bool notApplied = query || result.error().fate == Fate::NotDone;
        return notApplied ? RelayDecision::ServeLocally : RelayDecision::ServeLocallyMaybeAccepted;
    }
    switch (result->status) {
    case notFound:
        return newerConfig ? RelayDecision::Relay : RelayDecision::ServeLocally;
    case unavailable:
        return RelayDecision::ServeLocally;
    case outcomeUnknown:
        return query ? RelayDecision::ServeLocally : RelayDecision::ServeLocallyMaybeAccepted;
    case gone:
        return knownHere ? RelayDecision::ServeLocally : RelayDecision::Relay;
    default:
        return RelayDecision::Relay;
    }
}

CoordinatorRelay::CoordinatorRelay(HttpClient &http, std::vector<std::string> headers,
                                   ConfigCallbacks config)
    : http(http)
    , headers(std::move(headers))
    , config(std::move(config))
{}

bool CoordinatorRelay::shouldForward(const std::string &coordinator, Instant now)
{
    if (coordinator != this->address) {
        this->address = coordinator;
        this->breaker.reset();
    }
    return !this->address.empty() && this->breaker.admit(now);
}

void CoordinatorRelay::forward(const HttpRequest &request, bool knownHere,
                               const std::function<Instant()> &now, Answer answer,
                               ServeLocally serveLocally)
{
    HttpCall call;
    call.step = "forward to coordinator";
    call.address = this->address;
    call.method = request.method;
    call.target = request.target;
    call.body = request.body;
    call.timeout = request.method == "GET" ? queryTimeout : submitTimeout;
    for (const std::string &name : this->headers) {
        if (const std::string value = request.header(name); !value.empty()) {
            call.headers[name] = value;
        }
    }
    this->http.call(std::move(call),
                    [this, knownHere, now, method = request.method, calledAddress = this->address,
                     answer = std::move(answer),
                     serveLocally = std::move(serveLocally)](const Result<HttpResponse> &result) {
                        if (calledAddress == this->address) {
                            result ? this->breaker.succeeded() : this->breaker.failed(now());
                        }
                        const bool newerConfig = result && this->config.isNewer(*result);
                        const RelayDecision decision =
                            relayDecision(method, result, knownHere, newerConfig);
                        if (decision == RelayDecision::Relay) {
                            this->config.passedOn(*result);
                            answer(relayed(*result));
                        } else {
                            serveLocally(decision == RelayDecision::ServeLocallyMaybeAccepted);
                        }
                    });
}

} // namespace godwitfall
