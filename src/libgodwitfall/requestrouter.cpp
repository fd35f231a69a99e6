#include "requestrouter.h"

#include <algorithm>
#include <tuple>
#include <vector>

#include <xxhash.h>

#include "invariant.h"

namespace godwitfall {

namespace {

constexpr std::uint32_t maxTries = 4;
constexpr double maxRetryTokens = 50.0;
constexpr std::int64_t defaultRetryPercent = 20;
/** Weight of a new sample in the moving average of the service time. */
constexpr double serviceTimeWeight = 0.1;
constexpr Duration voidInterval(100);
constexpr Duration voidRetryDelay(250);
constexpr Duration resolveTimeout(60000);
constexpr Duration shortestRetryAfter(100);
constexpr Duration longestRetryAfter(30000);
constexpr Duration replyMargin(200);
constexpr std::size_t maxNameBytes = 256;
/** Range of forward tokens per incarnation, so that tokens stay unique across restarts. */
constexpr std::uint64_t forwardsPerIncarnation = 1 << 20;
constexpr std::size_t receivedForwardsLimit = 16384;

/** Returns whether the result belongs to the call and its body is complete. */
bool isIntact(const wire::CallResult &result, const CallId &call, const std::string &request)
{
    return result.state() == wire::COMPLETE && result.call() == call.value() &&
           result.request() == request && result.body_length() == result.body().size() &&
           result.body_hash() == XXH64(result.body().data(), result.body().size(), 0);
}

} // namespace

RequestRouter::RequestRouter(Guarded<ClusterState> &state, Guarded<Membership> &members,
                             Guarded<WorkerTable> &workers, LogWriter &writer,
                             const LogFollower &follower, Outbox &outbox, Random &random,
                             const RequestLimits &limits)
    : state(state)
    , members(members)
    , workers(workers)
    , writer(writer)
    , follower(follower)
    , outbox(outbox)
    , random(random)
    , limits(limits)
    , lastForward(members.read([](const Membership &table) {
        return table.ownIncarnation().value() * forwardsPerIncarnation;
    }))
{}

void RequestRouter::startDraining()
{
    std::lock_guard lock(this->mutex);
    this->draining = true;
}

std::size_t RequestRouter::inFlight() const
{
    std::lock_guard lock(this->mutex);
    return this->pending.size();
}

std::size_t RequestRouter::openCalls() const
{
    std::lock_guard lock(this->mutex);
    return this->calls.size();
}

RequestTotals RequestRouter::totals() const
{
    std::lock_guard lock(this->mutex);
    return this->counts;
}

void RequestRouter::submit(const wire::CallerRequest &request, CallerToken caller, Instant now)
{
    std::lock_guard lock(this->mutex);
    Pending entry;
    entry.origin.caller = caller;
    entry.request = request;
    this->admit(std::move(entry), now);
}

void RequestRouter::submitForwarded(const wire::Forward &forwarded, const InstanceId &from,
                                    Instant now)
{
    std::lock_guard lock(this->mutex);
    const std::pair key(from, forwarded.token());
    if (!this->receivedForwards.insert(key).second) {
        return;
    }
    this->receivedForwardsInOrder.push_back(key);
    if (this->receivedForwardsInOrder.size() > receivedForwardsLimit) {
        this->receivedForwards.erase(this->receivedForwardsInOrder.front());
        this->receivedForwardsInOrder.pop_front();
    }
    Pending entry;
    entry.origin = {CallerToken(forwarded.token()), from};
    entry.request = forwarded.request();
    this->admit(std::move(entry), now);
}

std::optional<std::string> RequestRouter::objectionTo(const wire::CallerRequest &request) const
{
    if (request.request().empty() || request.service().empty()) {
        return "a request needs an id and a service";
    }
    if (request.request().size() > maxNameBytes || request.service().size() > maxNameBytes ||
        request.caller().size() > maxNameBytes) {
        return "ids and names have at most " + std::to_string(maxNameBytes) + " bytes";
    }
    return std::nullopt;
}

std::optional<std::string> RequestRouter::overloadReason(const Pending &entry, Instant now) const
{
    const std::string &caller = entry.request.caller();
    const auto [maxWaiting, share] = this->state.read([&](const ClusterState &table) {
        const std::int64_t waiting =
            table.config().number("service." + entry.request.service() + ".max_waiting",
                                  static_cast<std::int64_t>(this->limits.queueLimit));
        return std::pair(waiting, table.config().number("caller." + caller + ".share_percent", 50));
    });
    const auto found = this->queues.find(entry.request.service());
    if (found == this->queues.end()) {
        return std::nullopt;
    }
    const auto waiting = static_cast<std::int64_t>(found->second.size());
    const auto own = static_cast<std::int64_t>(found->second.sizeOf(caller));
    if (waiting >= maxWaiting) {
        return "the queue is full";
    }
    if (own > 0 && own * 100 >= maxWaiting * share) {
        return "this caller's share of the queue is full";
    }
    if (now + this->expectedWait(now) > entry.deadline) {
        return "the expected wait is longer than the request's budget";
    }
    return std::nullopt;
}

void RequestRouter::admit(Pending entry, Instant now)
{
    ++this->counts.taken;
    const std::int64_t defaultMs = this->state.read([&](const ClusterState &table) {
        return table.config().number("service." + entry.request.service() + ".budget_ms",
                                     this->limits.defaultBudget.count());
    });
    const auto requestedMs = static_cast<std::int64_t>(entry.request.budget_ms());
    entry.arrivedAt = now;
    entry.deadline = now + Duration(requestedMs > 0 ? requestedMs : defaultMs);
    const Token token = ++this->lastToken;
    Pending &kept = this->pending.emplace(token, std::move(entry)).first->second;
    this->byDeadline.insert({kept.deadline, token});
    this->retryTokens =
        std::min(maxRetryTokens,
                 this->retryTokens +
                     static_cast<double>(this->state.read([](const ClusterState &table) {
                         return table.config().number("limit.retry_percent", defaultRetryPercent);
                     })) /
                         100.0);
    if (const auto objection = this->objectionTo(kept.request)) {
        this->finish(token, wire::NOT_RUN, {}, *objection, now);
    } else if (this->draining) {
        this->finish(token, wire::NOT_RUN, {}, "this instance is stopping", now);
    } else if (const auto full = this->overloadReason(kept, now)) {
        this->finish(token, wire::NOT_RUN, {}, *full, now);
    } else if (kept.request.repeatable()) {
        this->enqueue(token, now);
    } else if (!kept.origin.peer.empty() || this->workers.read([&](const WorkerTable &table) {
                   return table.freeSlots(now) > 0;
               }) ||
               !this->forward(token, now)) {
        this->openIntent(token, now);
    }
}

void RequestRouter::openIntent(Token token, Instant now)
{
    Pending &entry = this->pending.at(token);
    const std::optional<Instant> contact = this->follower.lastContact();
    if (!contact || now - *contact > this->limits.maxLogContactAge) {
        this->finish(token, wire::NOT_RUN, {},
                     "the log can't be reached, and this request must not run twice", now);
        return;
    }
    entry.phase = Phase::AwaitsIntent;
    const std::string request = entry.request.request();
    wire::Record record;
    record.set_author(this->writer.name());
    record.mutable_open_intent()->set_request(request);
    record.mutable_open_intent()->set_instance(this->writer.name());
    entry.intentTicket = this->writer.submit(
        std::move(record),
        [this, token, request](const std::optional<Decision> &decision, Instant decidedAt) {
            std::lock_guard lock(this->mutex);
            this->onIntentDecided(token, request, decision, decidedAt);
        });
}

void RequestRouter::onIntentDecided(Token token, const std::string &request,
                                    const std::optional<Decision> &decision, Instant now)
{
    Decision known = decision.value_or(Decision());
    if (!decision) {
        this->state.read([&](const ClusterState &table) {
            const wire::IntentRecord *intent = table.intents().find(request);
            const bool own = intent != nullptr && intent->state() == wire::OPEN &&
                             intent->instance() == this->writer.name();
            known = own ? Decision::accept() : Decision::refuse("was sent before");
            known.offset = Offset(intent != nullptr ? intent->offset() : 0);
        });
    }
    const auto found = this->pending.find(token);
    if (found == this->pending.end()) {
        if (known.accepted) {
            this->closeIntent(request, known.offset, wire::RELEASED);
        }
        return;
    }
    if (!known.accepted) {
        const bool answered = this->state.read([&](const ClusterState &table) {
            const wire::IntentRecord *intent = table.intents().find(request);
            return intent != nullptr && intent->state() == wire::ANSWERED;
        });
        this->finish(token, answered ? wire::ALREADY_ANSWERED : wire::UNKNOWN, {}, known.reason,
                     now);
        return;
    }
    found->second.intent = known.offset;
    this->enqueue(token, now);
}

void RequestRouter::closeIntent(const std::string &request, Offset intent, wire::IntentState state)
{
    wire::Record record;
    record.set_author(this->writer.name());
    record.mutable_close_intent()->set_request(request);
    record.mutable_close_intent()->set_intent_offset(intent.value());
    record.mutable_close_intent()->set_state(state);
    this->writer.submit(std::move(record), [](const std::optional<Decision> &, Instant) {});
}

void RequestRouter::enqueue(Token token, Instant now)
{
    Pending &entry = this->pending.at(token);
    entry.phase = Phase::Queued;
    this->queues[entry.request.service()].push(entry.request.caller(), token);
    ++this->queued;
    this->dispatchQueued(now);
}

void RequestRouter::dispatchQueued(Instant now)
{
    for (auto &[service, queue] : this->queues) {
        std::vector<Token> unsent;
        while (const std::optional<Token> token = queue.pop()) {
            --this->queued;
            // Once one finds no slot here, none does, but others may be passed on.
            const bool dispatched = unsent.empty() && this->dispatch(*token, now);
            if (dispatched || this->forward(*token, now)) {
                continue;
            }
            unsent.push_back(*token);
            if (!this->anyPeerHasSlots(now)) {
                break;
            }
        }
        for (auto token = unsent.rbegin(); token != unsent.rend(); ++token) {
            queue.pushFront(this->pending.at(*token).request.caller(), *token);
            ++this->queued;
        }
    }
    std::erase_if(this->queues, [](const auto &entry) { return entry.second.size() == 0; });
}

bool RequestRouter::dispatch(Token token, Instant now)
{
    Pending &entry = this->pending.at(token);
    const CallId id(this->writer.name() + "/" + std::to_string(this->lastCall + 1));
    const std::optional<Reservation> reservation = this->workers.write(
        [&](WorkerTable &table) { return table.reserveCall(id, entry.request.service(), now); });
    if (!reservation) {
        return false;
    }
    ++this->lastCall;
    ++entry.tries;
    entry.phase = Phase::Dispatched;
    entry.call = id;
    checkInvariant(entry.request.repeatable() || entry.intent.value() != 0,
                   "at-most-once-has-intent", [&] { return entry.request.request(); });
    Call &call = this->calls[id];
    call.pending = token;
    call.request = entry.request.request();
    call.reservation = *reservation;
    call.intent = entry.intent;
    call.sentAt = now;
    wire::WorkerOrder order;
    order.set_worker(reservation->worker.value());
    order.set_owner(this->writer.name());
    order.set_epoch(reservation->epoch.value());
    wire::Execute &execute = *order.mutable_execute();
    execute.set_call(id.value());
    execute.set_request(entry.request.request());
    execute.set_service(entry.request.service());
    execute.set_body(entry.request.body());
    call.expiresAt =
        reservation->workerTime + static_cast<std::uint64_t>((entry.deadline - now).count());
    execute.set_expires_at(call.expiresAt);
    this->outbox.sendWorker({std::move(order), reservation->address, now, reservation->leaseUntil,
                             entry.deadline - now + replyMargin});
    return true;
}

bool RequestRouter::anyPeerHasSlots(Instant now) const
{
    return !this->draining && this->members.read([&](const Membership &table) {
        return table.peerWithSlots(now).has_value();
    });
}

bool RequestRouter::forward(Token token, Instant now)
{
    Pending &entry = this->pending.at(token);
    const bool hasIntent = entry.intent.value() != 0;
    if (!entry.origin.peer.empty() || hasIntent || this->draining) {
        return false;
    }
    const auto [peer, address, incarnation] = this->members.write([&](Membership &table) {
        const std::optional<InstanceId> chosen = table.peerWithSlots(now);
        if (!chosen || entry.refusedBy.contains(*chosen)) {
            return std::tuple(InstanceId(), std::string(), Incarnation());
        }
        table.takeSlot(*chosen);
        return std::tuple(*chosen, table.address(*chosen), table.incarnationOf(*chosen));
    });
    if (peer.empty()) {
        return false;
    }
    entry.phase = Phase::Forwarded;
    entry.forwardedTo = peer;
    entry.forwardedIncarnation = incarnation;
    entry.forwardToken = ++this->lastForward;
    ++entry.tries;
    this->forwards[entry.forwardToken] = token;
    ++this->counts.forwarded;
    wire::PeerMessage message =
        this->members.read([](const Membership &table) { return table.envelope(); });
    message.mutable_forward()->set_token(entry.forwardToken);
    *message.mutable_forward()->mutable_request() = entry.request;
    message.mutable_forward()->mutable_request()->set_budget_ms(
        static_cast<std::uint64_t>(std::max<std::int64_t>((entry.deadline - now).count(), 1)));
    this->outbox.sendPeer(address, message);
    return true;
}

void RequestRouter::onForwardAnswer(const wire::ForwardAnswer &message, const InstanceId &from,
                                    Instant now)
{
    std::lock_guard lock(this->mutex);
    const auto forwarded = this->forwards.find(message.token());
    if (forwarded == this->forwards.end()) {
        return;
    }
    const Token token = forwarded->second;
    Pending &entry = this->pending.at(token);
    const wire::CallerAnswer &answer = message.answer();
    if (entry.forwardedTo != from || entry.request.request() != answer.request()) {
        return;
    }
    this->forwards.erase(forwarded);
    if (answer.outcome() == wire::NOT_RUN) {
        entry.refusedBy.insert(from);
        this->retryOrRefuse(token, answer.reason(), now);
        return;
    }
    this->finish(token, answer.outcome(), answer.body(), answer.reason(), now);
}

void RequestRouter::retryOrRefuse(Token token, const std::string &reason, Instant now)
{
    Pending &entry = this->pending.at(token);
    entry.call = CallId();
    entry.forwardedTo = InstanceId();
    entry.phase = Phase::AwaitsIntent;
    if (now >= entry.deadline || entry.tries >= maxTries) {
        this->finish(token, wire::NOT_RUN, {}, reason, now);
        return;
    }
    ++this->counts.retries;
    if (entry.request.repeatable() || entry.intent.value() != 0) {
        this->enqueue(token, now);
    } else {
        this->openIntent(token, now);
    }
}

void RequestRouter::onReply(const SentOrder &order, const Result<wire::WorkerReply> &answer,
                            Instant now)
{
    std::lock_guard lock(this->mutex);
    if (order.order.has_execute()) {
        this->onExecuteReply(CallId(order.order.execute().call()), answer, now);
    } else {
        this->onVoidReply(CallId(order.order.void_call().call()), answer, now);
    }
    this->dispatchQueued(now);
}

void RequestRouter::onExecuteReply(const CallId &id, const Result<wire::WorkerReply> &answer,
                                   Instant now)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end() || found->second.resolving) {
        return;
    }
    if (!answer) {
        if (answer.error().fate == Fate::NotDone) {
            this->onCallNeverRan(id, answer.error().text(), now);
        } else {
            this->resolve(id, now);
        }
        return;
    }
    if (answer->status() == wire::ACCEPTED) {
        if (!this->completeCall(id, *answer, now)) {
            ++this->counts.corruptReplies;
            this->resolve(id, now);
        }
        return;
    }
    const Reservation reservation = found->second.reservation;
    this->workers.write([&](WorkerTable &table) {
        Worker *worker = table.find(reservation.worker);
        if (worker == nullptr || worker->epoch != reservation.epoch) {
            return;
        }
        if (answer->status() == wire::STALE_EPOCH) {
            WorkerTable::loseOwnership(*worker);
        } else if (answer->status() == wire::LEAVING) {
            worker->reportedLeaving = true;
        }
    });
    this->onCallNeverRan(id, wire::OrderStatus_Name(answer->status()) + ": " + answer->detail(),
                         now);
}

