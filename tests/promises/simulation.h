#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "fakes/fakelog.h"
#include "fakes/fakeworker.h"
#include "node.h"

namespace godwitfall::guarantees {

/** A mechanism to disable, to test that the checks detect its absence. */
enum class Weakening {
    None,
    WorkerIgnoresEpochs,
    WorkerIgnoresTaskLeases,
    WorkerForgetsCalls,
    OnceRequestsSentAsRepeatable,
    ClocksDriftBeyondBound,
    LeavingIsNotListed,
    RetriesTakeNewNumbers,
    StopWithoutDraining,
};

/** Totals of what happened in the simulated schedules. */
struct Counts
{
    std::uint64_t steps = 0;
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t tasks = 0;
    std::uint64_t finishedTasks = 0;
    std::uint64_t evictions = 0;
    std::uint64_t fences = 0;
    std::uint64_t lapses = 0;
    std::uint64_t snapshots = 0;

    Counts &operator+=(const Counts &other);
};

class Simulation;

/** One simulated instance: a real Node, its clock and its outbox. */
class SimInstance : public Outbox
{
public:
    SimInstance(Simulation &simulation, std::string name, std::string zone, int index);

    void start();
    void sendPeer(const std::string &address, const wire::PeerMessage &message) override;
    void sendWorker(const SentOrder &order) override;
    void append(Stream stream, const std::string &payload) override;
    void read(Stream stream, Offset from, std::size_t most, Duration wait) override;
    void fetchList(Instant askedAt) override;
    void answer(CallerToken caller, const wire::CallerAnswer &answer) override;
    void reply(CallerToken caller, const wire::CommandReply &reply) override;

    /** Returns the instance's own clock, which differs from all others in offset and rate. */
    Instant localNow() const;

    /** Calls the function after the delay in ms and any freeze, unless the node has restarted. */
    void later(std::int64_t delay, std::function<void(Node &)> function);

    Simulation &simulation;
    const std::string name;
    const std::string zone;
    const int index;
    std::unique_ptr<Random> random;
    std::unique_ptr<Node> node;
    int incarnation = 0; ///< Rises at each start and kill; events of an earlier one are dropped.
    bool stopping = false;
    std::int64_t frozenUntil = 0;
    std::int64_t listTakenAt = -1; ///< When the latest received list was taken; -1: none came.
    std::int64_t driftPerMille = 0;
};

/**
 * Simulates several real nodes with fake workers and a fake platform, from one clock and one seed.
 *
 * It covers only the faults under which the guarantees must hold; it is no model of a network.
 */
class Simulation
{
public:
    Simulation(std::uint64_t seed, Weakening weakening);
    ~Simulation();
    Simulation(const Simulation &) = delete;
    Simulation &operator=(const Simulation &) = delete;

    // Actions of operators and callers
    void sendRequest(int instance, bool once);
    void resendRequest(int instance, int earlier);
    void submitTask(int instance, int kind);
    void command(int instance, const std::string &text);
    std::string task(int which) const;
    std::string workerName(int which) const;

    // Faults
    void kill(int instance);
    void stop(int instance);
    void freeze(int instance, std::int64_t milliseconds);
    void restartWorker(int worker);
    void freezeWorker(int worker, std::int64_t milliseconds);
    /** Drops all messages to and from the worker, which keeps running. */
    void disconnectWorker(int worker, std::int64_t milliseconds);
    /** Delays some orders to workers by up to 4 s. */
    void slowOrders(std::int64_t milliseconds);
    void announceLeaving(int worker, bool listOnly);
    void toggleWorkerFailure(int worker);
    void partitionZones(std::int64_t milliseconds);
    void disconnectPlatform(int zone, std::int64_t milliseconds);
    void logOutage(std::int64_t milliseconds);
    void loseAppendReplies(std::int64_t milliseconds);
    void slowLog(std::int64_t milliseconds);
    void loseMessages(std::int64_t milliseconds);

    void disconnectWorkerOf(const std::string &task, std::int64_t milliseconds);

    // Observations
    bool ready(int instance);
    std::string configOf(int instance, const std::string &key);
    wire::TaskRecord taskRecord(const std::string &task);
    /** Returns the time that all workers together spent on the task, in ms. */
    std::uint64_t workedMs(const std::string &task) const;
    void reportViolation(const std::string &what);

    /** Advances the clock and processes the events until then. */
    void run(std::int64_t milliseconds);

    /** Ends all faults, gives the remaining work time to end, and checks the final state. */
    void settle();

