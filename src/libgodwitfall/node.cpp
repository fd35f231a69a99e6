#include "node.h"

namespace godwitfall {

namespace {

/** How long new work waits for a current instance list after a pause; then it starts without. */
constexpr Duration listTimeout(1000);
constexpr Duration scheduleEvery(50);

std::string writerName(const NodeSettings &settings)
{
    return settings.instance.value() + "#" + std::to_string(settings.incarnation.value());
}

} // namespace

Node::Node(const NodeSettings &settings, Outbox &outbox, Random &random)
    : settings(settings)
    , outbox(outbox)
    , members(settings.instance, settings.zone, settings.incarnation, settings.peerTimeout)
    , workers(settings.zone, settings.times, makeWorkerChooser(settings.chooser, random))
    , writer(writerName(settings), settings.commitEvery, outbox, random)
    , follower(this->state, this->members, this->writer, outbox, random, settings.snapshotEvery)
    , leaseManager(this->state, this->members, this->workers, this->writer, this->follower, outbox,
                   settings.times)
    , scheduler(this->state, this->members, this->workers, this->writer, this->follower, outbox,
                settings.times)
    , router(this->state, this->members, this->workers, this->writer, this->follower, outbox,
             random, settings.limits)
    , queries(this->state, this->members, this->workers, this->scheduler)
    , commandService(this->queries, this->workers, this->writer, outbox, settings.wallClock)
{}

void Node::onTick(Instant now)
{
    bool schedule = false;
    {
        std::lock_guard lock(this->tickMutex);
        this->detectPause(now);
        if (now >= this->heartbeatAt) {
            this->heartbeatAt = now + this->settings.times.renewEvery;
            this->sendHeartbeats(now);
        }
        if (now >= this->listAt) {
            this->listAt = now + this->settings.listEvery;
            this->outbox.fetchList(now);
        }
        if (now >= this->schedulerAt) {
            this->schedulerAt = now + scheduleEvery;
            schedule = true;
        }
    }
    this->follower.onTick(now);
    this->router.onTick(now);
    this->commandService.onTick(now);
    // Work in flight must proceed during a graceful stop, or workers could not be transferred.
    if (schedule && (this->draining || this->ready())) {
        this->leaseManager.onTick(now);
        this->scheduler.onTick(now);
    }
    this->writer.onTick(now);
}

void Node::detectPause(Instant now)
{
    const Duration gap = now - this->tickedAt;
    const bool first = this->tickedAt == Instant();
    this->tickedAt = now;
    if (first || gap < this->settings.times.ownerLease / 2) {
        return;
    }
    // This process was paused, so its list of leaving workers is at least as old as the pause.
    this->listAt = now;
    this->workers.write([&](WorkerTable &table) { table.awaitFreshList(now, listTimeout); });
}

void Node::sendHeartbeats(Instant now)
{
    wire::PeerMessage message = this->envelope();
    wire::Heartbeat &heartbeat = *message.mutable_heartbeat();
    const Offset next =
        this->state.read([](const ClusterState &table) { return table.nextOffset(); });
    heartbeat.set_next_offset(next.value());
    heartbeat.set_draining(this->draining);
    heartbeat.set_free_slots(
        this->workers.read([&](const WorkerTable &table) { return table.freeSlots(now); }));
    this->workers.read([&](const WorkerTable &table) {
        for (const WorkerId &worker : table.listedLeaving()) {
            heartbeat.add_leaving_workers(worker.value());
        }
    });
    ++this->heartbeatRound;
    std::vector<std::string> addresses;
    this->members.read([&](const Membership &table) {
        for (const wire::ZoneMark &mark : table.zoneSummaries(next, now)) {
            *heartbeat.add_zones() = mark;
        }
        for (const InstanceId &target : table.heartbeatTargets(now, this->heartbeatRound)) {
            addresses.push_back(table.address(target));
        }
    });
    for (const std::string &address : addresses) {
        this->outbox.sendPeer(address, message);
    }
}

wire::PeerMessage Node::envelope() const
{
    return this->members.read([](const Membership &table) { return table.envelope(); });
}

void Node::sendTo(const std::string &instance, const wire::PeerMessage &message)
{
    const std::string address = this->members.read(
        [&](const Membership &table) { return table.address(InstanceId(instance)); });
    if (!address.empty()) {
        this->outbox.sendPeer(address, message);
    }
}

void Node::deliver(const std::vector<DueDecision> &decisions, Instant now)
{
    for (const DueDecision &due : decisions) {
        due.handler(due.decision, now);
    }
}

void Node::onPeer(const wire::PeerMessage &message, Instant now)
{
    switch (message.body_case()) {
    case wire::PeerMessage::kHeartbeat:
        this->onHeartbeat(message, now);
        break;
    case wire::PeerMessage::kFetchLog:
        this->onFetchLog(message);
        break;
    case wire::PeerMessage::kLogEntries:
        deliver(this->follower.onPeerEntries(message.log_entries()), now);
        break;
    case wire::PeerMessage::kFetchSnapshot:
        this->onFetchSnapshot(message);
        break;
    case wire::PeerMessage::kSnapshotOffer:
        deliver(this->follower.onPeerSnapshot(message.snapshot_offer().snapshot()), now);
        break;
    case wire::PeerMessage::kForward:
        this->router.submitForwarded(message.forward(), InstanceId(message.from()), now);
        break;
    case wire::PeerMessage::kForwardAnswer:
        this->router.onForwardAnswer(message.forward_answer(), InstanceId(message.from()), now);
        break;
    default:
        break;
    }
}

void Node::onHeartbeat(const wire::PeerMessage &message, Instant now)
{
    this->members.write([&](Membership &table) { table.applyHeartbeat(message, now); });
    const wire::Heartbeat &heartbeat = message.heartbeat();
    if (message.zone() != this->settings.zone.value()) {
        return;
    }
    std::vector<WorkerId> leaving;
    for (const std::string &worker : heartbeat.leaving_workers()) {
        leaving.emplace_back(worker);
    }
    this->workers.write(
        [&](WorkerTable &table) { table.markLeaving(leaving, now + this->settings.peerTimeout); });
}

void Node::onFetchLog(const wire::PeerMessage &message)
{
    const auto entries = this->follower.entriesFrom(Offset(message.fetch_log().from()));
    if (!entries) {
        this->onFetchSnapshot(message);
        return;
    }
    wire::PeerMessage reply = this->envelope();
    *reply.mutable_log_entries() = *entries;
    this->sendTo(message.from(), reply);
}

void Node::onFetchSnapshot(const wire::PeerMessage &message)
{
    wire::PeerMessage reply = this->envelope();
    *reply.mutable_snapshot_offer()->mutable_snapshot() =
        this->state.read([](const ClusterState &table) { return table.snapshot(); });
    if (reply.snapshot_offer().snapshot().next_offset() > firstOffset.value()) {
        this->sendTo(message.from(), reply);
    }
}

void Node::onWorkerReply(const SentOrder &order, const Result<wire::WorkerReply> &answer,
                         Instant now)
{
    switch (order.order.order_case()) {
    case wire::WorkerOrder::kAcquire:
    case wire::WorkerOrder::kRelease:
    case wire::WorkerOrder::kRenew:
        this->leaseManager.onReply(order, answer, now);
        break;
    case wire::WorkerOrder::kExecute:
    case wire::WorkerOrder::kVoidCall:
        this->router.onReply(order, answer, now);
        break;
    default:
        this->scheduler.onReply(order, answer, now);
        break;
    }
}

void Node::onAppended(Stream stream, const Result<Offset> &answer, Instant now)
{
    if (stream == Stream::State) {
        this->writer.onAppended(answer, now);
    }
}

void Node::onRead(Stream stream, const Result<wire::ReadReply> &answer, Instant now)
{
    deliver(this->follower.onRead(stream, answer, now), now);
    this->follower.onTick(now);
    this->writer.onTick(now);
}

void Node::onList(Instant askedAt, const Result<wire::InstanceList> &list, Instant now)
{
    if (!list) {
        return;
    }
    this->members.write([&](Membership &table) { table.applyList(*list); });
    this->workers.write([&](WorkerTable &table) { table.applyList(*list, askedAt, now); });
}

void Node::onRequest(const wire::CallerRequest &request, CallerToken caller, Instant now)
{
    this->router.submit(request, caller, now);
    this->writer.onTick(now);
}

void Node::onCommand(const wire::CommandRequest &command, const std::string &author,
                     CallerToken caller, Instant now)
{
    this->commandService.submit(command, author, caller, now);
    this->writer.onTick(now);
}

void Node::startDraining(Instant now)
{
    this->draining = true;
    this->members.write([](Membership &table) { table.setDraining(true); });
    this->router.startDraining();
    this->scheduler.startDraining();
    this->leaseManager.startDraining();
    std::lock_guard lock(this->tickMutex);
    this->sendHeartbeats(now);
}

bool Node::drained() const
{
    return this->draining && this->router.inFlight() == 0 && this->router.openCalls() == 0 &&
           this->commandService.waiting() == 0 && this->leaseManager.ownedCount() == 0 &&
           this->writer.backlog() == 0;
}

bool Node::ready() const
{
    return !this->draining && this->follower.caughtUpOnce();
}

NodeStatistics Node::statistics(Instant now) const
{
    NodeStatistics statistics;
    statistics.requests = this->router.totals();
    std::tie(statistics.appends, statistics.recordsAppended) = this->writer.totals();
    this->state.read([&](const ClusterState &table) {
        statistics.nextOffset = table.nextOffset().value();
        statistics.pendingTasks = table.tasks().pendingCount();
    });
    statistics.ownedWorkers = this->leaseManager.ownedCount();
    statistics.inFlight = this->router.inFlight();
    statistics.openCalls = this->router.openCalls();
    statistics.logBacklog = this->writer.backlog();
    if (const std::optional<Instant> contact = this->follower.lastContact()) {
        statistics.contactAgeMs = (now - *contact).count();
    }
    return statistics;
}

} // namespace godwitfall