bool RequestRouter::completeCall(const CallId &id, const wire::WorkerReply &reply, Instant now)
{
    const Call call = this->calls.at(id);
    if (!isIntact(reply.result(), id, call.request)) {
        return false;
    }
    const Duration took = now - call.sentAt;
    this->meanServiceMs +=
        serviceTimeWeight * (static_cast<double>(took.count()) - this->meanServiceMs);
    this->workers.write(
        [&](WorkerTable &table) { table.observeLatency(call.reservation.worker, took, now); });
    this->removeCall(id);
    if (call.pending != 0) {
        this->finish(call.pending, wire::ANSWERED_WHOLE, reply.result().body(), {}, now);
    } else if (call.intent.value() != 0) {
        this->closeIntent(call.request, call.intent, wire::ANSWERED);
    }
    return true;
}

void RequestRouter::removeCall(const CallId &id)
{
    const auto found = this->calls.find(id);
    this->workers.write([&](WorkerTable &table) {
        table.releaseCall(found->second.reservation.worker, found->second.reservation.epoch, id);
    });
    this->calls.erase(found);
}

void RequestRouter::onCallNeverRan(const CallId &id, const std::string &reason, Instant now)
{
    const Call call = this->calls.at(id);
    this->removeCall(id);
    if (call.pending != 0) {
        this->retryOrRefuse(call.pending, reason, now);
    } else if (call.intent.value() != 0) {
        this->closeIntent(call.request, call.intent, wire::RELEASED);
    }
}

