#include "workerclient.h"

#include "jsoncodec.h"

namespace godwitfall {

namespace {

constexpr const char *ordersPath = "/v1/orders";
constexpr unsigned okStatus = 200;

Result<wire::WorkerReply> decode(const Result<HttpResponse> &response, const SentOrder &order)
{
    if (!response) {
        return tl::unexpected(response.error());
    }
    const std::string &peer = order.order.worker();
    if (response->status != okStatus) {
        return tl::unexpected(
            Error{Fate::Unknown, "order", peer, "HTTP status " + std::to_string(response->status)});
    }
    wire::WorkerReply reply;
    if (const auto read = fromJson(response->body, reply, "read reply", peer); !read) {
        Error error = read.error();
        error.fate = Fate::Unknown;
        return tl::unexpected(error);
    }
    if (reply.worker() != peer) {
        return tl::unexpected(
            Error{Fate::Unknown, "order", peer, "answered by worker " + reply.worker()});
    }
    return reply;
}

} // namespace

WorkerClient::WorkerClient(HttpClient &client, Now now, Handler handler)
    : client(client)
    , now(std::move(now))
    , handler(std::move(handler))
{}

void WorkerClient::send(const SentOrder &order)
{
    HttpCall call;
    call.step = "order";
    call.address = order.address;
    call.target = ordersPath;
    call.body = toJson(order.order);
    call.timeout = order.timeout;
    call.stillWanted = [this, notAfter = order.notAfter] {
        return this->now() < notAfter;
    };
    this->client.call(std::move(call), [this, order](const Result<HttpResponse> &response) {
        this->handler(order, decode(response, order));
    });
}

} // namespace godwitfall
