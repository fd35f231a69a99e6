#include "simulation.h"

#include <algorithm>
#include <utility>

#include "invariant.h"

namespace godwitfall::guarantees {

namespace {

constexpr int zoneCount = 2;
constexpr int instancesPerZone = 2;
constexpr int workersPerZone = 2;
constexpr std::int64_t tickMs = 20;
constexpr std::int64_t answerGraceMs = 100;
constexpr std::int64_t leavingGraceMs = 3000;
constexpr std::int64_t settleMs = 20000;
constexpr std::int64_t allowedDriftPerMille = 20;
constexpr const char *serviceName = "ordering";

std::string streamName(Stream stream)
{
    return stream == Stream::State ? "state" : "snapshots";
}

LeaseTimes leaseTimes()
{
    LeaseTimes times;
    times.ownerLease = Duration(1000);
    times.renewEvery = Duration(200);
    times.taskLease = Duration(3000);
    times.contactAllowance = Duration(2000);
    times.fenceAfter = Duration(1500);
    times.firstEjection = Duration(300);
    times.longestEjection = Duration(3000);
    // Each clock may deviate by the bound, two of them in opposite directions.
    times.driftPerMille = allowedDriftPerMille * 2;
    return times;
}

} // namespace

Counts &Counts::operator+=(const Counts &other)
{
    for (const auto member :
         {&Counts::steps, &Counts::requests, &Counts::answered, &Counts::notRun, &Counts::unknown,
          &Counts::tasks, &Counts::finishedTasks, &Counts::evictions, &Counts::fences,
          &Counts::lapses, &Counts::snapshots}) {
        this->*member += other.*member;
    }
    return *this;
}

SimInstance::SimInstance(Simulation &simulation, std::string name, std::string zone, int index)
    : simulation(simulation)
    , name(std::move(name))
    , zone(std::move(zone))
    , index(index)
{}

void SimInstance::start()
{
    ++this->incarnation;
    this->stopping = false;
    this->frozenUntil = 0;
    this->listTakenAt = -1;
    this->driftPerMille =
        static_cast<std::int64_t>(this->simulation.random.below(2 * allowedDriftPerMille + 1)) -
        allowedDriftPerMille;
    this->random = std::make_unique<Random>(this->simulation.random.below(~0ULL));
    NodeSettings settings;
    settings.instance = InstanceId(this->name);
    settings.zone = ZoneId(this->zone);
    settings.incarnation = Incarnation(static_cast<std::uint64_t>(this->simulation.clock) + 1);
    settings.times = leaseTimes();
    settings.peerTimeout = Duration(700);
    settings.commitEvery = Duration(10);
    settings.listEvery = Duration(400);
    settings.snapshotEvery = 50;
    settings.limits.queueLimit = 64;
    settings.limits.defaultBudget = Duration(800);
    settings.limits.maxLogContactAge = Duration(1500);
    this->node = std::make_unique<Node>(settings, *this, *this->random);
}

Instant SimInstance::localNow() const
{
    const std::int64_t rate = 1000 + this->driftPerMille;
    return Instant(1000000 * (this->index + 1) + this->simulation.clock * rate / 1000);
}

void SimInstance::later(std::int64_t delay, std::function<void(Node &)> function)
{
    this->simulation.at(delay,
                        [this, incarnation = this->incarnation, function = std::move(function)] {
                            if (this->incarnation != incarnation || !this->node) {
                                return;
                            }
                            if (this->frozenUntil > this->simulation.clock) {
                                this->later(this->frozenUntil - this->simulation.clock, function);
                                return;
                            }
                            function(*this->node);
                        });
}

void SimInstance::sendPeer(const std::string &address, const wire::PeerMessage &message)
{
    for (const auto &peer : this->simulation.instances) {
        if (peer->name != address || !peer->node ||
            !this->simulation.zonesReachable(this->zone, peer->zone) ||
            this->simulation.lost(false)) {
            continue;
        }
        const int copies = this->simulation.chance(10) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            peer->later(this->simulation.delay(), [to = peer.get(), message](Node &node) {
                node.onPeer(message, to->localNow());
            });
        }
    }
}

