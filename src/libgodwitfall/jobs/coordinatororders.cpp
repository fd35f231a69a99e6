// Orders to workers and their replies.
#include "coordinator.h"

#include <algorithm>
#include <utility>

namespace godwitfall {

namespace {

/** Time between two checks of tasks on draining workers; short compared to the time that such a
 * worker stays. */
constexpr Duration moveGap{100};
/** Ejection of a worker that refused a start for lack of capacity: its capacity was counted
 * wrongly. */
constexpr Duration capacityEjection{150};

} // namespace

OrderTarget Coordinator::targetOf(const WorkerState &worker) const
{
    return OrderTarget{worker.entry.id, worker.entry.address, this->epoch, 0};
}

OrderTarget Coordinator::targetOfIncarnation(const WorkerState &worker) const
{
    OrderTarget target = this->targetOf(worker);
    target.incarnationStartMs = worker.incarnationStartMs;
    return target;
}

Duration Coordinator::leaseLength() const
{
    const Duration left = this->bounds.longestDelay - takeoverTime - this->bounds.stopTime -
                          WorkerState::lapseMargin - replacementTime;
    const double onSlowClock = static_cast<double>(left.count()) * (1.0 - WorkerState::clockDrift);
    return std::min(this->bounds.longestLease, Duration(static_cast<std::int64_t>(onSlowClock)));
}

Duration Coordinator::longestEjection() const
{
    return (this->bounds.longestDelay - probeTime - replacementTime) / 2;
}

Duration Coordinator::longestLeasedRun() const
{
    /** A lease may outlast its length by this fraction (1/n); above the bound on clock drift. */
    constexpr std::int64_t driftDivisor = 40;
    const Duration lease = this->leaseLength();
    return lease + lease / driftDivisor + this->bounds.stopTime + WorkerState::lapseMargin;
}

void Coordinator::sendStart(Job &job, const TaskRef &ref, Task &task, Instant now)
{
    WorkerState *worker = this->findWorker(WorkerId(task.worker));
    OpenOrder &open = this->starts[ref];
    if (open.number == 0) {
        open.number = ++this->openedStarts;
        open.priority = this->rulesOf(job).priority;
    }
    open.run = task.run;
    open.worker = WorkerId(task.worker);
    open.retryAt = now + orderRetry;
    // Reports and entries since the task was placed may have changed what is known of its worker.
    if (const auto reason = worker ? this->dropReason(job, ref, *worker, now) : std::nullopt) {
        this->dropStart(job, ref, task, *worker, *reason, now);
        return;
    }
    if (!worker || worker->entry.address.empty() || !mayProlongLeases(*worker, now)) {
        this->abandonStart(job, ref, task, now);
        return;
    }
    // It may have been ejected since the task was placed.
    if (worker->onProbation && now < worker->ejectedUntil && open.tries == 0) {
        this->abandonStart(job, ref, task, now);
        return;
    }
    const bool waitsForReply = task.watched && (worker->closedAt != Instant() ||
                                                now - worker->repliedAt > watchedReplyAge);
    if (worker->ordersInFlight >= ordersPerWorker || waitsForReply || worker->announcedSilent) {
        open.retryAt = now;
        return;
    }
    ++worker->ordersInFlight;
    ++worker->startsInFlight;
    open.inFlight = true;
    ++open.tries;
    StartOrder order;
    order.target = this->targetOfIncarnation(*worker);
    order.task = ref;
    order.run = task.run;
    order.payload = job.spec().payload();
    order.leaseEndMs = worker->leaseEnd(this->leaseLength());
    order.checkpoint = task.checkpoint;
    const StepRef step{ref.job, ref.occurrence, ref.step};
    if (const std::string *ticket = this->advice.ticket(step, *worker, now)) {
        order.ticket = *ticket;
    }
    worker->noteLeaseEnd(order.leaseEndMs);
    this->reportBoundedStart(job, ref, task, open.tries, *worker, now);
    open.sentAt = now;
    task.unlisted = false;
    task.startSentAt = task.startSentAt == Instant() ? now : task.startSentAt;
    this->orders.start(std::move(order));
}

void Coordinator::reportBoundedStart(const Job &job, const TaskRef &ref, const Task &task,
                                     unsigned tries, const WorkerState &worker, Instant now) const
{
    const std::uint32_t most = job.stepSpec(ref.step).max_per_worker();
    if (most == 0) {
        return;
    }
    BoundedStart start;
    start.task = ref;
    start.run = task.run;
    start.tries = tries;
    start.most = most;
    const StepRef step{ref.job, ref.occurrence, ref.step};
    start.placed = worker.countPlaced(step);
    start.orphans = worker.countOrphans(step);
    start.sinceReport = now - worker.lastSeenAt;
    start.sincePlaced = Duration(this->unixMs - task.placedMs);
    this->observer.boundedStartSent(start, worker);
}

bool Coordinator::mayProlongLeases(const WorkerState &worker, Instant now)
{
    return worker.responded && now - worker.lastSeenAt < renewalTimeout;
}

void Coordinator::abandonStart(Job &job, const TaskRef &ref, Task &task, Instant now)
{
    // While a try may still be carried out, only a stop makes sure that the run never starts.
    const auto open = this->starts.find(ref);
    if (open != this->starts.end() && open->second.unanswered) {
        this->stopTask(ref, task, now);
    } else {
        this->returnTask(job, ref, task, RunOutcome::Refused, now);
    }
}

std::optional<DropReason> Coordinator::dropReason(const Job &job, const TaskRef &ref,
                                                  const WorkerState &worker, Instant now) const
{
    const jobs::StepSpec &step = job.stepSpec(ref.step);
    if (worker.zoneEvacuated) {
        return DropReason::ZoneEvacuated;
    }
    // An entry of another incarnation tells nothing of the one that the start is for.
    if (worker.entryIsCurrent() && worker.entry.draining) {
        return DropReason::Draining;
    }
    if (worker.entryIsCurrent() && worker.entry.service.value() != this->rulesOf(job).service) {
        return DropReason::Service;
    }
    if (worker.entryIsCurrent() && !PlacementPolicy::hasRequiredLabel(worker, step)) {
        return DropReason::Label;
    }
    const StepRef stepRef{ref.job, ref.occurrence, ref.step};
    if (step.max_per_worker() > 0 && worker.countOf(stepRef) > step.max_per_worker()) {
        return DropReason::StepBound;
    }
    if (worker.overcommitted()) {
        return DropReason::Capacity;
    }
    return this->hasOrphanRun(ref, now) ? std::optional(DropReason::OrphanRun) : std::nullopt;
}

void Coordinator::dropStart(Job &job, const TaskRef &ref, Task &task, const WorkerState &worker,
                            DropReason reason, Instant now)
{
    this->observer.startDropped(ref, task.run, worker, reason);
    this->abandonStart(job, ref, task, now);
}

void Coordinator::dropEvacuatedStarts(Instant now)
{
    std::vector<TaskRef> dropped;
    for (const auto &[ref, open] : this->starts) {
        if (!open.inFlight && this->isEvacuated(open.worker)) {
            dropped.push_back(ref);
        }
    }
    for (const TaskRef &ref : dropped) {
        Job *job = this->table.find(ref.job);
        Task *task = job ? job->task(ref) : nullptr;
        // Another start of the same gang may have ended this one.
        if (task && task->phase == TaskPhase::Starting && this->starts.contains(ref)) {
            this->dropStart(*job, ref, *task, *this->findWorker(WorkerId(task->worker)),
                            DropReason::ZoneEvacuated, now);
        }
    }
}

void Coordinator::noteOrderAnswered(const WorkerId &id)
{
    WorkerState *worker = this->findWorker(id);
    if (worker && worker->ordersInFlight > 0) {
        --worker->ordersInFlight;
    }
}

void Coordinator::startAnswered(const WorkerId &id, const TaskRef &ref, std::uint32_t run,
                                Instant now, OrderOutcome outcome)
{
    this->noteOrderAnswered(id);
    if (WorkerState *target = this->findWorker(id); target && target->startsInFlight > 0) {
        --target->startsInFlight;
    }
    if (this->startsAreLimited()) {
        // Tasks wait for this start to be settled.
        this->planNeeded = true;
    }
    const auto found = this->starts.find(ref);
    const bool awaited =
        found != this->starts.end() && found->second.run == run && found->second.worker == id;
    Job *job = this->table.find(ref.job);
    Task *task = job ? job->task(ref) : nullptr;
    if (!awaited) {
        return;
    }
    OpenOrder &open = found->second;
    WorkerState *worker = this->findWorker(id);
    if (!task || !worker) {
        this->starts.erase(found);
        return;
    }
    open.inFlight = false;
    this->startLimit.noteReply(open.sentAt, this->countOpenStarts(), now);
    if (outcome == OrderOutcome::Unanswered || outcome == OrderOutcome::NotSent) {
        this->noteNoReply(*worker, open.sentAt);
    } else if (outcome != OrderOutcome::OtherIncarnation) {
        this->noteReply(*worker, open.sentAt, now);
    }
    switch (outcome) {
    case OrderOutcome::Accepted:
        task->phase = TaskPhase::Running;
        task->startTaken = true;
        task->unlisted = false;
        task->since = now;
        task->progressAt = now;
        this->starts.erase(found);
        this->noteBegun(*job);
        this->confirmStart(*job, ref, now);
        return;
    case OrderOutcome::Fenced:
        this->noteFenced(id);
        return;
    case OrderOutcome::Unanswered:
        this->observer.startUnanswered(ref, run, id, open.tries);
        open.unanswered = true;
        [[fallthrough]];
    case OrderOutcome::NotSent:
        if (worker->zoneEvacuated) {
            this->dropStart(*job, ref, *task, *worker, DropReason::ZoneEvacuated, now);
            return;
        }
        if (open.tries < startTries) {
            open.retryAt = now + orderRetry;
            return;
        }
        this->eject(*worker, refusalEjection, now);
        break;
    case OrderOutcome::NoCapacity:
        this->eject(*worker, capacityEjection, now);
        break;
    case OrderOutcome::TicketInvalid:
        this->advice.refused(StepRef{ref.job, ref.occurrence, ref.step}, id);
        break;
    case OrderOutcome::OtherIncarnation:
        worker->holdDue = now;
        [[fallthrough]];
    default:
        this->eject(*worker, refusalEjection, now);
        break;
    }
    if (outcome == OrderOutcome::Superseded) {
        this->stopTask(ref, *task, now);
    } else {
        this->abandonStart(*job, ref, *task, now);
    }
    if (outcome == OrderOutcome::OtherIncarnation) {
        this->giveUp(this->countCrash(*worker, jobs::OTHER_INCARNATION, now), now);
    }
}

void Coordinator::confirmStart(Job &job, const TaskRef &ref, Instant now)
{
    if (job.closed()) {
        return;
    }
    const StepRun *run = job.findStepRun(ref.occurrence, ref.step);
    const bool starting =
        run && std::any_of(run->tasks.begin(), run->tasks.end(), [](const Task &other) {
            return other.phase == TaskPhase::Recording || other.phase == TaskPhase::Starting;
        });
    if (this->unrecordedStarts.empty()) {
        this->unrecordedStartsDue = now + confirmationDelay;
    }
    this->unrecordedStarts.insert(ref);
    if (job.stepSpec(ref.step).long_running() && !starting) {
        this->recordConfirmations(job, ref.occurrence, ref.step);
    }
}

void Coordinator::recordConfirmations(Instant now)
{
    if (now < this->unrecordedStartsDue) {
        return;
    }
    for (const TaskRef &ref : std::exchange(this->unrecordedStarts, {})) {
        if (Job *job = this->table.find(ref.job)) {
            this->markDirty(*job, ref);
        }
    }
}

void Coordinator::recordConfirmations(Job &job, std::uint32_t occurrence, std::uint32_t step)
{
    auto start = this->unrecordedStarts.lower_bound(TaskRef{job.id(), occurrence, step, 0});
    const auto end =
        this->unrecordedStarts.upper_bound(TaskRef{job.id(), occurrence, step, UINT32_MAX});
    while (start != end) {
        this->markDirty(job, *start);
        start = this->unrecordedStarts.erase(start);
    }
}

void Coordinator::stopTask(const TaskRef &ref, Task &task, Instant now)
{
    this->starts.erase(ref);
    task.phase = TaskPhase::Stopping;
    task.since = now;
    OpenOrder open;
    open.run = task.run;
    open.worker = WorkerId(task.worker);
    open.retryAt = now;
    OpenOrder &kept = this->stops[ref] = open;
    this->trySendStop(ref, kept, now);
}

void Coordinator::trySendStop(const TaskRef &ref, OpenOrder &open, Instant now)
{
    WorkerState *worker = this->findWorker(open.worker);
    if (!worker || worker->entry.address.empty()) {
        open.retryAt = now + orderRetry;
    } else if (worker->ordersInFlight < ordersPerWorker) {
        open.retryAt = now + orderRetry;
        open.inFlight = true;
        this->sendStop(*worker, ref, open.run);
    }
}

void Coordinator::sendStop(WorkerState &worker, const TaskRef &ref, std::uint32_t run)
{
    ++worker.ordersInFlight;
    this->orders.stop(StopOrder{this->targetOf(worker), ref, run});
}

bool Coordinator::isSettledStop(OrderOutcome outcome)
{
    return outcome == OrderOutcome::Accepted || outcome == OrderOutcome::Superseded ||
           outcome == OrderOutcome::TooLate;
}

void Coordinator::stopAnswered(const WorkerId &id, const TaskRef &ref, std::uint32_t run,
                               Instant now, OrderOutcome outcome)
{
    this->noteOrderAnswered(id);
    if (outcome == OrderOutcome::Fenced) {
        this->noteFenced(id);
        return;
    }
    if (WorkerState *worker = this->findWorker(id)) {
        this->orphanStopped(*worker, RunRef{ref, run}, now, outcome);
    }
    const auto found = this->stops.find(ref);
    if (found == this->stops.end() || found->second.run != run || found->second.worker != id) {
        return;
    }
    OpenOrder &open = found->second;
    open.inFlight = false;
    open.retryAt = now + orderRetry;
    if (outcome == OrderOutcome::OtherIncarnation) {
        const WorkerState *worker = this->findWorker(id);
        const GivenUp toGiveUp =
            worker ? this->countCrash(*worker, jobs::OTHER_INCARNATION, now) : GivenUp();
        Job *job = this->table.find(ref.job);
        if (Task *task = job ? job->task(ref) : nullptr) {
            this->returnTask(*job, ref, *task, RunOutcome::WorkerGone, now);
        }
        this->giveUp(toGiveUp, now);
        return;
    }
    if (isSettledStop(outcome)) {
        open.acknowledged = true;
        open.acknowledgedAt = now;
    }
}

void Coordinator::sendHold(WorkerState &worker, Instant now, bool mayRenew)
{
    HoldOrder order;
    // Named until a reply shows that the worker has received it.
    EndNumbers &ends = worker.ends;
    ends.discarding = ends.acknowledged > ends.discarded ? ends.acknowledged : 0;
    order.acknowledged = ends.discarding;
    if (mayRenew && mayProlongLeases(worker, now) && !worker.announcedSilent) {
        const Duration length = this->leaseLength();
        order.leaseEndMs =
            worker.leaseEnd(worker.entry.draining ? std::min(length, drainingLease) : length);
        worker.noteLeaseEnd(order.leaseEndMs);
        const bool settled = ends.applied == ends.acknowledged;
        const bool shared = worker.bestEffortMilliCores > 0 && worker.reserved.milliCores > 0;
        const Duration wait = std::min(shared ? sharedHoldWait : holdWait, this->longestHold(now));
        order.wait = !settled                 ? Duration(0)
                     : isWatched(worker, now) ? std::min(wait, watchedHoldWait)
                     : worker.probe           ? std::min(wait, probeHoldWait)
                                              : wait;
    }
    const bool forAnyIncarnation = order.leaseEndMs == 0 && order.acknowledged == 0;
    order.target = forAnyIncarnation ? this->targetOf(worker) : this->targetOfIncarnation(worker);
    worker.holdRenews = order.leaseEndMs > 0;
    worker.holdInFlight = true;
    this->orders.hold(std::move(order));
}

Duration Coordinator::longestHold(Instant now) const
{
    const Duration left = this->renewalEnd - now;
    if (left >= outageRenewalTime) {
        return holdWait;
    }
    return left > finalRenewalTime ? std::min(outageHoldWait, left - finalRenewalTime)
                                   : outageHoldWait;
}

void Coordinator::retryOrders(Instant now, bool mayRenew)
{
    // By priority and age, as starts may have to wait for earlier ones to the same worker.
    std::map<std::pair<unsigned, std::uint64_t>, TaskRef> dueStarts;
    for (const auto &[ref, open] : this->starts) {
        if (!open.inFlight && now >= open.retryAt && mayRenew && !this->pausesStarts) {
            dueStarts.emplace(std::pair(open.priority, open.number), ref);
        }
    }
    for (const auto &[order, ref] : dueStarts) {
        Job *job = this->table.find(ref.job);
        Task *task = job ? job->task(ref) : nullptr;
        if (task && task->phase == TaskPhase::Starting) {
            this->sendStart(*job, ref, *task, now);
        }
    }
    for (auto &[ref, open] : this->stops) {
        if (!open.inFlight && !open.acknowledged && now >= open.retryAt) {
            this->trySendStop(ref, open, now);
        }
    }
}

void Coordinator::tick(Instant now, std::int64_t newUnixMs, bool mayRenew)
{
    this->unixMs = newUnixMs;
    if (now < this->tickedAt + tickGap) {
        return;
    }
    const Instant tickedLast = std::max(this->tickedAt, this->begunAt);
    if (now - tickedLast > longestProcessingGap) {
        this->pausedAt = tickedLast;
        this->resumedAt = now;
    }
    this->tickedAt = now;
    this->retryOrders(now, mayRenew);
    this->returnEndedRuns(now);
    this->recordConfirmations(now);
    if (now >= this->movedAt + moveGap) {
        this->movedAt = now;
        this->moveFromDraining(now);
    }
    std::vector<std::string> idle;
    for (const auto &[id, worker] : this->workers) {
        this->returnLapsedTasks(*worker, now);
        // What the newest record says of a worker binds this coordinator.
        const bool mayHaveRuns = !worker->tasks.empty() || (!worker->orphans.empty() &&
                                                            now <= worker->lapsesAt(this->bounds));
        if (!worker->listed && !mayHaveRuns && !worker->holdInFlight && !worker->announcedSilent) {
            idle.push_back(id);
            continue;
        }
        if (!worker->holdInFlight && now >= worker->holdDue && !worker->entry.address.empty()) {
            this->sendHold(*worker, now, mayRenew);
        }
    }
    for (const std::string &id : idle) {
        this->discardWorker(id);
    }
}

void Coordinator::discardWorker(const std::string &id)
{
    this->removeOrphans(*this->workers.at(id));
    this->workers.erase(id);
    this->poolsStale = true;
}

std::int64_t Coordinator::slotsElsewhere(const Job &job, std::uint32_t occurrence,
                                         std::uint32_t step, Instant now)
{
    const PlacementRequest request{job, occurrence, step, {}, false};
    std::int64_t slots = 0;
    for (WorkerState *worker : this->allowed(job, occurrence, step, now)) {
        if (this->policy.usable(*worker, request, now)) {
            slots += std::max<std::int64_t>(1, worker->freeSlots(job.stepSpec(step)));
        }
    }
    return slots;
}

void Coordinator::moveFromDraining(Instant now)
{
    std::vector<WorkerState *> draining;
    // Slots that waiting and moving tasks will take are not free for others.
    std::int64_t wanted = this->waitingLongRunning;
    for (const auto &[id, worker] : this->workers) {
        if (!worker->entry.draining || !worker->responded) {
            continue;
        }
        draining.push_back(worker.get());
        for (const auto &[ref, job] : worker->tasks) {
            const bool moving = job->task(ref)->phase == TaskPhase::Stopping;
            wanted += moving && job->stepSpec(ref.step).long_running() ? 1 : 0;
        }
    }
    for (WorkerState *worker : draining) {
        this->moveFromDraining(*worker, wanted, now);
    }
}

void Coordinator::moveFromDraining(WorkerState &worker, std::int64_t &wanted, Instant now)
{
    const std::map<TaskRef, Job *> placed = worker.tasks;
    for (const auto &[ref, job] : placed) {
        Task &task = *job->task(ref);
        const jobs::StepSpec &step = job->stepSpec(ref.step);
        if (task.phase != TaskPhase::Running || step.gang()) {
            continue;
        }
        const Duration left = Duration(std::int64_t(step.estimated_ms()) *
                                       (100 - std::min(100U, task.percent)) / 100);
        const bool movable =
            step.long_running() || (step.checkpointing() && left > worker.entry.remaining);
        if (!movable || !this->mayInterrupt(*job, ref)) {
            continue;
        }
        const std::int64_t before = step.long_running() ? wanted : 0;
        if (this->slotsElsewhere(*job, ref.occurrence, ref.step, now) > before) {
            wanted += step.long_running() ? 1 : 0;
            this->stopTask(ref, task, now);
        }
    }
}

} // namespace godwitfall
