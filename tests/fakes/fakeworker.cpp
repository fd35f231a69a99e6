#include "fakeworker.h"

#include <algorithm>

#include <xxhash.h>

namespace godwitfall::fakes {

namespace {

constexpr std::uint64_t grantsPerIncarnation = 1 << 20;

} // namespace

FakeWorker::FakeWorker(std::string name, Resources capacity, std::uint64_t incarnation)
    : workerName(std::move(name))
    , size(capacity)
    , incarnation(incarnation)
{}

const std::vector<FakeWorker::Rule> &FakeWorker::rules()
{
    static const std::vector<Rule> table = {
        {wire::WorkerOrder::kAcquire, &FakeWorker::acquire, false},
        {wire::WorkerOrder::kRelease, &FakeWorker::release, true},
        {wire::WorkerOrder::kRenew, &FakeWorker::renew, true},
        {wire::WorkerOrder::kExecute, &FakeWorker::execute, true},
        {wire::WorkerOrder::kVoidCall, &FakeWorker::voidCall, false},
        {wire::WorkerOrder::kStart, &FakeWorker::start, true},
        {wire::WorkerOrder::kStop, &FakeWorker::stop, true},
        {wire::WorkerOrder::kThrottle, &FakeWorker::throttle, true},
        {wire::WorkerOrder::kAck, &FakeWorker::acknowledge, true},
    };
    return table;
}

std::optional<wire::WorkerReply> FakeWorker::handle(const wire::WorkerOrder &order, Instant now)
{
    this->advanceClock(static_cast<std::uint64_t>(now.sinceStart()));
    const auto rule = std::find_if(rules().begin(), rules().end(), [&](const Rule &candidate) {
        return candidate.kind == order.order_case();
    });
    if (rule == rules().end()) {
        return this->reply(wire::BAD_ORDER, "no such order");
    }
    if (rule->needsEpoch && this->faults.checksEpoch && order.epoch() != this->epoch) {
        return this->reply(wire::STALE_EPOCH, "the epoch is " + std::to_string(this->epoch));
    }
    return (this->*rule->handler)(order);
}

wire::WorkerReply FakeWorker::reply(wire::OrderStatus status, const std::string &detail)
{
    wire::WorkerReply message;
    message.set_worker(this->workerName);
    message.set_incarnation(this->incarnation);
    message.set_worker_time(this->clock);
    message.set_sequence(++this->sequence);
    message.set_status(status);
    message.set_detail(detail);
    message.set_epoch(this->epoch);
    message.set_lease_owner(this->owner);
    return message;
}

void FakeWorker::fillInventory(wire::Inventory &inventory) const
{
    for (const auto &[key, attempt] : this->attempts) {
        wire::TaskOnWorker &task = *inventory.add_tasks();
        task.mutable_key()->set_task(key.first);
        task.mutable_key()->set_attempt(key.second);
        *task.mutable_size() = attempt.spec.size();
        task.set_ended(attempt.ended);
        task.set_end(attempt.end);
        const bool resumable = attempt.end == wire::EVICTED || attempt.end == wire::LAPSED;
        if (attempt.ended && resumable) {
            task.set_checkpoint(std::to_string(attempt.progressMs));
        }
        task.set_throttle_percent(attempt.throttle);
    }
    for (const auto &[call, state] : this->running) {
        inventory.add_calls(call);
    }
    inventory.set_leaving(this->faults.leaving);
    *inventory.mutable_capacity() = this->size.toWire();
    const Resources total = this->used();
    inventory.mutable_usage()->set_measured_at(this->clock);
    inventory.mutable_usage()->set_milli_cores(static_cast<std::uint32_t>(total.milliCores));
    inventory.mutable_usage()->set_memory_mb(static_cast<std::uint32_t>(total.memoryMb));
}

Resources FakeWorker::used() const
{
    Resources total;
    for (const auto &[key, attempt] : this->attempts) {
        if (!attempt.ended) {
            total += Resources::fromWire(attempt.spec.size());
        }
    }
    total.slots += static_cast<std::int64_t>(this->running.size());
    return total;
}

std::vector<wire::TaskKey> FakeWorker::runningTasks() const
{
    std::vector<wire::TaskKey> keys;
    for (const auto &[key, attempt] : this->attempts) {
        if (!attempt.ended) {
            wire::TaskKey &added = keys.emplace_back();
            added.set_task(key.first);
            added.set_attempt(key.second);
        }
    }
    return keys;
}

std::optional<wire::WorkerReply> FakeWorker::acquire(const wire::WorkerOrder &order)
{
    if (this->owner != order.owner() && this->clock < this->ownerUntil) {
        return this->reply(wire::LEASE_HELD, "held by " + this->owner);
    }
    this->epoch = this->incarnation * grantsPerIncarnation + ++this->grants;
    this->owner = order.owner();
    this->ownerUntil = this->clock + order.acquire().ttl_ms();
    wire::WorkerReply message = this->reply(wire::ACCEPTED);
    this->fillInventory(*message.mutable_inventory());
    return message;
}

std::optional<wire::WorkerReply> FakeWorker::release(const wire::WorkerOrder &)
{
    this->ownerUntil = 0;
    this->owner.clear();
    this->epoch = this->incarnation * grantsPerIncarnation + ++this->grants;
    return this->reply(wire::ACCEPTED);
}

std::optional<wire::WorkerReply> FakeWorker::renew(const wire::WorkerOrder &order)
{
    this->ownerUntil = this->clock + order.renew().ttl_ms();
    for (const wire::TaskKey &key : order.renew().tasks()) {
        const auto found = this->attempts.find({key.task(), key.attempt()});
        if (found != this->attempts.end()) {
            found->second.leaseUntil =
                std::max(found->second.leaseUntil, order.renew().tasks_until());
        }
    }
    wire::WorkerReply message = this->reply(wire::ACCEPTED);
    this->fillInventory(*message.mutable_inventory());
    return message;
}

std::optional<wire::WorkerReply> FakeWorker::execute(const wire::WorkerOrder &order)
{
    const wire::Execute &execute = order.execute();
    if (this->faults.leaving) {
        return this->reply(wire::LEAVING, "this worker is leaving");
    }
    if (this->faults.remembersCalls &&
        (this->voided.contains(execute.call()) || this->running.contains(execute.call()) ||
         this->finished.contains(execute.call()))) {
        return this->reply(wire::VOIDED, "this call was voided or came before");
    }
    if (this->clock >= execute.expires_at()) {
        this->voided.insert(execute.call());
        return this->reply(wire::EXPIRED, "the caller no longer waits");
    }
    ++this->begun[execute.request()];
    this->running[execute.call()] = {
        execute, this->clock + static_cast<std::uint64_t>(this->callTime.count())};
    return std::nullopt;
}

wire::WorkerReply FakeWorker::resultReply(const std::string &call)
{
    wire::WorkerReply message = this->reply(wire::ACCEPTED);
    *message.mutable_result() = this->finished.at(call);
    return message;
}

std::optional<wire::WorkerReply> FakeWorker::voidCall(const wire::WorkerOrder &order)
{
    const std::string &call = order.void_call().call();
    if (this->finished.contains(call)) {
        return this->resultReply(call);
    }
    wire::WorkerReply message = this->reply(wire::ACCEPTED);
    const bool runs = this->running.contains(call);
    message.mutable_result()->set_call(call);
    message.mutable_result()->set_state(runs ? wire::RUNNING : wire::NEVER_RAN);
    if (!runs) {
        this->voided.insert(call);
    }
    return message;
}

std::optional<wire::WorkerReply> FakeWorker::start(const wire::WorkerOrder &order)
{
    const wire::StartTask &start = order.start();
    const Key key(start.key().task(), start.key().attempt());
    const auto found = this->attempts.find(key);
    if (found != this->attempts.end()) {
        return this->reply(found->second.ended ? wire::ALREADY_ENDED : wire::ACCEPTED);
    }
    if (this->faults.leaving) {
        return this->reply(wire::LEAVING, "this worker is leaving");
    }
    if (this->faults.checksLeases && this->clock >= start.lease_until()) {
        return this->reply(wire::EXPIRED, "the task lease is over");
    }
    Attempt &attempt = this->attempts[key];
    attempt.spec = start.spec();
    attempt.leaseUntil = start.lease_until();
    attempt.lastProgressAt = this->clock;
    attempt.progressMs = start.checkpoint().empty() ? 0 : std::stoull(start.checkpoint());
    if (this->faults.failsEverything) {
        this->endAttempt(attempt, wire::FAILED);
    }
    return this->reply(wire::ACCEPTED);
}

std::optional<wire::WorkerReply> FakeWorker::stop(const wire::WorkerOrder &order)
{
    const Key key(order.stop().key().task(), order.stop().key().attempt());
    const auto [found, added] = this->attempts.try_emplace(key);
    if (added) {
        this->endAttempt(found->second, wire::NEVER_STARTED);
    } else if (!found->second.ended) {
        this->endAttempt(found->second,
                         order.stop().checkpoint() ? wire::EVICTED : wire::CANCELLED);
    }
    return this->reply(wire::ACCEPTED);
}

std::optional<wire::WorkerReply> FakeWorker::throttle(const wire::WorkerOrder &order)
{
    const auto found =
        this->attempts.find({order.throttle().key().task(), order.throttle().key().attempt()});
    if (found != this->attempts.end()) {
        found->second.throttle = order.throttle().percent();
    }
    return this->reply(wire::ACCEPTED);
}

std::optional<wire::WorkerReply> FakeWorker::acknowledge(const wire::WorkerOrder &order)
{
    for (const wire::TaskKey &key : order.ack().keys()) {
        const auto found = this->attempts.find({key.task(), key.attempt()});
        if (found != this->attempts.end() && found->second.ended) {
            this->attempts.erase(found);
        }
    }
    return this->reply(wire::ACCEPTED);
}

void FakeWorker::endAttempt(Attempt &attempt, wire::AttemptEnd end)
{
    attempt.ended = true;
    attempt.end = end;
}

void FakeWorker::advanceClock(std::uint64_t time)
{
    const auto scaled = static_cast<std::int64_t>(time) * (1000 + this->driftPerMille) / 1000;
    this->clock = std::max(this->clock, static_cast<std::uint64_t>(scaled));
    for (auto &[key, attempt] : this->attempts) {
        if (attempt.ended) {
            continue;
        }
        const bool lapsed = this->faults.checksLeases && this->clock >= attempt.leaseUntil;
        const std::uint64_t until = lapsed ? attempt.leaseUntil : this->clock;
        if (until > attempt.lastProgressAt) {
            const std::uint64_t done = (until - attempt.lastProgressAt) * attempt.throttle / 100;
            attempt.progressMs += done;
            this->workByTask[key.first] += done;
            attempt.lastProgressAt = until;
        }
        const bool endless = attempt.spec.kind() == wire::WATCH;
        if (!endless && attempt.progressMs >= attempt.spec.run_ms()) {
            this->endAttempt(attempt, wire::DONE);
        } else if (lapsed) {
            this->endAttempt(attempt, wire::LAPSED);
        }
    }
}

std::vector<FinishedCall> FakeWorker::advance(Instant now)
{
    this->advanceClock(static_cast<std::uint64_t>(now.sinceStart()));
    std::vector<FinishedCall> ended;
    for (auto call = this->running.begin(); call != this->running.end();) {
        if (call->second.endsAt > this->clock) {
            ++call;
            continue;
        }
        wire::CallResult &result = this->finished[call->first];
        result.set_call(call->first);
        result.set_request(call->second.execute.request());
        result.set_state(wire::COMPLETE);
        result.set_body("answer to " + call->second.execute.request() + ": " +
                        call->second.execute.body());
        result.set_body_length(result.body().size());
        result.set_body_hash(XXH64(result.body().data(), result.body().size(), 0));
        ended.push_back({call->first, this->resultReply(call->first)});
        call = this->running.erase(call);
    }
    return ended;
}

void FakeWorker::restart(std::uint64_t newIncarnation)
{
    this->incarnation = newIncarnation;
    this->sequence = 0;
    this->grants = 0;
    this->epoch = newIncarnation * grantsPerIncarnation;
    this->owner.clear();
    this->ownerUntil = 0;
    this->attempts.clear();
    this->running.clear();
    this->finished.clear();
    this->voided.clear();
}

} // namespace godwitfall::fakes