void SimInstance::sendWorker(const SentOrder &order)
{
    this->later(0, [this, order, incarnation = this->incarnation](Node &) {
        if (this->localNow() >= order.notAfter) {
            this->simulation.returnReply(
                *this, incarnation, order,
                tl::unexpected(Error{Fate::NotDone, "order", "", "too late"}));
            return;
        }
        const auto replyAwaited = std::make_shared<bool>(true);
        this->simulation.deliverOrder(*this, incarnation, order, replyAwaited);
        this->simulation.at(order.timeout.count(), [this, incarnation, order, replyAwaited] {
            if (std::exchange(*replyAwaited, false)) {
                this->simulation.returnReply(
                    *this, incarnation, order,
                    tl::unexpected(Error{Fate::Unknown, "order", "", "timed out"}));
            }
        });
    });
}

void SimInstance::append(Stream stream, const std::string &payload)
{
    Simulation &all = this->simulation;
    const bool slow = all.clock < all.slowLogUntil;
    const std::int64_t travel = all.delay() + (slow ? 400 : 0);
    const auto failed = [this, stream](Fate fate) {
        this->later(this->simulation.delay(), [this, stream, fate](Node &node) {
            node.onAppended(stream, tl::unexpected(Error{fate, "append", "log", "failed"}),
                            this->localNow());
        });
    };
    if (!all.platformReachable(this->zone)) {
        failed(Fate::NotDone);
        return;
    }
    std::string sent = payload;
    if (all.weakening == Weakening::RetriesTakeNewNumbers && stream == Stream::State) {
        wire::Batch batch;
        batch.ParseFromString(payload);
        batch.set_writer(batch.writer() + "~" + std::to_string(++all.weakenedSeq));
        sent = batch.SerializeAsString();
    }
    all.at(travel, [this, stream, sent, failed, incarnation = this->incarnation] {
        Simulation &simulation = this->simulation;
        if (!simulation.platformReachable(this->zone)) {
            failed(Fate::Unknown);
            return;
        }
        const Offset offset(simulation.log.append(streamName(stream), sent));
        simulation.replyToWaitingReads();
        if (this->incarnation != incarnation) {
            return;
        }
        if (simulation.clock < simulation.appendRepliesLostUntil && simulation.chance(500)) {
            failed(Fate::Unknown);
            return;
        }
        this->later(simulation.delay(), [this, stream, offset](Node &node) {
            node.onAppended(stream, offset, this->localNow());
        });
    });
}

void SimInstance::read(Stream stream, Offset from, std::size_t most, Duration wait)
{
    Simulation &all = this->simulation;
    all.at(all.delay(), [this, stream, from, most, wait, incarnation = this->incarnation] {
        Simulation &simulation = this->simulation;
        simulation.reads.push_back(
            {this, incarnation, stream, from, most, simulation.clock + wait.count()});
        simulation.replyToWaitingReads();
    });
}

void SimInstance::fetchList(Instant askedAt)
{
    if (!this->simulation.platformReachable(this->zone)) {
        return;
    }
    // The list is outdated by its delay when it arrives.
    this->later(100 + this->simulation.delay(), [this, askedAt, list = this->simulation.list(),
                                                 from = this->simulation.clock](Node &node) {
        this->listTakenAt = from;
        node.onList(askedAt, list, this->localNow());
    });
}

void SimInstance::answer(CallerToken caller, const wire::CallerAnswer &answer)
{
    this->simulation.onAnswer(this->index, this->incarnation, caller, answer);
}

void SimInstance::reply(CallerToken, const wire::CommandReply &) {}