void RequestRouter::resolve(const CallId &id, Instant now)
{
    Call &call = this->calls.at(id);
    call.resolving = true;
    call.voidInFlight = false;
    call.nextVoidAt = now;
    call.abandonAt = now + resolveTimeout;
    const Token token = call.pending;
    if (token == 0) {
        return;
    }
    Pending &entry = this->pending.at(token);
    if (!entry.request.repeatable() || this->retryTokens < 1.0 || entry.tries >= maxTries) {
        return;
    }
    this->retryTokens -= 1.0;
    call.pending = 0;
    entry.mayHaveRun = true;
    this->retryOrRefuse(token, "no answer", now);
}

void RequestRouter::sendVoidOrders(Instant now)
{
    std::vector<CallId> abandoned;
    for (auto &[id, call] : this->calls) {
        if (!call.resolving || call.voidInFlight || now < call.nextVoidAt) {
            continue;
        }
        if (now >= call.abandonAt) {
            abandoned.push_back(id);
            continue;
        }
        call.voidInFlight = true;
        wire::WorkerOrder order;
        order.set_worker(call.reservation.worker.value());
        order.set_owner(this->writer.name());
        order.set_epoch(call.reservation.epoch.value());
        order.mutable_void_call()->set_call(id.value());
        this->outbox.sendWorker({std::move(order), call.reservation.address, now,
                                 now + resolveTimeout, voidRetryDelay * 4});
    }
    for (const CallId &id : abandoned) {
        const Call call = this->calls.at(id);
        const Token token = call.pending;
        // The slot stays reserved: only a report of the worker or a new grant releases it.
        this->workers.write([&](WorkerTable &table) {
            table.adoptCall(call.reservation.worker, call.reservation.epoch, id, call.expiresAt);
        });
        this->calls.erase(id);
        if (token != 0) {
            this->finish(token, wire::UNKNOWN, {}, "the worker can't be asked", now);
        }
    }
}

