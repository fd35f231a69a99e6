#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fakes/fakelog.h"
#include "fakes/fakeworker.h"
#include "node.h"

namespace godwitfall::fakes {

/**
 * Real nodes of one zone with fake workers and a fake log, on one clock and without random faults.
 *
 * Every message arrives in the step after the one in which it was sent, unless a test drops it.
 */
class NodeWorld
{
public:
    static constexpr const char *zone = "z";
    static constexpr const char *service = "s";

    NodeWorld();
    ~NodeWorld();

    /** Starts the instance; one that runs is replaced by a new incarnation. */
    void start(const std::string &instance);
    void kill(const std::string &instance);
    Node &node(const std::string &instance);

    /** Adds a worker that offers the service and lists it. */
    FakeWorker &addWorker(const std::string &name, const Resources &capacity);
    /** Ends the worker without a word and removes it from the list. */
    void removeWorker(const std::string &name);

    /** Sends a request to the instance. */
    void request(const std::string &instance, const std::string &id, std::int64_t budgetMs,
                 bool repeatable = true, const std::string &caller = "c");
    /** Sends an operator's command to the instance. */
    void command(const std::string &instance, const std::string &text);

    void run(std::int64_t milliseconds);

    /** Returns the outcome of the request as text; empty while it is not answered. */
    std::string outcome(const std::string &id) const;
    /** Returns the task's record as the instance knows it. */
    wire::TaskRecord task(const std::string &instance, const std::string &name);
    /** Returns whether the instance owns the worker. */
    bool owns(const std::string &instance, const std::string &worker);

    /** Drops an order, if set and true for it; its sender sees a time-out. */
    std::function<bool(const SentOrder &)> dropOrder;
    /** Drops the reply to an order that was carried out; its sender sees a time-out. */
    std::function<bool(const SentOrder &)> dropReply;
    bool logReachable = true;

private:
    class Instance;
    struct OpenOrder
    {
        std::string instance;
        std::uint64_t incarnation = 0;
        SentOrder order;
        std::int64_t timeoutAt = 0;
    };

    Instance *find(const std::string &instance, std::uint64_t incarnation);
    wire::InstanceList list() const;
    Instant now() const { return Instant(this->clock); }
    void step();
    void deliverOrder(const OpenOrder &open);
    void reply(const OpenOrder &open, const Result<wire::WorkerReply> &reply);
    /** Runs the function in the next step. */
    void later(std::function<void()> function);

    std::int64_t clock = 1000;
    std::map<std::string, std::unique_ptr<Instance>> instances;
    std::map<std::string, std::unique_ptr<FakeWorker>> workers;
    std::set<std::string> removed;
    std::deque<std::function<void()>> due;
    std::vector<OpenOrder> silent;
    std::map<std::string, OpenOrder> runningCalls;
    FakeLog log;
    std::map<std::uint64_t, std::string> requestByCaller;
    std::map<std::string, std::string> outcomes;
    std::uint64_t lastCaller = 0;
    std::uint64_t lastIncarnation = 0;
};

} // namespace godwitfall::fakes