Simulation::Simulation(std::uint64_t seed, Weakening weakening)
    : weakening(weakening)
    , random(seed)
{
    setInvariantHandler([this](const std::string &name, const std::string &seen) {
        this->reportViolation("invariant " + name + ": " + seen);
    });
    this->log.retention = 400;
    for (int zone = 0; zone < zoneCount; ++zone) {
        const std::string name = "zone" + std::to_string(zone);
        for (int number = 0; number < workersPerZone; ++number) {
            this->workers.push_back(std::make_unique<fakes::FakeWorker>(
                name + "-w" + std::to_string(number), Resources{4000, 4000, 0, 3}, 1));
            fakes::FakeWorker &worker = *this->workers.back();
            worker.callTime = Duration(60);
            const std::int64_t bound = 2 * allowedDriftPerMille + 1;
            worker.driftPerMille =
                static_cast<std::int64_t>(this->random.below(static_cast<std::uint64_t>(bound))) -
                allowedDriftPerMille;
            if (weakening == Weakening::ClocksDriftBeyondBound) {
                worker.driftPerMille = -700;
            }
            worker.faults.checksEpoch = weakening != Weakening::WorkerIgnoresEpochs;
            worker.faults.checksLeases = weakening != Weakening::WorkerIgnoresTaskLeases;
            worker.faults.remembersCalls = weakening != Weakening::WorkerForgetsCalls;
        }
        for (int number = 0; number < instancesPerZone; ++number) {
            this->instances.push_back(
                std::make_unique<SimInstance>(*this, name + "-i" + std::to_string(number), name,
                                              static_cast<int>(this->instances.size())));
        }
    }
    this->workerFrozenUntil.resize(this->workers.size());
    this->workerDisconnectedUntil.resize(this->workers.size());
    for (const auto &each : this->instances) {
        each->start();
    }
    this->tickInstances();
    this->tickWorkers();
    this->run(2500);
}

Simulation::~Simulation()
{
    setInvariantHandler([](const std::string &, const std::string &) {});
}

void Simulation::at(std::int64_t delay, std::function<void()> act)
{
    this->events.push({this->clock + delay, ++this->eventOrder, std::move(act)});
}

std::int64_t Simulation::delay()
{
    return 1 + static_cast<std::int64_t>(this->random.below(this->chance(50) ? 300 : 8));
}

bool Simulation::chance(std::uint64_t perMille)
{
    return this->random.below(1000) < perMille;
}

bool Simulation::lost(bool reply)
{
    return this->clock < this->messagesLostUntil && this->chance(reply ? 300 : 200);
}

bool Simulation::platformReachable(const std::string &zone) const
{
    const auto cut = this->platformDisconnectedUntil.find(zone);
    return this->clock >= this->outageUntil &&
           (cut == this->platformDisconnectedUntil.end() || this->clock >= cut->second);
}

bool Simulation::zonesReachable(const std::string &from, const std::string &to) const
{
    return from == to || this->clock >= this->zonesPartitionedUntil;
}

SimInstance &Simulation::instance(int which)
{
    return *this->instances[static_cast<std::size_t>(which) % this->instances.size()];
}

fakes::FakeWorker &Simulation::worker(int which)
{
    return *this->workers[static_cast<std::size_t>(which) % this->workers.size()];
}

std::string Simulation::workerName(int which) const
{
    return this->workers[static_cast<std::size_t>(which) % this->workers.size()]->name();
}

std::string Simulation::task(int which) const
{
    return this->taskNames.empty()
               ? "none"
               : this->taskNames[static_cast<std::size_t>(which) % this->taskNames.size()];
}

void Simulation::reportViolation(const std::string &what)
{
    this->violationTexts.push_back("t=" + std::to_string(this->clock) + " " + what);
}

wire::InstanceList Simulation::list() const
{
    wire::InstanceList list;
    for (std::size_t index = 0; index < this->workers.size(); ++index) {
        wire::ListedWorker &entry = *list.add_workers();
        entry.set_worker(this->workers[index]->name());
        entry.set_zone(entry.worker().substr(0, entry.worker().find('-')));
        entry.set_address(entry.worker());
        entry.set_leaving(this->listedLeaving.contains(static_cast<int>(index)));
        *entry.mutable_capacity() = this->workers[index]->capacity().toWire();
        entry.add_services(serviceName);
    }
    for (const auto &each : this->instances) {
        wire::ListedInstance &entry = *list.add_instances();
        entry.set_instance(each->name);
        entry.set_zone(each->zone);
        entry.set_peer_address(each->name);
    }
    return list;
}

void Simulation::run(std::int64_t milliseconds)
{
    const std::int64_t until = this->clock + milliseconds;
    while (!this->events.empty() && this->events.top().at <= until) {
        const Event event = this->events.top();
        this->events.pop();
        this->clock = std::max(this->clock, event.at);
        event.act();
        ++this->total.steps;
    }
    this->clock = until;
}

void Simulation::tickInstances()
{
    for (const auto &each : this->instances) {
        each->later(0, [self = each.get()](Node &node) {
            node.onTick(self->localNow());
            if (self->stopping && node.drained()) {
                // A drained instance exits, and the platform replaces it.
                self->simulation.at(0, [self, incarnation = self->incarnation] {
                    if (self->incarnation == incarnation) {
                        self->simulation.plannedStops.insert({self->index, incarnation});
                        self->start();
                    }
                });
            }
        });
    }
    this->at(tickMs, [this] { this->tickInstances(); });
}

