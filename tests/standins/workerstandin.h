#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "fakes/fakeworker.h"
#include "httpserver.h"

namespace godwitfall::standins {

/** A worker behind HTTP, with faults that can be switched. */
class WorkerStandin
{
public:
    WorkerStandin(boost::asio::io_context &context, std::string name, Resources capacity,
                  std::function<Instant()> now);

    Result<void> listen(const std::string &address);

    /** Moves the worker on and sends the answers of calls that have ended. */
    void tick();

    /** Switches a fault: leave, fail, freeze, lose-answers, restart or ok; false for no such one.
     */
    bool setFault(const std::string &fault);

    const fakes::FakeWorker &worker() const { return this->fake; }
    bool frozen() const { return this->freezes; }

private:
    void handle(const HttpRequest &request, Respond respond);

    const std::function<Instant()> now;
    fakes::FakeWorker fake;
    HttpServer server;
    bool freezes = false;
    bool losesAnswers = false;
    std::map<std::string, Respond> open;
};

} // namespace godwitfall::standins
