#include "workerstandin.h"

#include "jsoncodec.h"

namespace godwitfall::standins {

namespace {

HttpResponse encode(const wire::WorkerReply &reply)
{
    HttpResponse response;
    response.body = toJson(reply);
    return response;
}

HttpResponse dropped()
{
    HttpResponse response;
    response.status = dropConnection;
    return response;
}

} // namespace

WorkerStandin::WorkerStandin(boost::asio::io_context &context, std::string name, Resources capacity,
                             std::function<Instant()> now)
    : now(std::move(now))
    , fake(std::move(name), capacity, static_cast<std::uint64_t>(this->now().sinceStart()) + 1)
    , server(context, HttpLimits(), [this](const HttpRequest &request, Respond respond) {
        this->handle(request, std::move(respond));
    })
{}

Result<void> WorkerStandin::listen(const std::string &address)
{
    return this->server.listen(address);
}

void WorkerStandin::handle(const HttpRequest &request, Respond respond)
{
    wire::WorkerOrder order;
    if (this->freezes) {
        respond(dropped());
        return;
    }
    if (!fromJson(request.body, order, "order", "caller")) {
        HttpResponse response;
        response.status = 400;
        respond(response);
        return;
    }
    const auto reply = this->fake.handle(order, this->now());
    if (this->losesAnswers && (order.has_execute() || order.has_start())) {
        respond(dropped());
    } else if (reply) {
        respond(encode(*reply));
    } else {
        this->open[order.execute().call()] = std::move(respond);
    }
}

void WorkerStandin::tick()
{
    if (this->freezes) {
        return;
    }
    for (const fakes::FinishedCall &finished : this->fake.advance(this->now())) {
        const auto found = this->open.find(finished.call);
        if (found != this->open.end()) {
            found->second(encode(finished.reply));
            this->open.erase(found);
        }
    }
}

bool WorkerStandin::setFault(const std::string &fault)
{
    if (fault == "leave") {
        this->fake.faults.leaving = true;
    } else if (fault == "fail") {
        this->fake.faults.failsEverything = true;
    } else if (fault == "freeze") {
        this->freezes = true;
    } else if (fault == "lose-answers") {
        this->losesAnswers = true;
    } else if (fault == "restart") {
        this->fake.restart(static_cast<std::uint64_t>(this->now().sinceStart()) + 1);
        for (auto &[call, respond] : this->open) {
            respond(dropped());
        }
        this->open.clear();
    } else if (fault == "ok") {
        this->fake.faults = fakes::WorkerFaults();
        this->freezes = false;
        this->losesAnswers = false;
    } else {
        return false;
    }
    return true;
}

} // namespace godwitfall::standins