void Simulation::tickWorkers()
{
    for (std::size_t index = 0; index < this->workers.size(); ++index) {
        if (this->workerFrozenUntil[index] > this->clock) {
            continue;
        }
        for (const fakes::FinishedCall &call :
             this->workers[index]->advance(Instant(this->clock))) {
            const auto found = this->runningCalls.find(call.call);
            if (found == this->runningCalls.end()) {
                continue;
            }
            const RunningCall running = found->second;
            this->runningCalls.erase(found);
            this->replyToOrder(*running.from, running.incarnation, running.order,
                               running.replyAwaited, call.reply);
        }
    }
    this->checkCurrentState();
    this->at(tickMs / 2, [this] { this->tickWorkers(); });
}

std::size_t Simulation::workerIndex(const std::string &name) const
{
    const auto found =
        std::find_if(this->workers.begin(), this->workers.end(),
                     [&](const auto &candidate) { return candidate->name() == name; });
    return static_cast<std::size_t>(found - this->workers.begin());
}

bool Simulation::isDisconnected(std::size_t index) const
{
    return this->clock < this->workerDisconnectedUntil[index];
}

void Simulation::deliverOrder(SimInstance &from, int incarnation, const SentOrder &order,
                              const ReplyAwaited &replyAwaited)
{
    const std::size_t index = this->workerIndex(order.address);
    if (this->lost(false) || this->isDisconnected(index)) {
        return;
    }
    const bool slow = this->clock < this->slowOrdersUntil && this->chance(300);
    if (slow && this->chance(300) && std::exchange(*replyAwaited, false)) {
        // The connection drops, but the order that was sent still arrives.
        this->returnReply(from, incarnation, order,
                          tl::unexpected(Error{Fate::Unknown, "order", "", "reset"}));
    }
    const auto extra = slow ? static_cast<std::int64_t>(this->random.below(4000)) : 0;
    const bool couldKnow = this->couldKnowOfLeaving(from, index);
    this->at(this->delay() + extra,
             [this, &from, incarnation, order, replyAwaited, index, couldKnow] {
                 if (this->workerFrozenUntil[index] > this->clock) {
                     // The order waits in the socket of the frozen worker until it resumes.
                     this->at(this->workerFrozenUntil[index] - this->clock,
                              [this, &from, incarnation, order, replyAwaited] {
                                  this->deliverOrder(from, incarnation, order, replyAwaited);
                              });
                     return;
                 }
                 if (order.order.has_execute()) {
                     this->runningCalls[order.order.execute().call()] = {&from, incarnation, order,
                                                                         replyAwaited};
                 }
                 const auto reply = this->workers[index]->handle(order.order, Instant(this->clock));
                 if (couldKnow) {
                     this->checkLeavingWorker(index, order.order, reply);
                 }
                 if (order.order.has_start() && reply->status() == wire::ACCEPTED) {
                     this->startedAttempts.insert(order.order.start().key().SerializeAsString());
                 }
                 if (reply) {
                     this->replyToOrder(from, incarnation, order, replyAwaited, *reply);
                 }
             });
}

void Simulation::replyToOrder(SimInstance &to, int incarnation, const SentOrder &order,
                              const ReplyAwaited &replyAwaited, const wire::WorkerReply &reply)
{
    if (this->lost(true) || this->isDisconnected(this->workerIndex(order.address))) {
        return;
    }
    if (std::exchange(*replyAwaited, false)) {
        this->returnReply(to, incarnation, order, reply);
    }
}

void Simulation::returnReply(SimInstance &to, int incarnation, const SentOrder &order,
                             const Result<wire::WorkerReply> &reply)
{
    if (to.incarnation != incarnation) {
        return;
    }
    to.later(this->delay(),
             [&to, order, reply](Node &node) { node.onWorkerReply(order, reply, to.localNow()); });
}