void RequestRouter::onVoidReply(const CallId &id, const Result<wire::WorkerReply> &answer,
                                Instant now)
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end() || !found->second.resolving) {
        return;
    }
    Call &call = found->second;
    call.voidInFlight = false;
    if (!answer) {
        call.nextVoidAt = now + voidRetryDelay;
        return;
    }
    if (answer->incarnation() != call.reservation.incarnation.value()) {
        // The worker lost its record of the call in a restart, so the fate stays unknown.
        const Token token = call.pending;
        this->removeCall(id);
        if (token != 0) {
            this->finish(token, wire::UNKNOWN, {}, "the worker restarted", now);
        }
        return;
    }
    if (answer->result().state() == wire::NEVER_RAN) {
        this->onCallNeverRan(id, "the worker never ran it", now);
        return;
    }
    if (answer->result().state() == wire::RUNNING || !this->completeCall(id, *answer, now)) {
        call.nextVoidAt = now + voidInterval;
    }
}

void RequestRouter::onTick(Instant now)
{
    std::lock_guard lock(this->mutex);
    this->finishOverdue(now);
    this->checkForwards(now);
    this->sendVoidOrders(now);
    this->dispatchQueued(now);
}

void RequestRouter::finishOverdue(Instant now)
{
    while (!this->byDeadline.empty() && this->byDeadline.begin()->first <= now) {
        const Token token = this->byDeadline.begin()->second;
        const Phase phase = this->pending.at(token).phase;
        const bool sent = phase == Phase::Dispatched || phase == Phase::Forwarded;
        this->finish(token, sent ? wire::UNKNOWN : wire::NOT_RUN, {},
                     sent ? "no answer within the budget" : "no worker within the budget", now);
    }
}

