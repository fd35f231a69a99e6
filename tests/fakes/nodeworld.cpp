#include "nodeworld.h"

#include <algorithm>

namespace godwitfall::fakes {

namespace {

constexpr std::int64_t stepMs = 10;

LeaseTimes leaseTimes()
{
    LeaseTimes times;
    times.ownerLease = Duration(1000);
    times.renewEvery = Duration(200);
    times.taskLease = Duration(3000);
    times.contactAllowance = Duration(2000);
    times.fenceAfter = Duration(1500);
    times.driftPerMille = 10;
    return times;
}

std::string streamName(Stream stream)
{
    return stream == Stream::State ? "state" : "snapshots";
}

} // namespace

/** One incarnation of an instance: a real node and its outbox. */
class NodeWorld::Instance : public Outbox
{
public:
    Instance(NodeWorld &world, const std::string &name)
        : world(world)
        , name(name)
        , incarnation(++world.lastIncarnation)
        , random(incarnation)
    {
        NodeSettings settings;
        settings.instance = InstanceId(name);
        settings.zone = ZoneId(zone);
        settings.incarnation = Incarnation(this->incarnation);
        settings.times = leaseTimes();
        settings.peerTimeout = Duration(700);
        settings.commitEvery = Duration(10);
        settings.listEvery = Duration(400);
        settings.limits.maxLogContactAge = Duration(1500);
        this->node = std::make_unique<Node>(settings, *this, this->random);
    }

    void sendPeer(const std::string &address, const wire::PeerMessage &message) override
    {
        this->world.later([&world = this->world, address, message] {
            if (const auto peer = world.instances.find(address); peer != world.instances.end()) {
                peer->second->node->onPeer(message, world.now());
            }
        });
    }

    void sendWorker(const SentOrder &order) override
    {
        const OpenOrder open{this->name, this->incarnation, order,
                             this->world.clock + order.timeout.count()};
        this->world.later([&world = this->world, open] { world.deliverOrder(open); });
    }

    void append(Stream stream, const std::string &payload) override
    {
        this->toNode([&world = this->world, stream, payload](Node &node) {
            if (!world.logReachable) {
                node.onAppended(stream, tl::unexpected(Error{Fate::NotDone, "append", "log", ""}),
                                world.now());
                return;
            }
            node.onAppended(stream, Offset(world.log.append(streamName(stream), payload)),
                            world.now());
        });
    }

    void read(Stream stream, Offset from, std::size_t most, Duration) override
    {
        this->toNode([&world = this->world, stream, from, most](Node &node) {
            Result<wire::ReadReply> reply =
                tl::unexpected(Error{Fate::NotDone, "read", "log", "unreachable"});
            if (world.logReachable) {
                reply = world.log.read(streamName(stream), from.value(), most);
            }
            node.onRead(stream, reply, world.now());
        });
    }

    void fetchList(Instant askedAt) override
    {
        this->toNode([&world = this->world, askedAt](Node &node) {
            node.onList(askedAt, world.list(), world.now());
        });
    }

    void answer(CallerToken caller, const wire::CallerAnswer &answer) override
    {
        const std::string &request = this->world.requestByCaller.at(caller.value());
        this->world.outcomes[request] = wire::Outcome_Name(answer.outcome());
    }

    void reply(CallerToken, const wire::CommandReply &) override {}

    /** Calls the function in the next step unless the incarnation has ended. */
    void toNode(std::function<void(Node &)> function)
    {
        this->world.later([&world = this->world, name = this->name, incarnation = this->incarnation,
                           function = std::move(function)] {
            if (Instance *same = world.find(name, incarnation)) {
                function(*same->node);
            }
        });
    }