void Simulation::replyToWaitingReads()
{
    std::vector<WaitingRead> left;
    for (const WaitingRead &read : this->reads) {
        if (read.reader->incarnation != read.incarnation) {
            continue;
        }
        const bool reachable = this->platformReachable(read.reader->zone);
        const std::string stream = streamName(read.stream);
        if (reachable && this->log.end(stream) <= read.from.value() && this->clock < read.until) {
            left.push_back(read);
            continue;
        }
        Result<wire::ReadReply> answer = this->log.read(stream, read.from.value(), read.most);
        if (!reachable) {
            answer = tl::unexpected(Error{Fate::NotDone, "read", "log", "unreachable"});
        }
        read.reader->later(this->delay(), [read, answer](Node &node) {
            node.onRead(read.stream, answer, read.reader->localNow());
        });
    }
    this->reads = std::move(left);
}

void Simulation::submitRequest(int which, const std::string &request, const std::string &body,
                               bool once)
{
    SimInstance &to = this->instance(which);
    RequestHistory &history = this->histories[request];
    history.once = once;
    ++history.sends;
    ++this->total.requests;
    const CallerToken caller(++this->lastCaller);
    wire::CallerRequest message;
    message.set_request(request);
    message.set_service(serviceName);
    message.set_caller("grower-" + std::to_string(this->random.below(3)));
    message.set_body(body);
    message.set_budget_ms(500 + this->random.below(800));
    message.set_repeatable(!once || this->weakening == Weakening::OnceRequestsSentAsRepeatable);
    SentRequest &kept = this->sentRequests[{to.index, caller.value()}];
    kept = {request, body, 0, to.index, to.incarnation, false};
    const auto budget = static_cast<std::int64_t>(message.budget_ms());
    to.later(this->delay(), [&to, &kept, message, caller, budget](Node &node) {
        kept.deadline = to.simulation.clock + budget;
        node.onRequest(message, caller, to.localNow());
    });
}

void Simulation::sendRequest(int which, bool once)
{
    const std::string request = (once ? "order-" : "check-") + std::to_string(++this->lastName);
    this->requestNames.push_back(request);
    this->submitRequest(which, request, "valley " + request, once);
}

void Simulation::resendRequest(int which, int earlier)
{
    if (!this->requestNames.empty()) {
        const std::string &request =
            this->requestNames[static_cast<std::size_t>(earlier) % this->requestNames.size()];
        this->submitRequest(which, request, "valley " + request, this->histories[request].once);
    }
}

void Simulation::onAnswer(int which, int incarnation, CallerToken caller,
                          const wire::CallerAnswer &answer)
{
    const auto found = this->sentRequests.find({which, caller.value()});
    if (found == this->sentRequests.end() || found->second.answered ||
        found->second.incarnation != incarnation) {
        this->reportViolation("an answer without a pending request: " + answer.request());
        return;
    }
    SentRequest &sentRequest = found->second;
    sentRequest.answered = true;
    const std::string expectedBody = "answer to " + sentRequest.request + ": " + sentRequest.body;
    if (answer.request() != sentRequest.request ||
        (answer.outcome() == wire::ANSWERED_WHOLE && answer.body() != expectedBody)) {
        this->reportViolation("a wrong or incomplete answer to " + sentRequest.request);
    }
    const SimInstance &from = this->instance(which);
    const bool frozenLately =
        from.frozenUntil + answerGraceMs > this->clock && from.frozenUntil > 0;
    if (this->clock > sentRequest.deadline + answerGraceMs && !frozenLately) {
        this->reportViolation("an answer after the deadline of " + sentRequest.request + " at " +
                              from.name + ", due by " + std::to_string(sentRequest.deadline) +
                              ", frozen until " + std::to_string(from.frozenUntil) + ", " +
                              answer.reason());
    }
    RequestHistory &history = this->histories[sentRequest.request];
    history.notRun += answer.outcome() == wire::NOT_RUN ? 1 : 0;
    this->total.answered += answer.outcome() == wire::ANSWERED_WHOLE ? 1 : 0;
    this->total.notRun += answer.outcome() == wire::NOT_RUN ? 1 : 0;
    this->total.unknown += answer.outcome() == wire::UNKNOWN ? 1 : 0;
}

void Simulation::command(int which, const std::string &text)
{
    SimInstance &to = this->instance(which);
    wire::CommandRequest request;
    request.set_id("command-" + std::to_string(++this->lastName));
    request.set_text(text);
    to.later(this->delay(), [&to, request](Node &node) {
        node.onCommand(request, "operator", CallerToken(0), to.localNow());
    });
}

