#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "clock.h"
#include "godwitfall.pb.h"
#include "ids.h"
#include "resources.h"

namespace godwitfall::fakes {

/** Faults of a fake worker. */
struct WorkerFaults
{
    bool leaving = false;
    bool failsEverything = false;
    bool checksEpoch = true;    ///< Off only to show that the tests detect the fault.
    bool checksLeases = true;   ///< Off only to show that the tests detect the fault.
    bool remembersCalls = true; ///< Off only to show that the tests detect the fault.
};

/** A call that has ended on the worker. */
struct FinishedCall
{
    std::string call;
    wire::WorkerReply reply;
};

/**
 * A simulated worker: grants leases, runs calls and tasks, and reports its inventory.
 *
 * It refuses orders by epoch and by lease, never for lack of capacity, so that a test can detect an
 * owner that overcommits it.
 */
class FakeWorker
{
public:
    FakeWorker(std::string name, Resources capacity, std::uint64_t incarnation);

    /** Handles the order and returns the reply, or nothing for a call that has begun. */
    std::optional<wire::WorkerReply> handle(const wire::WorkerOrder &order, Instant now);

    /** Advances calls and tasks to the given time and returns the calls that have ended. */
    std::vector<FinishedCall> advance(Instant now);

    /** Starts a new incarnation: all calls, tasks and records of them are lost. */
    void restart(std::uint64_t incarnation);

    WorkerFaults faults;
    Duration callTime{20};
    /** Rate by which the worker's clock runs fast, in thousandths. */
    std::int64_t driftPerMille = 0;

    const std::string &name() const { return this->workerName; }
    std::vector<wire::TaskKey> runningTasks() const;
    std::size_t runningCalls() const { return this->running.size(); }
    Resources used() const;
    const Resources &capacity() const { return this->size; }

    /** Returns the work done here in ms by task, over all incarnations. */
    const std::map<std::string, std::uint64_t> &workedMs() const { return this->workByTask; }

    /** Returns the number of executions begun here by request, over all incarnations. */
    const std::map<std::string, int> &begunRequests() const { return this->begun; }

private:
    using Key = std::pair<std::string, std::uint32_t>;

    struct Attempt
    {
        wire::TaskSpec spec;
        bool ended = false;
        wire::AttemptEnd end = wire::DONE;
        std::uint64_t progressMs = 0;
        std::uint64_t leaseUntil = 0;
        std::uint64_t lastProgressAt = 0;
        std::uint32_t throttle = 100;
    };

    struct RunningCall
    {
        wire::Execute execute;
        std::uint64_t endsAt = 0;
    };

    using Handler = std::optional<wire::WorkerReply> (FakeWorker::*)(const wire::WorkerOrder &);
    struct Rule
    {
        wire::WorkerOrder::OrderCase kind;
        Handler handler;
        bool needsEpoch;
    };
    static const std::vector<Rule> &rules();

    std::optional<wire::WorkerReply> acquire(const wire::WorkerOrder &order);
    std::optional<wire::WorkerReply> release(const wire::WorkerOrder &order);
    std::optional<wire::WorkerReply> renew(const wire::WorkerOrder &order);
    std::optional<wire::WorkerReply> execute(const wire::WorkerOrder &order);
    std::optional<wire::WorkerReply> voidCall(const wire::WorkerOrder &order);
    std::optional<wire::WorkerReply> start(const wire::WorkerOrder &order);
    std::optional<wire::WorkerReply> stop(const wire::WorkerOrder &order);
    std::optional<wire::WorkerReply> throttle(const wire::WorkerOrder &order);
    std::optional<wire::WorkerReply> acknowledge(const wire::WorkerOrder &order);

    wire::WorkerReply reply(wire::OrderStatus status, const std::string &detail = {});
    wire::WorkerReply resultReply(const std::string &call);
    void fillInventory(wire::Inventory &inventory) const;
    void endAttempt(Attempt &attempt, wire::AttemptEnd end);
    void advanceClock(std::uint64_t time);

    std::string workerName;
    Resources size;
    std::uint64_t incarnation;
    std::uint64_t clock = 0;
    std::uint64_t sequence = 0;
    std::uint64_t grants = 0;
    std::uint64_t epoch = 0;
    std::string owner;
    std::uint64_t ownerUntil = 0;
    std::map<Key, Attempt> attempts;
    std::map<std::string, RunningCall> running;
    std::map<std::string, wire::CallResult> finished;
    std::set<std::string> voided;
    std::map<std::string, int> begun;
    std::map<std::string, std::uint64_t> workByTask;
};

} // namespace godwitfall::fakes
