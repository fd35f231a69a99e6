#include "workertable.h"

#include <algorithm>

#include "invariant.h"

namespace godwitfall {

namespace {

/** Weight of a new latency below the average; a higher one replaces the average at once. */
constexpr double latencyWeight = 0.2;
/** Distinct tasks that must fail on a worker, with no success between them, to eject it. */
constexpr std::size_t failedTasksBeforeEjection = 3;
constexpr std::uint32_t maxEjectionDoublings = 16;

} // namespace

WorkerTable::WorkerTable(ZoneId zone, LeaseTimes times, std::unique_ptr<WorkerChooser> chooser)
    : zone(std::move(zone))
    , times(times)
    , chooser(std::move(chooser))
{}

void WorkerTable::awaitFreshList(Instant now, Duration timeout)
{
    this->listFreshFrom = now;
    this->listAwaitedUntil = now + timeout;
}

void WorkerTable::applyList(const wire::InstanceList &list, Instant askedAt, Instant now)
{
    if (askedAt >= this->listFreshFrom) {
        this->listAwaitedUntil = Instant();
    }
    this->listArrived = true;
    for (auto &[id, worker] : this->workers) {
        worker.listedLeaving = true;
    }
    this->distinctCapacities.clear();
    for (const wire::ListedWorker &entry : list.workers()) {
        const Resources capacity = Resources::fromWire(entry.capacity());
        if (std::find(this->distinctCapacities.begin(), this->distinctCapacities.end(), capacity) ==
            this->distinctCapacities.end()) {
            this->distinctCapacities.push_back(capacity);
        }
        if (entry.zone() != this->zone.value()) {
            continue;
        }
        const WorkerId id(entry.worker());
        const auto [position, added] = this->workers.try_emplace(id);
        Worker &worker = position->second;
        if (added) {
            worker.id = id;
            worker.lastSeenAt = now;
        }
        worker.address = entry.address();
        worker.rack = entry.rack();
        worker.listedLeaving = entry.leaving();
        worker.services = {entry.services().begin(), entry.services().end()};
        if (!worker.owned) {
            worker.capacity = capacity;
        }
    }
    std::erase_if(this->workers, [&](const auto &entry) {
        const Worker &worker = entry.second;
        return worker.listedLeaving && !worker.owned &&
               now - worker.lastSeenAt > this->times.fenceAfter * 10;
    });
}

void WorkerTable::addUnlisted(const WorkerId &id, Instant now)
{
    const auto [position, added] = this->workers.try_emplace(id);
    if (added) {
        position->second.id = id;
        position->second.lastSeenAt = now;
        position->second.listedLeaving = true;
    }
}

void WorkerTable::markLeaving(const std::vector<WorkerId> &leaving, Instant until)
{
    for (const WorkerId &id : leaving) {
        if (Worker *worker = this->find(id)) {
            worker->peerLeavingUntil = until;
        }
    }
}

std::vector<WorkerId> WorkerTable::listedLeaving() const
{
    std::vector<WorkerId> leaving;
    for (const auto &[id, worker] : this->workers) {
        if (worker.listedLeaving) {
            leaving.push_back(id);
        }
    }
    return leaving;
}

Worker *WorkerTable::find(const WorkerId &id)
{
    const auto found = this->workers.find(id);
    return found == this->workers.end() ? nullptr : &found->second;
}

const Worker *WorkerTable::find(const WorkerId &id) const
{
    const auto found = this->workers.find(id);
    return found == this->workers.end() ? nullptr : &found->second;
}

bool WorkerTable::leaseHolds(const Worker &worker, Instant now) const
{
    return worker.owned && now < worker.leaseUntil;
}

bool WorkerTable::takesWork(const Worker &worker, Instant now) const
{
    return this->leaseHolds(worker, now) && !worker.leaving(now) && !worker.transferring &&
           now - worker.lastReplyAt < this->responseTimeout() && now >= worker.ejectedUntil &&
           now >= this->listAwaitedUntil;
}

void WorkerTable::checkCapacity(const Worker &worker) const
{
    checkInvariant(worker.committed().fitsIn(worker.capacity), "worker-within-capacity", [&] {
        return worker.id.value() + ": " + worker.committed().text() + " of " +
               worker.capacity.text();
    });
}

Reservation WorkerTable::reservationOn(const Worker &worker, Instant now) const
{
    const std::int64_t elapsed = (now - worker.workerTimeAt).count();
    const std::int64_t atLeast = elapsed * (1000 - this->times.driftPerMille) / 1000;
    return {worker.id,          worker.epoch,
            worker.incarnation, worker.address,
            worker.leaseUntil,  worker.workerTime + static_cast<std::uint64_t>(atLeast)};
}

std::optional<Reservation> WorkerTable::reserveCall(const CallId &call, const std::string &service,
                                                    Instant now)
{
    std::vector<const Worker *> candidates;
    for (const auto &[id, worker] : this->workers) {
        if (worker.services.contains(service) && this->takesWork(worker, now) &&
            worker.free().slots > 0) {
            candidates.push_back(&worker);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    Worker &chosen = *this->find(this->chooser->choose(candidates, now)->id);
    chosen.calls[call] = CallOnWorker();
    this->checkCapacity(chosen);
    return this->reservationOn(chosen, now);
}

void WorkerTable::releaseCall(const WorkerId &id, Epoch epoch, const CallId &call)
{
    Worker *worker = this->find(id);
    if (worker != nullptr && worker->owned && worker->epoch == epoch) {
        worker->calls.erase(call);
    }
}

void WorkerTable::adoptCall(const WorkerId &id, Epoch epoch, const CallId &call,
                            std::uint64_t expiresAt)
{
    Worker *worker = this->find(id);
    if (worker == nullptr || !worker->owned || worker->epoch != epoch) {
        return;
    }
    const auto found = worker->calls.find(call);
    if (found != worker->calls.end()) {
        found->second = {true, expiresAt};
    }
}

void WorkerTable::observeLatency(const WorkerId &id, Duration latency, Instant now)
{
    Worker *worker = this->find(id);
    if (worker == nullptr) {
        return;
    }
    const auto sample = static_cast<double>(latency.count());
    if (sample > worker->latencyMs) {
        worker->latencyMs = sample;
    } else {
        worker->latencyMs += latencyWeight * (sample - worker->latencyMs);
    }
    worker->latencyAt = now;
}

std::optional<Reservation> WorkerTable::reserveAttempt(const wire::TaskRecord &task, Instant now)
{
    const Resources size = Resources::fromWire(task.spec().size());
    Worker *best = nullptr;
    std::int64_t bestScore = -1;
    for (auto &[id, worker] : this->workers) {
        const bool pinnedElsewhere =
            !task.pinned_worker().empty() && task.pinned_worker() != id.value();
        const auto &failed = task.failed_on();
        const bool failedHere = std::find(failed.begin(), failed.end(), id.value()) != failed.end();
        if (pinnedElsewhere || failedHere || worker.attempts.contains(task.spec().task()) ||
            !this->takesWork(worker, now)) {
            continue;
        }
        const Resources free = worker.free();
        if (size.fitsIn(free) && free.milliCores > bestScore) {
            best = &worker;
            bestScore = free.milliCores;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    AttemptOnWorker &attempt = best->attempts[task.spec().task()];
    attempt.attempt = task.attempt() + 1;
    attempt.size = size;
    this->checkCapacity(*best);
    return this->reservationOn(*best, now);
}

void WorkerTable::releaseAttempt(const WorkerId &id, Epoch epoch, const std::string &task,
                                 std::uint32_t attempt)
{
    Worker *worker = this->find(id);
    if (worker == nullptr || !worker->owned || worker->epoch != epoch) {
        return;
    }
    const auto found = worker->attempts.find(task);
    if (found != worker->attempts.end() && found->second.attempt == attempt) {
        worker->attempts.erase(found);
    }
}

void WorkerTable::becomeOwner(Worker &worker, const wire::WorkerReply &reply, Instant sentAt,
                              Instant now)
{
    checkInvariant(!worker.owned || reply.epoch() > worker.epoch.value(), "owner-epoch-rises",
                   [&] { return worker.id.value(); });
    worker.owned = true;
    worker.ownedAt = now;
    worker.transferring = false;
    worker.epoch = Epoch(reply.epoch());
    worker.leaseUntil = sentAt + this->times.ownerLease;
    if (reply.incarnation() != worker.incarnation.value()) {
        // Failures of an earlier incarnation say nothing of this one.
        worker.failedTasks.clear();
        worker.ejectedUntil = Instant();
        worker.ejections = 0;
    }
    worker.incarnation = Incarnation(reply.incarnation());
    worker.replySequence = reply.sequence();
    worker.workerTime = reply.worker_time();
    worker.workerTimeAt = now;
    worker.lastReplyAt = now;
    worker.reportedLeaving = reply.inventory().leaving();
    worker.capacity = Resources::fromWire(reply.inventory().capacity());
    worker.usage = reply.inventory().usage();
    worker.attempts.clear();
    worker.calls.clear();
    for (const wire::TaskOnWorker &task : reply.inventory().tasks()) {
        AttemptOnWorker &attempt = worker.attempts[task.key().task()];
        attempt.attempt = task.key().attempt();
        attempt.size = Resources::fromWire(task.size());
        attempt.phase = task.ended() ? AttemptPhase::Ended : AttemptPhase::Running;
        attempt.end = task.end();
        attempt.checkpoint = task.checkpoint();
        attempt.throttlePercent = task.throttle_percent();
    }
    for (const std::string &call : reply.inventory().calls()) {
        worker.calls[CallId(call)].adopted = true;
    }
    this->checkCapacity(worker);
}

void WorkerTable::loseOwnership(Worker &worker)
{
    worker.owned = false;
    worker.transferring = false;
    worker.attempts.clear();
    worker.calls.clear();
}

bool WorkerTable::applyReply(Worker &worker, const wire::WorkerReply &reply, Instant now)
{
    worker.lastSeenAt = now;
    if (!worker.owned || reply.incarnation() != worker.incarnation.value() ||
        reply.sequence() <= worker.replySequence) {
        return false;
    }
    worker.replySequence = reply.sequence();
    worker.workerTime = reply.worker_time();
    worker.workerTimeAt = now;
    worker.lastReplyAt = now;
    return true;
}

void WorkerTable::applyInventory(Worker &worker, const wire::Inventory &inventory)
{
    worker.reportedLeaving = inventory.leaving();
    worker.usage = inventory.usage();
    std::set<std::pair<std::string, std::uint32_t>> reported;
    for (const wire::TaskOnWorker &task : inventory.tasks()) {
        reported.insert({task.key().task(), task.key().attempt()});
        const auto found = worker.attempts.find(task.key().task());
        if (found == worker.attempts.end() || found->second.attempt != task.key().attempt()) {
            continue;
        }
        AttemptOnWorker &attempt = found->second;
        if (task.ended() && attempt.phase != AttemptPhase::Ended) {
            attempt.phase = AttemptPhase::Ended;
            attempt.end = task.end();
            attempt.checkpoint = task.checkpoint();
        } else if (!task.ended() && attempt.phase == AttemptPhase::Starting) {
            attempt.phase = AttemptPhase::Running;
        }
        attempt.throttlePercent = task.throttle_percent();
    }
    for (auto &[name, attempt] : worker.attempts) {
        if (attempt.phase == AttemptPhase::Running && !reported.contains({name, attempt.attempt})) {
            attempt.phase = AttemptPhase::Ended;
            attempt.end = wire::LOST;
        }
    }
    const std::set<std::string> calls(inventory.calls().begin(), inventory.calls().end());
    std::erase_if(worker.calls, [&](const auto &entry) {
        const CallOnWorker &call = entry.second;
        return call.adopted && !calls.contains(entry.first.value()) &&
               worker.workerTime >= call.expiresAt;
    });
    this->checkCapacity(worker);
}

std::uint32_t WorkerTable::freeSlots(Instant now) const
{
    std::int64_t slots = 0;
    for (const auto &[id, worker] : this->workers) {
        if (this->takesWork(worker, now)) {
            slots += worker.free().slots;
        }
    }
    return static_cast<std::uint32_t>(std::max<std::int64_t>(slots, 0));
}

std::uint32_t WorkerTable::ownedSlots(Instant now) const
{
    std::int64_t slots = 0;
    for (const auto &[id, worker] : this->workers) {
        if (this->takesWork(worker, now)) {
            slots += worker.capacity.slots;
        }
    }
    return static_cast<std::uint32_t>(slots);
}

std::optional<std::string> WorkerTable::neverFits(const Resources &size) const
{
    if (this->distinctCapacities.empty()) {
        return std::nullopt;
    }
    const bool fits = std::any_of(this->distinctCapacities.begin(), this->distinctCapacities.end(),
                                  [&](const Resources &capacity) { return size.fitsIn(capacity); });
    if (fits) {
        return std::nullopt;
    }
    return "no worker of any zone can hold " + size.text();
}

void WorkerTable::observeEnd(Worker &worker, const std::string &task, bool failed,
                             const LeaseTimes &times, Instant now)
{
    if (!failed) {
        worker.failedTasks.clear();
        worker.ejections = 0;
        return;
    }
    if (now < worker.ejectedUntil) {
        // It was started before the ejection, so it says no more than those that caused that.
        return;
    }
    worker.failedTasks.insert(task);
    if (worker.failedTasks.size() < failedTasksBeforeEjection) {
        return;
    }
    const std::int64_t factor = std::int64_t(1) << std::min(worker.ejections, maxEjectionDoublings);
    worker.ejectedUntil = now + std::min(times.firstEjection * factor, times.longestEjection);
    ++worker.ejections;
    worker.failedTasks.erase(worker.failedTasks.begin());
}

} // namespace godwitfall
