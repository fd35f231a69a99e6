#include "workerleasemanager.h"

#include <algorithm>

#include "rendezvous.h"

namespace godwitfall {

namespace {

/** A release may be sent at any later time. */
constexpr Duration noDeadline(std::int64_t(1) << 50);

} // namespace

WorkerLeaseManager::WorkerLeaseManager(Guarded<ClusterState> &state, Guarded<Membership> &members,
                                       Guarded<WorkerTable> &workers, LogWriter &writer,
                                       const LogFollower &follower, Outbox &outbox,
                                       const LeaseTimes &times)
    : state(state)
    , members(members)
    , workers(workers)
    , writer(writer)
    , follower(follower)
    , outbox(outbox)
    , times(times)
{}

void WorkerLeaseManager::startDraining()
{
    std::lock_guard lock(this->mutex);
    this->draining = true;
}

std::size_t WorkerLeaseManager::ownedCount() const
{
    return this->workers.read([](const WorkerTable &table) {
        return static_cast<std::size_t>(
            std::count_if(table.all().begin(), table.all().end(),
                          [](const auto &entry) { return entry.second.owned; }));
    });
}

void WorkerLeaseManager::onTick(Instant now)
{
    std::lock_guard lock(this->mutex);
    const std::vector<InstanceId> candidates =
        this->members.read([&](const Membership &table) { return table.candidates(now); });
    this->workers.write([&](WorkerTable &table) {
        this->addWorkersWithClaims(table, now);
        for (auto &[id, worker] : table.all()) {
            const InstanceId preferred = rendezvousOwner(id.value(), candidates);
            if (worker.owned && !table.leaseHolds(worker, now)) {
                table.loseOwnership(worker);
            }
            if (worker.owned) {
                this->tickOwned(worker, preferred, now);
            } else {
                this->tickUnowned(worker, preferred, now);
            }
        }
    });
}

void WorkerLeaseManager::addWorkersWithClaims(WorkerTable &table, Instant now)
{
    if (!table.listed()) {
        return;
    }
    const std::string zone =
        this->members.read([](const Membership &known) { return known.ownZone().value(); });
    const std::vector<std::string> claimed = this->state.read(
        [&](const ClusterState &known) { return known.tasks().workersWithClaims(zone); });
    for (const std::string &worker : claimed) {
        table.addUnlisted(WorkerId(worker), now);
    }
}

void WorkerLeaseManager::tickOwned(Worker &worker, const InstanceId &preferred, Instant now)
{
    const bool selfPreferred =
        this->members.read([&](const Membership &table) { return preferred == table.selfId(); });
    worker.drained = this->state.read(
        [&](const ClusterState &table) { return table.restrictions().drained(worker.id.value()); });
    this->tickFence(worker, selfPreferred, now);
    if (!selfPreferred) {
        this->considerTransfer(worker, preferred, now);
    } else {
        worker.transferring = false;
        this->notPreferredSince.erase(worker.id);
    }
    if (worker.owned && now - worker.lastLeaseOrderAt >= this->times.renewEvery) {
        this->sendRenewal(worker, now);
    }
}

void WorkerLeaseManager::considerTransfer(Worker &worker, const InstanceId &preferred, Instant now)
{
    const auto [since, added] = this->notPreferredSince.try_emplace(worker.id, now);
    const bool stable = this->draining || now - since->second >= this->times.ownerLease * 2;
    if (!worker.transferring && (!stable || (preferred.empty() && !this->draining))) {
        return;
    }
    if (!worker.transferring) {
        worker.transferring = true;
        worker.transferringSince = now;
    }
    const bool starting =
        std::any_of(worker.attempts.begin(), worker.attempts.end(), [](const auto &entry) {
            const AttemptPhase phase = entry.second.phase;
            return phase == AttemptPhase::Reserved || phase == AttemptPhase::Starting;
        });
    const bool calling = std::any_of(worker.calls.begin(), worker.calls.end(),
                                     [](const auto &entry) { return !entry.second.adopted; });
    // Later the successor adopts what is in flight, as it would after a lapse of the lease.
    const bool late = now - worker.transferringSince >= this->times.ownerLease;
    if ((!starting && !calling) || late) {
        this->sendRelease(worker, now);
    }
}

void WorkerLeaseManager::tickUnowned(Worker &worker, const InstanceId &preferred, Instant now)
{
    const bool selfPreferred =
        this->members.read([&](const Membership &table) { return preferred == table.selfId(); });
    this->notPreferredSince.erase(worker.id);
    this->tickFence(worker, selfPreferred, now);
    if (selfPreferred && !this->draining && !worker.address.empty() &&
        now - worker.lastLeaseOrderAt >= this->times.renewEvery) {
        this->sendAcquire(worker, now);
    }
}

void WorkerLeaseManager::tickFence(const Worker &worker, bool selfPreferred, Instant now)
{
    const std::string &name = worker.id.value();
    const auto [fence, claimed] = this->state.read([&](const ClusterState &table) {
        return std::pair(table.restrictions().fence(name), !table.tasks().claimedOn(name).empty());
    });
    const bool unresponsive = now - worker.lastSeenAt >= this->times.fenceAfter;
    if (fence.value() == 0) {
        this->fences.erase(worker.id);
        const auto sent = this->fenceSentAt.find(worker.id);
        const bool recent =
            sent != this->fenceSentAt.end() && now - sent->second < this->times.fenceAfter;
        if (unresponsive && claimed && selfPreferred && !recent) {
            this->fenceSentAt[worker.id] = now;
            wire::Record record;
            record.mutable_fence()->set_worker(name);
            this->submit(std::move(record));
        }
        return;
    }
    FenceWatch &watch = this->fences[worker.id];
    if (watch.fence != fence) {
        watch = {fence, now, false};
    }
    if (worker.owned && !unresponsive && this->unfenceSent[worker.id] != fence) {
        this->unfenceSent[worker.id] = fence;
        wire::Record record;
        record.mutable_unfence()->set_worker(name);
        record.mutable_unfence()->set_fence_offset(fence.value());
        this->submit(std::move(record));
        return;
    }
    // By then every task lease that was renewed before the fence has lapsed on the worker's clock.
    const Duration wait =
        this->times.stretched(this->times.contactAllowance + this->times.taskLease);
    if (!worker.owned && selfPreferred && claimed && !watch.lapseSent &&
        now - watch.seenAt >= wait) {
        watch.lapseSent = true;
        wire::Record record;
        record.mutable_lapse()->set_worker(name);
        record.mutable_lapse()->set_fence_offset(fence.value());
        this->submit(std::move(record));
    }
}

void WorkerLeaseManager::submit(wire::Record record)
{
    record.set_author(this->writer.name());
    this->writer.submit(std::move(record), [](const std::optional<Decision> &, Instant) {});
}

void WorkerLeaseManager::send(const Worker &worker, wire::WorkerOrder order, Instant notAfter,
                              Instant now)
{
    order.set_worker(worker.id.value());
    order.set_owner(this->writer.name());
    order.set_epoch(worker.owned ? worker.epoch.value() : 0);
    this->outbox.sendWorker(
        {std::move(order), worker.address, now, notAfter, this->times.ownerLease});
}

void WorkerLeaseManager::sendAcquire(Worker &worker, Instant now)
{
    worker.lastLeaseOrderAt = now;
    wire::WorkerOrder order;
    order.mutable_acquire()->set_ttl_ms(static_cast<std::uint64_t>(this->times.ownerLease.count()));
    this->send(worker, std::move(order), now + this->times.ownerLease, now);
}

void WorkerLeaseManager::sendRenewal(Worker &worker, Instant now)
{
    const std::optional<Instant> contact = this->follower.lastContact();
    const Instant yieldUntil = contact ? *contact + this->times.contactAllowance : now;
    Instant notAfter = worker.leaseUntil;
    wire::WorkerOrder order;
    wire::RenewLease &renew = *order.mutable_renew();
    renew.set_ttl_ms(static_cast<std::uint64_t>(this->times.ownerLease.count()));
    renew.set_tasks_until(worker.workerTime +
                          static_cast<std::uint64_t>(this->times.taskLease.count()));
    this->state.read([&](const ClusterState &table) {
        const bool fenced = table.restrictions().fence(worker.id.value()).value() != 0;
        for (const auto &[name, attempt] : worker.attempts) {
            if (attempt.phase == AttemptPhase::Ended) {
                continue;
            }
            const wire::TaskRecord *task = table.tasks().find(name);
            const bool yields = task == nullptr || task->spec().on_silence() == wire::YIELD;
            if (yields && (fenced || now >= yieldUntil)) {
                continue;
            }
            wire::TaskKey &key = *renew.add_tasks();
            key.set_task(name);
            key.set_attempt(attempt.attempt);
            notAfter = yields ? std::min(notAfter, yieldUntil) : notAfter;
        }
    });
    worker.lastLeaseOrderAt = now;
    this->send(worker, std::move(order), notAfter, now);
}

void WorkerLeaseManager::sendRelease(Worker &worker, Instant now)
{
    wire::WorkerOrder order;
    order.mutable_release();
    worker.lastLeaseOrderAt = now;
    this->send(worker, std::move(order), now + noDeadline, now);
    WorkerTable::loseOwnership(worker);
}

void WorkerLeaseManager::onReply(const SentOrder &order, const Result<wire::WorkerReply> &answer,
                                 Instant now)
{
    std::lock_guard lock(this->mutex);
    this->workers.write([&](WorkerTable &table) {
        Worker *worker = table.find(WorkerId(order.order.worker()));
        if (worker == nullptr || !answer) {
            return;
        }
        worker->lastSeenAt = now;
        const bool accepted = answer->status() == wire::ACCEPTED;
        if (order.order.has_acquire()) {
            const bool newer = !worker->owned || answer->epoch() > worker->epoch.value();
            const bool inTime = now < order.sentAt + table.leaseTimes().ownerLease;
            if (accepted && newer && inTime && answer->has_inventory()) {
                table.becomeOwner(*worker, *answer, order.sentAt, now);
            }
            return;
        }
        if (!worker->owned || order.order.epoch() != worker->epoch.value()) {
            return;
        }
        if (!accepted) {
            table.loseOwnership(*worker);
            return;
        }
        if (order.order.has_renew() && table.applyReply(*worker, *answer, now)) {
            worker->leaseUntil =
                std::max(worker->leaseUntil, order.sentAt + table.leaseTimes().ownerLease);
            table.applyInventory(*worker, answer->inventory());
        }
    });
}

} // namespace godwitfall