void Simulation::submitTask(int which, int kind)
{
    const std::string name = "task-" + std::to_string(++this->lastName);
    this->taskNames.push_back(name);
    ++this->total.tasks;
    const std::string options[] = {"kind batch run_ms 1500", "kind batch run_ms 4000 once",
                                   "kind watch stay", "kind latency-critical run_ms 500"};
    this->command(which, "submit task " + name + " team t" + std::to_string(kind % 3) +
                             " milli_cores " + std::to_string(500 + 500 * (kind % 4)) +
                             " memory_mb 100 " + options[static_cast<std::size_t>(kind % 4)]);
}

void Simulation::kill(int which)
{
    SimInstance &victim = this->instance(which);
    victim.node.reset();
    ++victim.incarnation;
    this->at(500 + static_cast<std::int64_t>(this->random.below(3000)),
             [&victim, incarnation = victim.incarnation] {
                 if (victim.incarnation == incarnation) {
                     victim.start();
                 }
             });
}

void Simulation::stop(int which)
{
    SimInstance &stopped = this->instance(which);
    if (this->weakening == Weakening::StopWithoutDraining) {
        if (stopped.node) {
            this->at(0, [this, &stopped, incarnation = stopped.incarnation] {
                if (stopped.incarnation == incarnation) {
                    this->plannedStops.insert({stopped.index, incarnation});
                    stopped.start();
                }
            });
        }
        return;
    }
    stopped.later(0, [&stopped](Node &node) {
        stopped.stopping = true;
        node.startDraining(stopped.localNow());
    });
}

void Simulation::freeze(int which, std::int64_t milliseconds)
{
    this->instance(which).frozenUntil = this->clock + milliseconds;
}

void Simulation::restartWorker(int which)
{
    this->worker(which).restart(static_cast<std::uint64_t>(this->clock) + 2);
}

void Simulation::freezeWorker(int which, std::int64_t milliseconds)
{
    this->workerFrozenUntil[static_cast<std::size_t>(which) % this->workers.size()] =
        this->clock + milliseconds;
}

void Simulation::disconnectWorker(int which, std::int64_t milliseconds)
{
    this->workerDisconnectedUntil[static_cast<std::size_t>(which) % this->workers.size()] =
        this->clock + milliseconds;
}

void Simulation::disconnectWorkerOf(const std::string &task, std::int64_t milliseconds)
{
    for (std::size_t index = 0; index < this->workers.size(); ++index) {
        for (const wire::TaskKey &key : this->workers[index]->runningTasks()) {
            if (key.task() == task) {
                this->disconnectWorker(static_cast<int>(index), milliseconds);
            }
        }
    }
}

bool Simulation::ready(int which)
{
    const SimInstance &queried = this->instance(which);
    return queried.node && queried.node->ready();
}

std::string Simulation::configOf(int which, const std::string &key)
{
    return this->instance(which).node->clusterState().read([&](const ClusterState &table) {
        const auto found = table.config().all().find(key);
        return found == table.config().all().end() ? std::string() : found->second.value();
    });
}

wire::TaskRecord Simulation::taskRecord(const std::string &task)
{
    return this->instance(0).node->clusterState().read([&](const ClusterState &table) {
        const wire::TaskRecord *found = table.tasks().find(task);
        return found == nullptr ? wire::TaskRecord() : *found;
    });
}

std::uint64_t Simulation::workedMs(const std::string &task) const
{
    std::uint64_t sum = 0;
    for (const auto &each : this->workers) {
        const auto found = each->workedMs().find(task);
        sum += found == each->workedMs().end() ? 0 : found->second;
    }
    return sum;
}

void Simulation::slowOrders(std::int64_t milliseconds)
{
    this->slowOrdersUntil = this->clock + milliseconds;
}

void Simulation::announceLeaving(int which, bool listOnly)
{
    const int index = which % static_cast<int>(this->workers.size());
    if (this->listedLeaving.size() >= 2 || this->listedLeaving.contains(index)) {
        return;
    }
    this->listedLeaving.insert(index);
    if (this->weakening == Weakening::LeavingIsNotListed) {
        this->listedLeaving.clear();
        this->leavingWorkers.push_back({index, this->clock, false});
    } else {
        this->worker(index).faults.leaving = !listOnly;
        this->leavingWorkers.push_back({index, this->clock, false});
    }
    this->watchLeavingWorker(this->leavingWorkers.size() - 1, leavingGraceMs);
}

