#include "taskscheduler.h"

#include <algorithm>

#include "invariant.h"
#include "rendezvous.h"

namespace godwitfall {

namespace {

constexpr std::size_t pendingScanLimit = 256;
constexpr std::size_t maxClaimsInFlight = 512;
/** Claims are delayed by rank in the task's rendezvous order, so that instances seldom compete. */
constexpr Duration claimDelayPerInstance(300);
constexpr Duration claimDelayPerZone(1000);
constexpr Duration orderRetryInterval(500);
constexpr Duration maxLogContactAge(5000);
/** Wait of a latency-critical task before batch tasks are evicted for it. */
constexpr Duration preemptionDelay(600);
constexpr Duration preemptionInterval(5000);

bool isCurrent(const wire::TaskRecord *task, const Worker &worker, const AttemptOnWorker &attempt)
{
    return task != nullptr && task->state() == wire::CLAIMED &&
           task->attempt() == attempt.attempt && task->worker() == worker.id.value();
}

} // namespace

TaskScheduler::TaskScheduler(Guarded<ClusterState> &state, Guarded<Membership> &members,
                             Guarded<WorkerTable> &workers, LogWriter &writer,
                             const LogFollower &follower, Outbox &outbox, const LeaseTimes &times)
    : state(state)
    , members(members)
    , workers(workers)
    , writer(writer)
    , follower(follower)
    , outbox(outbox)
    , times(times)
{}

void TaskScheduler::startDraining()
{
    std::lock_guard lock(this->mutex);
    this->draining = true;
}

void TaskScheduler::onTick(Instant now)
{
    std::lock_guard lock(this->mutex);
    this->workers.write([&](WorkerTable &table) {
        const std::optional<Instant> contact = this->follower.lastContact();
        for (auto &[id, worker] : table.all()) {
            if (table.leaseHolds(worker, now)) {
                this->reconcile(worker, contact && *contact > worker.ownedAt, now);
            }
        }
    });
    if (!this->draining) {
        this->claimPending(now);
    }
}

void TaskScheduler::reconcile(Worker &worker, bool stateIsCurrent, Instant now)
{
    std::vector<wire::TaskKey> acknowledged;
    for (auto &[name, attempt] : worker.attempts) {
        this->reconcileAttempt(worker, name, attempt, stateIsCurrent, acknowledged, now);
    }
    for (const wire::TaskKey &key : acknowledged) {
        worker.attempts.erase(key.task());
    }
    if (!acknowledged.empty()) {
        this->sendAck(worker, acknowledged, now);
    }
    if (stateIsCurrent) {
        this->reconcileClaims(worker);
    }
}

TaskScheduler::LogView TaskScheduler::viewOf(const Worker &worker, const std::string &name,
                                             const AttemptOnWorker &attempt) const
{
    return this->state.read([&](const ClusterState &table) {
        LogView view;
        const wire::TaskRecord *task = table.tasks().find(name);
        view.current = isCurrent(task, worker, attempt);
        if (!view.current) {
            return view;
        }
        view.cancelled = task->cancel_requested();
        view.mustMove = task->evict_requested() || task->hold_requested();
        view.throttlePercent = task->throttle_percent();
        view.fenced = table.restrictions().fence(worker.id.value()).value() != 0;
        if (attempt.phase == AttemptPhase::Starting) {
            view.task = *task;
        }
        return view;
    });
}

void TaskScheduler::reconcileAttempt(Worker &worker, const std::string &name,
                                     AttemptOnWorker &attempt, bool stateIsCurrent,
                                     std::vector<wire::TaskKey> &acknowledged, Instant now)
{
    if (attempt.phase == AttemptPhase::Reserved) {
        return;
    }
    const LogView view = this->viewOf(worker, name, attempt);
    if (!view.current && !stateIsCurrent) {
        return;
    }
    if (attempt.phase == AttemptPhase::Ended) {
        if (view.current) {
            this->recordEnd(worker, name, attempt, now);
        } else if (worker.workerTime >= attempt.startExpiresAt) {
            // Before that, a repeated start still in flight could run the attempt again, because
            // the worker discards its record of the attempt on the acknowledgement.
            wire::TaskKey &key = acknowledged.emplace_back();
            key.set_task(name);
            key.set_attempt(attempt.attempt);
        }
        return;
    }
    if (!view.current || view.cancelled) {
        this->sendStop(worker, name, attempt, false, now);
    } else if (view.mustMove || worker.leaving(now)) {
        this->sendStop(worker, name, attempt, true, now);
    } else if (attempt.phase == AttemptPhase::Starting) {
        this->sendStart(worker, view, attempt, now);
    } else if (view.throttlePercent != attempt.throttlePercent) {
        this->sendThrottle(worker, name, attempt, view.throttlePercent, now);
    }
}

void TaskScheduler::recordEnd(Worker &worker, const std::string &name, AttemptOnWorker &attempt,
                              Instant now)
{
    if (attempt.endRecorded) {
        return;
    }
    attempt.endRecorded = true;
    if (attempt.end == wire::DONE || attempt.end == wire::FAILED) {
        const bool failed = attempt.end == wire::FAILED;
        WorkerTable::observeEnd(worker, name, failed, this->times, now);
    }
    wire::Record record;
    record.set_author(this->writer.name());
    wire::EndAttempt &end = *record.mutable_end();
    end.mutable_key()->set_task(name);
    end.mutable_key()->set_attempt(attempt.attempt);
    end.set_end(attempt.end);
    end.set_checkpoint(attempt.checkpoint);
    end.set_worker(worker.id.value());
    end.set_detail(wire::AttemptEnd_Name(attempt.end) + " on " + worker.id.value());
    this->writer.submit(std::move(record), [](const std::optional<Decision> &, Instant) {});
}

void TaskScheduler::reconcileClaims(const Worker &worker)
{
    std::vector<wire::EndAttempt> ended;
    this->state.read([&](const ClusterState &table) {
        for (const std::string &name : table.tasks().claimedOn(worker.id.value())) {
            const wire::TaskRecord &task = *table.tasks().find(name);
            const auto held = worker.attempts.find(name);
            const bool known =
                held != worker.attempts.end() && held->second.attempt == task.attempt();
            if (known || task.epoch() >= worker.epoch.value()) {
                continue;
            }
            const bool sameIncarnation = task.worker_incarnation() == worker.incarnation.value();
            wire::EndAttempt &end = ended.emplace_back();
            end.mutable_key()->set_task(name);
            end.mutable_key()->set_attempt(task.attempt());
            end.set_end(sameIncarnation ? wire::NEVER_STARTED : wire::LOST);
            end.set_worker(worker.id.value());
            end.set_detail(sameIncarnation ? "the worker never accepted the start"
                                           : "the worker restarted");
        }
    });
    for (const wire::EndAttempt &end : ended) {
        const Attempt attempt(end.key().task(), end.key().attempt());
        if (!this->resolving.insert(attempt).second) {
            continue;
        }
        wire::Record record;
        record.set_author(this->writer.name());
        *record.mutable_end() = end;
        this->writer.submit(std::move(record),
                            [this, attempt](const std::optional<Decision> &, Instant) {
                                std::lock_guard lock(this->mutex);
                                this->resolving.erase(attempt);
                            });
    }
}

bool TaskScheduler::orderDue(AttemptOnWorker &attempt, Instant now) const
{
    if (attempt.ordered && now - attempt.lastOrderAt < orderRetryInterval) {
        return false;
    }
    attempt.ordered = true;
    attempt.lastOrderAt = now;
    return true;
}

void TaskScheduler::send(const Worker &worker, wire::WorkerOrder order, Instant notAfter,
                         Instant now)
{
    order.set_worker(worker.id.value());
    order.set_owner(this->writer.name());
    order.set_epoch(worker.epoch.value());
    this->outbox.sendWorker(
        {std::move(order), worker.address, now, notAfter, this->times.ownerLease});
}

void TaskScheduler::sendStart(Worker &worker, const LogView &view, AttemptOnWorker &attempt,
                              Instant now)
{
    const wire::TaskRecord &task = view.task;
    const bool yields = task.spec().on_silence() == wire::YIELD;
    const std::optional<Instant> contact = this->follower.lastContact();
    const Instant yieldUntil = contact ? *contact + this->times.contactAllowance : now;
    if ((yields && (view.fenced || now >= yieldUntil)) || !this->orderDue(attempt, now)) {
        return;
    }
    wire::WorkerOrder order;
    wire::StartTask &start = *order.mutable_start();
    start.mutable_key()->set_task(task.spec().task());
    start.mutable_key()->set_attempt(attempt.attempt);
    *start.mutable_spec() = task.spec();
    start.set_checkpoint(task.checkpoint());
    start.set_lease_until(worker.workerTime +
                          static_cast<std::uint64_t>(this->times.taskLease.count()));
    attempt.startExpiresAt = start.lease_until();
    const Instant notAfter = yields ? std::min(worker.leaseUntil, yieldUntil) : worker.leaseUntil;
    this->send(worker, std::move(order), notAfter, now);
}

void TaskScheduler::sendStop(Worker &worker, const std::string &name, AttemptOnWorker &attempt,
                             bool checkpoint, Instant now)
{
    if (!this->orderDue(attempt, now)) {
        return;
    }
    wire::WorkerOrder order;
    order.mutable_stop()->mutable_key()->set_task(name);
    order.mutable_stop()->mutable_key()->set_attempt(attempt.attempt);
    order.mutable_stop()->set_checkpoint(checkpoint);
    this->send(worker, std::move(order), worker.leaseUntil, now);
}

void TaskScheduler::sendThrottle(Worker &worker, const std::string &name, AttemptOnWorker &attempt,
                                 std::uint32_t percent, Instant now)
{
    if (!this->orderDue(attempt, now)) {
        return;
    }
    wire::WorkerOrder order;
    order.mutable_throttle()->mutable_key()->set_task(name);
    order.mutable_throttle()->mutable_key()->set_attempt(attempt.attempt);
    order.mutable_throttle()->set_percent(percent);
    this->send(worker, std::move(order), worker.leaseUntil, now);
}

void TaskScheduler::sendAck(Worker &worker, const std::vector<wire::TaskKey> &keys, Instant now)
{
    wire::WorkerOrder order;
    order.mutable_ack()->mutable_keys()->Assign(keys.begin(), keys.end());
    this->send(worker, std::move(order), worker.leaseUntil, now);
}

void TaskScheduler::onReply(const SentOrder &sent, const Result<wire::WorkerReply> &answer,
                            Instant now)
{
    if (!answer) {
        return;
    }
    const wire::WorkerOrder &order = sent.order;
    this->workers.write([&](WorkerTable &table) {
        Worker *worker = table.find(WorkerId(order.worker()));
        if (worker == nullptr || !worker->owned || worker->epoch.value() != order.epoch()) {
            return;
        }
        worker->lastSeenAt = now;
        if (answer->status() == wire::STALE_EPOCH) {
            WorkerTable::loseOwnership(*worker);
            return;
        }
        if (answer->incarnation() != worker->incarnation.value() || !order.has_start()) {
            return;
        }
        const auto found = worker->attempts.find(order.start().key().task());
        if (found == worker->attempts.end() ||
            found->second.attempt != order.start().key().attempt() ||
            found->second.phase != AttemptPhase::Starting) {
            return;
        }
        AttemptOnWorker &attempt = found->second;
        if (answer->status() == wire::ACCEPTED) {
            attempt.phase = AttemptPhase::Running;
            // A renewal answered before the start is no evidence that the attempt has ended.
            worker->replySequence = std::max(worker->replySequence, answer->sequence());
        } else if (answer->status() == wire::NO_CAPACITY || answer->status() == wire::LEAVING ||
                   answer->status() == wire::BAD_ORDER) {
            // The worker may still accept a repeated start; after a stop it refuses every start.
            worker->reportedLeaving = worker->reportedLeaving || answer->status() == wire::LEAVING;
            attempt.ordered = false;
            this->sendStop(*worker, found->first, attempt, false, now);
        }
    });
}

Duration TaskScheduler::claimDelay(const wire::TaskRecord &task, Instant now) const
{
    if (!task.pinned_worker().empty()) {
        return Duration(0);
    }
    return this->members.read([&](const Membership &table) {
        const std::string &name = task.spec().task();
        std::vector<InstanceId> zones;
        for (const ZoneId &zone : table.aliveZones(now)) {
            zones.emplace_back(zone.value());
        }
        const auto zoneOrder = rendezvousOrder(name, zones);
        const auto order = rendezvousOrder(name, table.candidates(now));
        const auto zoneRank =
            std::find(zoneOrder.begin(), zoneOrder.end(), InstanceId(table.ownZone().value())) -
            zoneOrder.begin();
        const auto rank = std::find(order.begin(), order.end(), table.selfId()) - order.begin();
        const std::int64_t zoneSteps = task.spec().zone().empty() ? zoneRank : 0;
        return claimDelayPerZone * zoneSteps + claimDelayPerInstance * rank;
    });
}

void TaskScheduler::claimPending(Instant now)
{
    const std::optional<Instant> contact = this->follower.lastContact();
    if (!contact || now - *contact > maxLogContactAge) {
        return;
    }
    const std::string ownZone =
        this->members.read([](const Membership &table) { return table.ownZone().value(); });
    std::vector<wire::TaskRecord> waiting;
    this->state.read([&](const ClusterState &table) {
        for (const std::string &name : table.tasks().pending(pendingScanLimit, ownZone)) {
            waiting.push_back(*table.tasks().find(name));
        }
    });
    std::map<std::string, Instant> seen;
    for (const wire::TaskRecord &task : waiting) {
        const std::string &name = task.spec().task();
        const auto earlier = this->firstSeen.find(name);
        const Instant since = earlier == this->firstSeen.end() ? now : earlier->second;
        seen[name] = since;
        const Duration waited = now - since;
        if (this->claiming.contains(name) || this->claiming.size() >= maxClaimsInFlight ||
            waited < this->claimDelay(task, now)) {
            continue;
        }
        const std::optional<Reservation> reservation = this->workers.write(
            [&](WorkerTable &table) { return table.reserveAttempt(task, now); });
        if (reservation) {
            this->claim(task, *reservation);
        } else if (task.spec().kind() == wire::LATENCY_CRITICAL && waited >= preemptionDelay) {
            this->preemptFor(task, now);
        }
    }
    this->firstSeen = std::move(seen);
}

void TaskScheduler::claim(const wire::TaskRecord &task, const Reservation &reservation)
{
    const std::string &name = task.spec().task();
    const std::uint32_t attempt = task.attempt() + 1;
    this->claiming.insert(name);
    wire::Record record;
    record.set_author(this->writer.name());
    wire::ClaimTask &claim = *record.mutable_claim();
    claim.mutable_key()->set_task(name);
    claim.mutable_key()->set_attempt(attempt);
    claim.set_worker(reservation.worker.value());
    claim.set_epoch(reservation.epoch.value());
    claim.set_worker_incarnation(reservation.incarnation.value());
    claim.set_instance(this->writer.name());
    claim.set_zone(
        this->members.read([](const Membership &table) { return table.ownZone().value(); }));
    this->writer.submit(std::move(record), [this, name, attempt, reservation](
                                               const std::optional<Decision> &decision, Instant) {
        this->onClaimDecided(name, attempt, reservation, decision);
    });
}

void TaskScheduler::onClaimDecided(const std::string &name, std::uint32_t attempt,
                                   const Reservation &reservation,
                                   const std::optional<Decision> &decision)
{
    std::lock_guard lock(this->mutex);
    this->claiming.erase(name);
    const bool accepted = decision ? decision->accepted : this->state.read([&](const auto &table) {
        const wire::TaskRecord *task = table.tasks().find(name);
        return task != nullptr && task->state() == wire::CLAIMED && task->attempt() == attempt &&
               task->instance() == this->writer.name() &&
               task->epoch() == reservation.epoch.value();
    });
    if (!accepted) {
        this->workers.write([&](WorkerTable &table) {
            table.releaseAttempt(reservation.worker, reservation.epoch, name, attempt);
        });
        return;
    }
    this->workers.write([&](WorkerTable &table) {
        Worker *worker = table.find(reservation.worker);
        if (worker == nullptr || !worker->owned || worker->epoch != reservation.epoch) {
            return;
        }
        const auto found = worker->attempts.find(name);
        checkInvariant(found != worker->attempts.end() && found->second.attempt == attempt,
                       "claim-has-reservation", [&] { return name; });
        found->second.phase = AttemptPhase::Starting;
    });
}

bool TaskScheduler::isEvictable(const std::string &name) const
{
    return this->state.read([&](const ClusterState &table) {
        const wire::TaskRecord *task = table.tasks().find(name);
        return task != nullptr && task->spec().kind() == wire::BATCH && !task->evict_requested();
    });
}

void TaskScheduler::preemptFor(const wire::TaskRecord &task, Instant now)
{
    const std::string &name = task.spec().task();
    const auto last = this->preemptedAt.find(name);
    if (last != this->preemptedAt.end() && now - last->second < preemptionInterval) {
        return;
    }
    std::erase_if(this->preemptedAt,
                  [&](const auto &entry) { return now - entry.second >= preemptionInterval; });
    const Resources size = Resources::fromWire(task.spec().size());
    std::vector<wire::TaskKey> best;
    this->workers.read([&](const WorkerTable &table) {
        for (const auto &[id, worker] : table.all()) {
            if (!table.takesWork(worker, now)) {
                continue;
            }
            Resources free = worker.free();
            std::vector<wire::TaskKey> evicted;
            for (const auto &[other, attempt] : worker.attempts) {
                if (attempt.phase != AttemptPhase::Running || size.fitsIn(free) ||
                    !this->isEvictable(other)) {
                    continue;
                }
                free += attempt.size;
                wire::TaskKey &key = evicted.emplace_back();
                key.set_task(other);
                key.set_attempt(attempt.attempt);
            }
            if (size.fitsIn(free) && (best.empty() || evicted.size() < best.size())) {
                best = evicted;
            }
        }
    });
    if (best.empty()) {
        return;
    }
    this->preemptedAt[name] = now;
    for (const wire::TaskKey &key : best) {
        wire::Record record;
        record.set_author(this->writer.name());
        *record.mutable_evict()->mutable_key() = key;
        record.mutable_evict()->set_reason("makes room for " + name);
        this->writer.submit(std::move(record), [](const std::optional<Decision> &, Instant) {});
    }
}

std::string TaskScheduler::whyWaiting(const wire::TaskRecord &task, Instant now) const
{
    const std::optional<Instant> contact = this->follower.lastContact();
    if (!contact || now - *contact > maxLogContactAge) {
        return "the log can't be reached from here, so nothing can be claimed";
    }
    const std::string team = task.spec().team();
    const bool overQuota = this->state.read([&](const ClusterState &table) {
        return table.tasks().teamUsage(team) + task.spec().size().milli_cores() >
               table.teamMilliCores(team);
    });
    if (overQuota) {
        return "team " + team + " is at its quota";
    }
    const Resources size = Resources::fromWire(task.spec().size());
    return this->workers.read([&](const WorkerTable &table) -> std::string {
        if (const auto never = table.neverFits(size)) {
            return *never;
        }
        std::size_t owned = 0;
        std::size_t fitting = 0;
        for (const auto &[id, worker] : table.all()) {
            owned += table.takesWork(worker, now) ? 1 : 0;
            fitting += table.takesWork(worker, now) && size.fitsIn(worker.free()) ? 1 : 0;
        }
        return std::to_string(fitting) + " of " + std::to_string(owned) +
               " workers that accept tasks from this instance have enough free capacity";
    });
}

} // namespace godwitfall
