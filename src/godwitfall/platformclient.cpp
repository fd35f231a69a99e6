#include "platformclient.h"

#include "instancelist.h"
#include "jsoncodec.h"
#include "logging.h"

namespace godwitfall {

namespace {

constexpr Duration replyTimeout(4000);
constexpr unsigned okStatus = 200;
constexpr unsigned firstServerError = 500;
constexpr unsigned tooManyRequests = 429;

std::string streamPath(Stream stream)
{
    return stream == Stream::State ? "/v1/streams/state" : "/v1/streams/snapshots";
}

/** Returns an error unless the response has a body to read. */
Result<void> checkStatus(const Result<HttpResponse> &response, const std::string &step,
                         const std::string &peer)
{
    if (!response) {
        return tl::unexpected(response.error());
    }
    if (response->status != okStatus) {
        const bool refused =
            response->status < firstServerError || response->status == tooManyRequests;
        return tl::unexpected(Error{refused ? Fate::NotDone : Fate::Unknown, step, peer,
                                    "HTTP status " + std::to_string(response->status)});
    }
    return {};
}

template <class Message>
Result<Message> decode(const Result<HttpResponse> &response, const std::string &step,
                       const std::string &peer)
{
    if (const auto checked = checkStatus(response, step, peer); !checked) {
        return tl::unexpected(checked.error());
    }
    Message message;
    if (const auto read = fromJson(response->body, message, step, peer); !read) {
        return tl::unexpected(Error{Fate::Unknown, step, peer, read.error().detail});
    }
    return message;
}

} // namespace

PlatformClient::PlatformClient(HttpClient &client, std::string logAddress, std::string listAddress,
                               Handlers handlers)
    : client(client)
    , logAddress(std::move(logAddress))
    , listAddress(std::move(listAddress))
    , handlers(std::move(handlers))
{}

void PlatformClient::append(Stream stream, const std::string &payload)
{
    wire::AppendRequest request;
    request.set_payload(payload);
    HttpCall call;
    call.step = "append";
    call.address = this->logAddress;
    call.target = streamPath(stream);
    call.body = toJson(request);
    call.timeout = replyTimeout;
    this->client.call(std::move(call), [this, stream](const Result<HttpResponse> &response) {
        const auto reply = decode<wire::AppendReply>(response, "append", this->logAddress);
        this->handlers.appended(stream, reply.map([](const wire::AppendReply &message) {
            return Offset(message.offset());
        }));
    });
}

void PlatformClient::read(Stream stream, Offset from, std::size_t maxRecords, Duration wait)
{
    HttpCall call;
    call.step = "read";
    call.address = this->logAddress;
    call.method = "GET";
    call.target = streamPath(stream) + "?from=" + std::to_string(from.value()) +
                  "&most=" + std::to_string(maxRecords) +
                  "&wait_ms=" + std::to_string(wait.count());
    call.timeout = replyTimeout + wait;
    this->client.call(std::move(call), [this, stream](const Result<HttpResponse> &response) {
        this->handlers.read(stream, decode<wire::ReadReply>(response, "read", this->logAddress));
    });
}

void PlatformClient::fetchList(Instant requestedAt)
{
    HttpCall call;
    call.step = "fetch list";
    call.address = this->listAddress;
    call.method = "GET";
    call.target = "/v1/instances";
    call.timeout = replyTimeout;
    this->client.call(std::move(call), [this, requestedAt](const Result<HttpResponse> &response) {
        this->handlers.list(requestedAt, this->decodeList(response));
    });
}

Result<wire::InstanceList> PlatformClient::decodeList(const Result<HttpResponse> &response) const
{
    if (const auto checked = checkStatus(response, "fetch list", this->listAddress); !checked) {
        return tl::unexpected(checked.error());
    }
    Result<ParsedInstanceList> parsed = parseInstanceList(response->body, this->listAddress);
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    for (const std::string &why : parsed->unusable) {
        logLine(LogLevel::Warning, "list_entry_unusable", {{"why", why}});
    }
    return std::move(parsed->list);
}

} // namespace godwitfall
