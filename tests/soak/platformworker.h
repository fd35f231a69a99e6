#pragma once

#include <functional>
#include <list>
#include <random>
#include <string>

#include <boost/asio/io_context.hpp>

#include "httpserver.h"
#include "simworker.h"

namespace godwitfall::soak {

/** What clients have sent tells of a start. */
struct StartVerdict
{
    std::string fault;                    ///< Empty: none.
    jobtests::RouteConditions conditions; ///< On its worker.
};

using StartJudge = std::function<StartVerdict(const TaskRef &task, const std::string &payload)>;

/** A worker of the platform over HTTP, with faults that can be set while it runs. */
class PlatformWorker
{
public:
    /** How a worker's own clock differs from the true one. */
    struct Clock
    {
        std::int64_t offsetMs = 0;
        std::int64_t lostPerThousand = 0; ///< By which it is slow.
    };

    PlatformWorker(boost::asio::io_context &context, std::string id, std::string address,
                   Clock clock, std::mt19937_64 &random, jobtests::FleetLedger &ledger,
                   StartJudge judge);

    /** Listens on the address; the one that it was made with is the one it registers. */
    Result<void> listen(const std::string &address);

    /** Brings work and leases up to the time and answers holds; in ms since 1970. */
    void tick(std::int64_t unixMs);

    /** Loses everything and begins a new life. */
    void restart(std::int64_t unixMs);

    /** Loses everything and resets connections until it restarts. */
    void crash();

    /** Loses everything and never comes back; silent: callers wait instead of seeing a reset. */
    void lose(bool silent);
    /** Returns whether it has crashed or is lost for good. */
    bool lost() const { return !this->worker.up; }

    /** Returns its entry in the platform's registry. */
    std::string registryEntry() const;

    const std::string &name() const { return this->id; }

    jobtests::SimWorker &simulation() { return this->worker; }

    /** Sets how many of its orders are lost, of its answers, and how many are late, in percent. */
    void troubleOrders(unsigned percent);

    /** Told of an order that will be carried out late, with the time until then. */
    std::function<void(const TaskRef &task, Duration delay)> orderLate;

private:
    /** A hold that waits for an end. */
    struct Waiting
    {
        HoldOrder order;
        std::int64_t untilMs = 0;
        Respond respond;
    };

    void dropHolds();
    void handle(const HttpRequest &request, const Respond &respond);
    void start(const std::string &body, const Respond &respond);
    void stop(const std::string &body, const Respond &respond);
    void hold(const std::string &body, const Respond &respond);
    /** Writes what happened to a run here. */
    void note(const char *event, const TaskRef &task, std::uint32_t run, std::uint64_t token,
              OrderOutcome outcome) const;
    void answerHold(const HoldOrder &order, const Respond &respond);
    HttpResponse answer(OrderOutcome outcome) const;
    /** Returns the time as the worker counts it. */
    std::int64_t localMs(std::int64_t unixMs);
    bool chance(unsigned percent) { return this->random() % 100 < percent; }

    boost::asio::io_context &context;
    const std::string id;
    const std::string address;
    const Clock clock;
    std::int64_t firstMs = 0; ///< When its clock was right.
    std::mt19937_64 &random;
    jobtests::FleetLedger &ledger;
    const StartJudge judge;
    HttpServer server;
    jobtests::SimWorker worker;
    std::int64_t nowMs = 0;
    unsigned ordersLost = 0;  ///< In percent; neither done nor answered.
    unsigned answersLost = 0; ///< In percent; done all the same.
    unsigned ordersLate = 0;  ///< In percent of starts and stops; done seconds later.
    bool silent = false;      ///< While lost, does not even reset connections.
    std::list<Waiting> waiting;
};

} // namespace godwitfall::soak