void Simulation::watchLeavingWorker(std::size_t entry, std::int64_t left)
{
    if (entry >= this->leavingWorkers.size()) {
        return;
    }
    LeavingWorker &leavingWorker = this->leavingWorkers[entry];
    if (left <= 0) {
        leavingWorker.graceOver = true;
        return;
    }
    // The grace period restarts while no running instance of the zone can get the list.
    const std::string name = this->workerName(leavingWorker.worker);
    const std::string zone = name.substr(0, name.find('-'));
    const bool awake =
        std::any_of(this->instances.begin(), this->instances.end(), [&](const auto &candidate) {
            return candidate->zone == zone && candidate->node &&
                   candidate->frozenUntil <= this->clock;
        });
    const bool listReachable = awake && this->platformReachable(zone);
    this->at(tickMs, [this, entry, left, listReachable] {
        this->watchLeavingWorker(entry, listReachable ? left - tickMs : leavingGraceMs);
    });
}

void Simulation::toggleWorkerFailure(int which)
{
    this->worker(which).faults.failsEverything = !this->worker(which).faults.failsEverything;
}

void Simulation::partitionZones(std::int64_t milliseconds)
{
    this->zonesPartitionedUntil = this->clock + milliseconds;
}

void Simulation::disconnectPlatform(int zone, std::int64_t milliseconds)
{
    this->platformDisconnectedUntil["zone" + std::to_string(zone % zoneCount)] =
        this->clock + milliseconds;
    this->replyToWaitingReads();
}

void Simulation::logOutage(std::int64_t milliseconds)
{
    this->outageUntil = this->clock + milliseconds;
    this->replyToWaitingReads();
}

void Simulation::loseAppendReplies(std::int64_t milliseconds)
{
    this->appendRepliesLostUntil = this->clock + milliseconds;
}

void Simulation::slowLog(std::int64_t milliseconds)
{
    this->slowLogUntil = this->clock + milliseconds;
}

void Simulation::loseMessages(std::int64_t milliseconds)
{
    this->messagesLostUntil = this->clock + milliseconds;
}

void Simulation::checkCurrentState()
{
    std::map<std::string, std::string> places;
    for (std::size_t index = 0; index < this->workers.size(); ++index) {
        // A frozen worker is a paused machine: its tasks make no progress, and when it resumes it
        // checks their leases before anything else.
        if (this->workerFrozenUntil[index] > this->clock) {
            continue;
        }
        const auto &each = this->workers[index];
        if (!each->used().fitsIn(each->capacity())) {
            this->reportViolation("over capacity: " + each->name() + " uses " +
                                  each->used().text());
        }
        for (const wire::TaskKey &key : each->runningTasks()) {
            const auto [place, first] = places.try_emplace(key.task(), each->name());
            if (!first) {
                this->reportViolation("task " + key.task() + " runs on " + place->second + " and " +
                                      each->name());
            }
            const auto [origin, fresh] =
                this->attemptWorkers.try_emplace({key.task(), key.attempt()}, each->name());
            if (!fresh && origin->second != each->name()) {
                this->reportViolation("attempt " + std::to_string(key.attempt()) + " of " +
                                      key.task() + " ran on " + origin->second + " and " +
                                      each->name());
            }
        }
    }
    this->replyToWaitingReads();
}

void Simulation::settle()
{
    for (const auto &each : this->instances) {
        each->frozenUntil = std::min(each->frozenUntil, this->clock);
        if (!each->node) {
            each->start();
        }
    }
    std::fill(this->workerFrozenUntil.begin(), this->workerFrozenUntil.end(), 0);
    std::fill(this->workerDisconnectedUntil.begin(), this->workerDisconnectedUntil.end(), 0);
    this->slowOrdersUntil = 0;
    this->zonesPartitionedUntil = this->outageUntil = this->appendRepliesLostUntil = 0;
    this->slowLogUntil = this->messagesLostUntil = 0;
    this->platformDisconnectedUntil.clear();
    for (const auto &each : this->workers) {
        each->faults.failsEverything = false;
    }
    this->run(settleMs);
    this->leavingWorkers.clear();
    this->freeCapacity();
    this->run(settleMs);
    this->checkFinalState();
}