    NodeWorld &world;
    const std::string name;
    const std::uint64_t incarnation;
    Random random;
    std::unique_ptr<Node> node;
};

NodeWorld::NodeWorld() = default;
NodeWorld::~NodeWorld() = default;

void NodeWorld::start(const std::string &instance)
{
    this->instances[instance] = std::make_unique<Instance>(*this, instance);
}

void NodeWorld::kill(const std::string &instance)
{
    this->instances.erase(instance);
}

Node &NodeWorld::node(const std::string &instance)
{
    return *this->instances.at(instance)->node;
}

NodeWorld::Instance *NodeWorld::find(const std::string &instance, std::uint64_t incarnation)
{
    const auto found = this->instances.find(instance);
    const bool same = found != this->instances.end() && found->second->incarnation == incarnation;
    return same ? found->second.get() : nullptr;
}

FakeWorker &NodeWorld::addWorker(const std::string &name, const Resources &capacity)
{
    return *(this->workers[name] = std::make_unique<FakeWorker>(name, capacity, 1));
}

void NodeWorld::removeWorker(const std::string &name)
{
    this->removed.insert(name);
}

wire::InstanceList NodeWorld::list() const
{
    wire::InstanceList list;
    for (const auto &[name, worker] : this->workers) {
        if (this->removed.contains(name)) {
            continue;
        }
        wire::ListedWorker &entry = *list.add_workers();
        entry.set_worker(name);
        entry.set_zone(zone);
        entry.set_address(name);
        *entry.mutable_capacity() = worker->capacity().toWire();
        entry.add_services(service);
    }
    for (const auto &[name, instance] : this->instances) {
        wire::ListedInstance &entry = *list.add_instances();
        entry.set_instance(name);
        entry.set_zone(zone);
        entry.set_peer_address(name);
    }
    return list;
}

void NodeWorld::request(const std::string &instance, const std::string &id, std::int64_t budgetMs,
                        bool repeatable, const std::string &caller)
{
    wire::CallerRequest message;
    message.set_request(id);
    message.set_service(service);
    message.set_caller(caller);
    message.set_budget_ms(static_cast<std::uint64_t>(budgetMs));
    message.set_repeatable(repeatable);
    this->requestByCaller[++this->lastCaller] = id;
    this->node(instance).onRequest(message, CallerToken(this->lastCaller), this->now());
}

void NodeWorld::command(const std::string &instance, const std::string &text)
{
    wire::CommandRequest message;
    message.set_id("command-" + std::to_string(++this->lastCaller));
    message.set_text(text);
    this->node(instance).onCommand(message, "operator", CallerToken(this->lastCaller), this->now());
}

void NodeWorld::run(std::int64_t milliseconds)
{
    for (const std::int64_t until = this->clock + milliseconds; this->clock < until;) {
        this->step();
    }
}

void NodeWorld::step()
{
    this->clock += stepMs;
    for (const auto &[name, worker] : this->workers) {
        if (this->removed.contains(name)) {
            continue;
        }
        for (const FinishedCall &call : worker->advance(this->now())) {
            const auto running = this->runningCalls.extract(call.call);
            if (!running.empty()) {
                this->reply(running.mapped(), call.reply);
            }
        }
    }
    std::vector<OpenOrder> timedOut;
    const auto first =
        std::partition(this->silent.begin(), this->silent.end(),
                       [&](const OpenOrder &open) { return open.timeoutAt > this->clock; });
    timedOut.assign(first, this->silent.end());
    this->silent.erase(first, this->silent.end());
    for (const OpenOrder &open : timedOut) {
        this->reply(open, tl::unexpected(Error{Fate::Unknown, "order", "worker", "timed out"}));
    }
    std::deque<std::function<void()>> arriving;
    arriving.swap(this->due);
    for (const std::function<void()> &function : arriving) {
        function();
    }
    for (const auto &[name, instance] : this->instances) {
        instance->node->onTick(this->now());
    }
}

void NodeWorld::deliverOrder(const OpenOrder &open)
{
    const auto worker = this->workers.find(open.order.order.worker());
    if (worker == this->workers.end() || this->removed.contains(worker->first) ||
        (this->dropOrder && this->dropOrder(open.order))) {
        this->silent.push_back(open);
        return;
    }
    const auto reply = worker->second->handle(open.order.order, this->now());
    if (!reply) {
        this->runningCalls[open.order.order.execute().call()] = open;
        this->silent.push_back(open);
    } else if (this->dropReply && this->dropReply(open.order)) {
        this->silent.push_back(open);
    } else {
        this->reply(open, *reply);
    }
}

void NodeWorld::reply(const OpenOrder &open, const Result<wire::WorkerReply> &reply)
{
    if (open.order.order.has_execute()) {
        const std::string &call = open.order.order.execute().call();
        std::erase_if(this->silent, [&](const OpenOrder &other) {
            return other.order.order.has_execute() && other.order.order.execute().call() == call;
        });
        if (!reply) {
            this->runningCalls.erase(call);
        }
    }
    this->later([this, open, reply] {
        if (Instance *sender = this->find(open.instance, open.incarnation)) {
            sender->node->onWorkerReply(open.order, reply, this->now());
        }
    });
}

void NodeWorld::later(std::function<void()> function)
{
    this->due.push_back(std::move(function));
}

std::string NodeWorld::outcome(const std::string &id) const
{
    const auto found = this->outcomes.find(id);
    return found == this->outcomes.end() ? std::string() : found->second;
}

wire::TaskRecord NodeWorld::task(const std::string &instance, const std::string &name)
{
    return this->node(instance).clusterState().read([&](const ClusterState &state) {
        const wire::TaskRecord *found = state.tasks().find(name);
        return found == nullptr ? wire::TaskRecord() : *found;
    });
}

bool NodeWorld::owns(const std::string &instance, const std::string &worker)
{
    return this->node(instance).workerTable().read([&](const WorkerTable &table) {
        const Worker *found = table.find(WorkerId(worker));
        return found != nullptr && found->owned;
    });
}

} // namespace godwitfall::fakes