    const std::vector<std::string> &violations() const { return this->violationTexts; }
    const Counts &counts() const { return this->total; }

private:
    friend class SimInstance;

    struct Event
    {
        std::int64_t at;
        std::uint64_t order;
        std::function<void()> act;
        bool operator<(const Event &other) const
        {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    struct SentRequest
    {
        std::string request;
        std::string body;
        std::int64_t deadline = 0;
        int instance = 0;
        int incarnation = 0;
        bool answered = false;
    };

    /** All sends of one request, under the same request id. */
    struct RequestHistory
    {
        bool once = false;
        int sends = 0;
        int notRun = 0;
    };

    struct LeavingWorker
    {
        int worker = 0;
        std::int64_t since = 0;
        bool graceOver = false; ///< From then on it must get no new work.
    };

    void at(std::int64_t delay, std::function<void()> act);
    std::int64_t delay();
    bool chance(std::uint64_t perMille);
    bool platformReachable(const std::string &zone) const;
    bool zonesReachable(const std::string &from, const std::string &to) const;
    SimInstance &instance(int which);
    fakes::FakeWorker &worker(int which);
    wire::InstanceList list() const;
    void tickInstances();
    void tickWorkers();
    /** Whether the sender of an order still awaits its reply. */
    using ReplyAwaited = std::shared_ptr<bool>;

    struct RunningCall
    {
        SimInstance *from = nullptr;
        int incarnation = 0;
        SentOrder order;
        ReplyAwaited replyAwaited;
    };

    std::size_t workerIndex(const std::string &name) const;
    bool isDisconnected(std::size_t worker) const;
    void deliverOrder(SimInstance &from, int incarnation, const SentOrder &order,
                      const ReplyAwaited &replyAwaited);
    void replyToOrder(SimInstance &to, int incarnation, const SentOrder &order,
                      const ReplyAwaited &replyAwaited, const wire::WorkerReply &reply);
    void returnReply(SimInstance &to, int incarnation, const SentOrder &order,
                     const Result<wire::WorkerReply> &reply);
    void replyToWaitingReads();
    void submitRequest(int instance, const std::string &request, const std::string &body,
                       bool once);
    void onAnswer(int instance, int incarnation, CallerToken caller,
                  const wire::CallerAnswer &answer);
    void checkCurrentState();
    void checkFinalState();
    bool couldKnowOfLeaving(const SimInstance &from, std::size_t worker) const;
    void checkLeavingWorker(std::size_t worker, const wire::WorkerOrder &order,
                            const std::optional<wire::WorkerReply> &reply);
    void watchLeavingWorker(std::size_t entry, std::int64_t left);
    void freeCapacity();
    bool lost(bool reply);

    const Weakening weakening;
    Random random;
    std::int64_t clock = 0;
    std::uint64_t eventOrder = 0;
    std::priority_queue<Event> events;
    std::vector<std::unique_ptr<SimInstance>> instances;
    std::vector<std::unique_ptr<fakes::FakeWorker>> workers;
    std::vector<std::int64_t> workerFrozenUntil;
    std::vector<std::int64_t> workerDisconnectedUntil;
    std::int64_t slowOrdersUntil = 0;
    std::set<int> listedLeaving;
    std::vector<LeavingWorker> leavingWorkers;
    std::map<std::string, RunningCall> runningCalls;
    std::set<std::pair<int, int>> plannedStops;
    fakes::FakeLog log;
    struct WaitingRead
    {
        SimInstance *reader;
        int incarnation;
        Stream stream;
        Offset from;
        std::size_t most;
        std::int64_t until;
    };
    std::vector<WaitingRead> reads;
    std::int64_t zonesPartitionedUntil = 0;
    std::map<std::string, std::int64_t> platformDisconnectedUntil;
    std::int64_t outageUntil = 0;
    std::int64_t appendRepliesLostUntil = 0;
    std::int64_t slowLogUntil = 0;
    std::int64_t messagesLostUntil = 0;
    std::uint64_t lastCaller = 0;
    std::uint64_t lastName = 0;
    std::map<std::pair<int, std::uint64_t>, SentRequest> sentRequests;
    std::map<std::string, RequestHistory> histories;
    std::vector<std::string> requestNames;
    std::vector<std::string> taskNames;
    std::map<std::pair<std::string, std::uint32_t>, std::string> attemptWorkers;
    std::set<std::string> startedAttempts;
    std::vector<std::string> violationTexts;
    std::uint64_t weakenedSeq = 0;
    Counts total;
};

} // namespace godwitfall::guarantees