void RequestRouter::checkForwards(Instant now)
{
    std::vector<Token> lost;
    this->members.read([&](const Membership &table) {
        for (const auto &[token, entry] : this->pending) {
            if (entry.phase == Phase::Forwarded &&
                (!table.alive(entry.forwardedTo, now) ||
                 table.incarnationOf(entry.forwardedTo) != entry.forwardedIncarnation)) {
                lost.push_back(token);
            }
        }
    });
    for (const Token token : lost) {
        Pending &entry = this->pending.at(token);
        this->forwards.erase(entry.forwardToken);
        if (entry.request.repeatable() && this->retryTokens >= 1.0) {
            this->retryTokens -= 1.0;
            entry.mayHaveRun = true;
            this->retryOrRefuse(token, "the instance it was passed to is gone", now);
        } else {
            this->finish(token, wire::UNKNOWN, {}, "the instance it was passed to is gone", now);
        }
    }
}

void RequestRouter::finish(Token token, wire::Outcome outcome, const std::string &body,
                           const std::string &reason, Instant now)
{
    const auto found = this->pending.find(token);
    Pending entry = std::move(found->second);
    this->pending.erase(found);
    if (outcome == wire::NOT_RUN && entry.mayHaveRun) {
        outcome = wire::UNKNOWN;
    }
    if (entry.phase == Phase::Forwarded) {
        this->forwards.erase(entry.forwardToken);
    }
    this->byDeadline.erase({entry.deadline, token});
    if (entry.phase == Phase::Queued) {
        const auto queue = this->queues.find(entry.request.service());
        if (queue != this->queues.end() && queue->second.remove(entry.request.caller(), token)) {
            --this->queued;
        }
    }
    if (entry.phase == Phase::AwaitsIntent) {
        this->writer.withdraw(entry.intentTicket);
    }
    const auto call = this->calls.find(entry.call);
    if (call != this->calls.end()) {
        checkInvariant(outcome != wire::NOT_RUN, "not-run-is-true",
                       [&] { return entry.request.request(); });
        call->second.pending = 0;
    }
    if (entry.intent.value() != 0 && outcome == wire::ANSWERED_WHOLE) {
        this->closeIntent(entry.request.request(), entry.intent, wire::ANSWERED);
    } else if (entry.intent.value() != 0 && outcome == wire::NOT_RUN) {
        this->closeIntent(entry.request.request(), entry.intent, wire::RELEASED);
    }
    wire::CallerAnswer result;
    result.set_request(entry.request.request());
    result.set_outcome(outcome);
    result.set_body(body);
    result.set_reason(reason);
    if (outcome == wire::NOT_RUN || outcome == wire::UNKNOWN) {
        result.set_retry_after_ms(static_cast<std::uint64_t>(this->retryAfter(now).count()));
    }
    this->counts.answered += outcome == wire::ANSWERED_WHOLE ? 1 : 0;
    this->counts.notRun += outcome == wire::NOT_RUN ? 1 : 0;
    this->counts.unknown += outcome == wire::UNKNOWN ? 1 : 0;
    this->answer(entry.origin, result);
}

void RequestRouter::answer(const Origin &origin, const wire::CallerAnswer &result)
{
    if (origin.peer.empty()) {
        this->outbox.answer(origin.caller, result);
        return;
    }
    wire::PeerMessage message;
    const std::string address = this->members.read([&](const Membership &table) {
        message = table.envelope();
        return table.address(origin.peer);
    });
    message.mutable_forward_answer()->set_token(origin.caller.value());
    *message.mutable_forward_answer()->mutable_answer() = result;
    if (!address.empty()) {
        this->outbox.sendPeer(address, message);
    }
}

Duration RequestRouter::expectedWait(Instant now) const
{
    const std::uint32_t slots =
        this->workers.read([&](const WorkerTable &table) { return table.ownedSlots(now); });
    const auto waiting = static_cast<double>(this->queued);
    const double wait = waiting * this->meanServiceMs / static_cast<double>(std::max(slots, 1U));
    return Duration(static_cast<std::int64_t>(wait));
}

Duration RequestRouter::retryAfter(Instant now)
{
    const Duration wait = std::max(this->expectedWait(now), shortestRetryAfter);
    const Duration spread = wait + this->random.below(wait + shortestRetryAfter);
    return std::min(spread, longestRetryAfter);
}

} // namespace godwitfall