void Simulation::freeCapacity()
{
    this->listedLeaving.clear();
    for (const auto &each : this->workers) {
        each->faults.leaving = false;
        this->command(0, "undrain worker " + each->name());
    }
    this->instances.front()->node->clusterState().read([&](const ClusterState &table) {
        for (const auto &[name, task] : table.tasks().all()) {
            if (task.spec().kind() == wire::WATCH) {
                this->command(0, "cancel task " + name);
            }
        }
    });
}

bool Simulation::couldKnowOfLeaving(const SimInstance &from, std::size_t index) const
{
    const auto leavingWorker = std::find_if(
        this->leavingWorkers.begin(), this->leavingWorkers.end(), [&](const auto &candidate) {
            return candidate.worker == static_cast<int>(index) && candidate.graceOver;
        });
    if (leavingWorker == this->leavingWorkers.end()) {
        return false;
    }
    // An instance that was frozen meanwhile can't know if neither the platform nor a peer of its
    // zone can inform it; it may go on using the worker. A peer that has restarted since and got no
    // list can't inform it either.
    return from.listTakenAt >= leavingWorker->since || this->platformReachable(from.zone) ||
           std::any_of(this->instances.begin(), this->instances.end(), [&](const auto &peer) {
               return peer.get() != &from && peer->zone == from.zone && peer->node &&
                      peer->frozenUntil <= this->clock && peer->listTakenAt >= leavingWorker->since;
           });
}

void Simulation::checkLeavingWorker(std::size_t index, const wire::WorkerOrder &order,
                                    const std::optional<wire::WorkerReply> &reply)
{
    const std::string worker = this->workers[index]->name();
    if (order.has_execute() && !reply) {
        this->reportViolation("leaving worker " + worker + " got " + order.execute().request());
    }
    if (order.has_start() && reply->status() == wire::ACCEPTED &&
        !this->startedAttempts.contains(order.start().key().SerializeAsString())) {
        this->reportViolation("leaving worker " + worker + " got " + order.start().key().task());
    }
}

void Simulation::checkFinalState()
{
    std::map<std::string, int> begun;
    for (const auto &each : this->workers) {
        for (const auto &[request, count] : each->begunRequests()) {
            begun[request] += count;
        }
    }
    for (const auto &[request, history] : this->histories) {
        if (history.once && begun[request] > 1) {
            this->reportViolation(request + " ran " + std::to_string(begun[request]) + " times");
        }
        if (history.notRun == history.sends && begun[request] > 0) {
            this->reportViolation(request + " was refused as not run, but ran");
        }
    }
    for (const auto &[key, sentRequest] : this->sentRequests) {
        const SimInstance &to = this->instance(sentRequest.instance);
        const bool sameIncarnation = to.incarnation == sentRequest.incarnation;
        const bool planned =
            this->plannedStops.contains({sentRequest.instance, sentRequest.incarnation});
        if (!sentRequest.answered && sentRequest.deadline > 0 && (sameIncarnation || planned)) {
            this->reportViolation("no answer to " + sentRequest.request);
        }
    }
    std::string first;
    for (const auto &each : this->instances) {
        const std::string state = each->node->clusterState().read(
            [](const ClusterState &table) { return table.snapshot().SerializeAsString(); });
        if (!first.empty() && state != first) {
            this->reportViolation("instances have different states after all work has ended");
        }
        first = state;
    }
    this->total.snapshots = this->log.end("snapshots") - 1;
    this->instances.front()->node->clusterState().read([&](const ClusterState &table) {
        for (const wire::AuditEntry &entry : table.audit().all()) {
            this->total.fences += entry.action().starts_with("fence") && entry.accepted() ? 1 : 0;
            this->total.lapses += entry.action().starts_with("lapse") && entry.accepted() ? 1 : 0;
        }
        for (const auto &[name, task] : table.tasks().all()) {
            this->total.evictions += task.evictions();
            this->total.finishedTasks += task.state() == wire::FINISHED ? 1 : 0;
            const bool waits = task.state() == wire::PENDING;
            const bool stuck = task.state() == wire::CLAIMED;
            if ((waits && task.pinned_worker().empty()) || stuck) {
                this->reportViolation(name + " is lost or starved: " + stateName(task.state()) +
                                      ", " + task.reason());
            }
        }
    });
}

} // namespace godwitfall::guarantees
