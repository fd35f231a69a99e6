#pragma once

#include <functional>

#include "httpclient.h"
#include "outbox.h"

namespace godwitfall {

/** Sends orders to workers: the only place that knows the workers' outer protocol. */
class WorkerClient
{
public:
    using Handler = std::function<void(const SentOrder &, const Result<wire::WorkerReply> &)>;
    using Now = std::function<Instant()>;

    WorkerClient(HttpClient &client, Now now, Handler handler);

    void send(const SentOrder &order);

private:
    HttpClient &client;
    const Now now;
    const Handler handler;
};

} // namespace godwitfall
