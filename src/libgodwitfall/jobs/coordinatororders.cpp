// What the coordinator sends to workers, and how it takes their replies.
#include "coordinator.h"

#include <algorithm>

namespace godwitfall {

namespace {

/** Rest of a worker whose room was counted wrongly. */
constexpr Duration roomRest{150};
/** Tail latency, as a share of its target, above which filling tasks are slowed. */
constexpr double slowAbove = 0.85;
/** Tail latency, as a share of its target, below which filling tasks are sped up again. */
constexpr double hastenBelow = 0.6;
/** Time between two changes of the pace of one worker; the platform's figures cover half of it. */
constexpr Duration paceGap{900};
constexpr std::uint32_t fullPace = 100;
/** Pace from which filling tasks are halted outright. */
constexpr std::uint32_t leastPace = 25;
/** Step by which the pace rises again, in percent. */
constexpr std::uint32_t paceStep = 25;
/** Time for which a worker gets no filling tasks after its serving tasks were slow. */
constexpr Duration fillPause{4000};

} // namespace

OrderTarget Coordinator::targetOf(const WorkerState &worker) const
{
    return OrderTarget{worker.entry.id, worker.entry.address, this->epoch};
}

void Coordinator::sendStart(Job &job, const TaskRef &ref, Task &task, Instant now)
{
    WorkerState *worker = this->findWorker(WorkerId(task.worker));
    OpenOrder &open = this->starts[ref];
    open.run = task.run;
    open.worker = WorkerId(task.worker);
    open.retryAt = now + orderRetry;
    if (!worker || worker->entry.address.empty() || !worker->heard) {
        return;
    }
    open.inFlight = true;
    ++open.tries;
    StartOrder order;
    order.target = this->targetOf(*worker);
    order.task = ref;
    order.run = task.run;
    order.payload = job.spec().payload();
    order.leaseEndMs = worker->leaseEnd(now, this->bounds.longestLease);
    order.checkpoint = task.checkpoint;
    worker->noteLeaseEnd(order.leaseEndMs);
    this->orders.start(std::move(order));
}

void Coordinator::startAnswered(const WorkerId &id, const TaskRef &ref, std::uint32_t run,
                                Instant now, OrderOutcome outcome)
{
    const auto found = this->starts.find(ref);
    if (found == this->starts.end() || found->second.run != run || found->second.worker != id) {
        return;
    }
    OpenOrder &open = found->second;
    Job *job = this->table.find(ref.job);
    Task *task = job ? job->task(ref) : nullptr;
    WorkerState *worker = this->findWorker(id);
    if (!task || !worker) {
        this->starts.erase(found);
        return;
    }
    open.inFlight = false;
    switch (outcome) {
    case OrderOutcome::Accepted:
        task->phase = TaskPhase::Running;
        task->since = now;
        task->progressAt = now;
        this->starts.erase(found);
        return;
    case OrderOutcome::Fenced:
        this->observer.superseded(id);
        return;
    case OrderOutcome::Unanswered:
        open.unanswered = true;
        [[fallthrough]];
    case OrderOutcome::NotSent:
        if (open.tries < startTries) {
            open.retryAt = now + orderRetry;
            return;
        }
        this->rest(*worker, refusalRest, now);
        break;
    case OrderOutcome::NoRoom:
        this->rest(*worker, roomRest, now);
        break;
    case OrderOutcome::OtherLife:
        worker->holdDue = now;
        [[fallthrough]];
    default:
        this->rest(*worker, refusalRest, now);
        break;
    }
    // While a try may still be carried out, only a stop settles that the run never comes.
    if (open.unanswered || outcome == OrderOutcome::Superseded) {
        this->stopTask(ref, *task, now);
    } else {
        this->returnTask(*job, ref, *task, RunOutcome::Refused, now);
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
    open.retryAt = now + orderRetry;
    if (const WorkerState *worker = this->findWorker(open.worker)) {
        if (!worker->entry.address.empty()) {
            open.inFlight = true;
            this->stops[ref] = open;
            this->sendStop(*worker, ref, task.run, now);
            return;
        }
    }
    this->stops[ref] = open;
}

void Coordinator::sendStop(const WorkerState &worker, const TaskRef &ref, std::uint32_t run,
                           Instant)
{
    this->orders.stop(StopOrder{this->targetOf(worker), ref, run});
}

void Coordinator::stopAnswered(const WorkerId &id, const TaskRef &ref, std::uint32_t run,
                               Instant now, OrderOutcome outcome)
{
    if (outcome == OrderOutcome::Fenced) {
        this->observer.superseded(id);
        return;
    }
    const auto found = this->stops.find(ref);
    if (found == this->stops.end() || found->second.run != run || found->second.worker != id) {
        return;
    }
    OpenOrder &open = found->second;
    open.inFlight = false;
    open.retryAt = now + orderRetry;
    if (outcome == OrderOutcome::OtherLife) {
        Job *job = this->table.find(ref.job);
        if (Task *task = job ? job->task(ref) : nullptr) {
            this->returnTask(*job, ref, *task, RunOutcome::WorkerGone, now);
        }
        return;
    }
    const bool settled = outcome == OrderOutcome::Accepted ||
                         outcome == OrderOutcome::Superseded || outcome == OrderOutcome::TooLate;
    if (settled) {
        open.acknowledged = true;
        open.acknowledgedAt = now;
    }
}

void Coordinator::sendHold(WorkerState &worker, Instant now, bool mayRenew)
{
    HoldOrder order;
    order.target = this->targetOf(worker);
    order.acknowledged = worker.acknowledged;
    if (worker.heard && mayRenew) {
        order.leaseEndMs = worker.leaseEnd(now, this->bounds.longestLease);
        worker.noteLeaseEnd(order.leaseEndMs);
        const bool settled = worker.seen == worker.acknowledged;
        order.wait = settled ? holdWait : Duration(0);
    }
    worker.holdInFlight = true;
    this->orders.hold(std::move(order));
}

void Coordinator::retryOrders(Instant now, bool mayRenew)
{
    const std::map<TaskRef, OpenOrder> openStarts = this->starts;
    for (const auto &[ref, open] : openStarts) {
        if (open.inFlight || now < open.retryAt || !mayRenew) {
            continue;
        }
        Job *job = this->table.find(ref.job);
        Task *task = job ? job->task(ref) : nullptr;
        if (task && task->phase == TaskPhase::Starting) {
            this->sendStart(*job, ref, *task, now);
        }
    }
    for (auto &[ref, open] : this->stops) {
        if (open.inFlight || open.acknowledged || now < open.retryAt) {
            continue;
        }
        const WorkerState *worker = this->findWorker(open.worker);
        open.retryAt = now + orderRetry;
        if (worker && !worker->entry.address.empty()) {
            open.inFlight = true;
            this->sendStop(*worker, ref, open.run, now);
        }
    }
    std::erase_if(this->strayStops,
                  [&](const auto &entry) { return now - entry.second > Duration(10000); });
}

void Coordinator::tick(Instant now, std::int64_t newUnixMs, bool mayRenew)
{
    this->unixMs = newUnixMs;
    this->retryOrders(now, mayRenew);
    std::vector<std::string> idle;
    for (const auto &[id, worker] : this->workers) {
        if (!worker->tasks.empty() && now > worker->lapsesAt(this->bounds)) {
            this->loseWorker(*worker, now);
        }
        if (worker->entry.draining && worker->heard) {
            this->moveFromDraining(*worker, now);
        }
        if (!worker->listed && worker->tasks.empty() && !worker->holdInFlight) {
            idle.push_back(id);
            continue;
        }
        if (!worker->holdInFlight && now >= worker->holdDue && !worker->entry.address.empty()) {
            this->sendHold(*worker, now, mayRenew);
        }
    }
    for (const std::string &id : idle) {
        this->workers.erase(id);
    }
}

void Coordinator::moveFromDraining(WorkerState &worker, Instant now)
{
    const std::map<TaskRef, Job *> placed = worker.tasks;
    for (const auto &[ref, job] : placed) {
        Task &task = *job->task(ref);
        const jobs::StepSpec &step = job->stepSpec(ref.step);
        if (task.phase != TaskPhase::Running || step.gang()) {
            continue;
        }
        const Duration left =
            Duration(std::int64_t(step.estimated_ms()) * (100 - std::min(100U, task.percent)) / 100);
        const bool movable =
            step.long_running() || (step.checkpointing() && left > worker.entry.remaining);
        if (!movable || !this->mayInterrupt(*job, ref)) {
            continue;
        }
        const PlacementRequest request{*job, ref.occurrence, ref.step, {}};
        if (this->policy.choose(this->candidates(*job), request, now)) {
            this->stopTask(ref, task, now);
        }
    }
}

void Coordinator::adjustPace(WorkerState &worker, Instant now)
{
    double worst = 0.0;
    bool fills = false;
    for (const auto &[ref, job] : worker.tasks) {
        const jobs::StepSpec &step = job->stepSpec(ref.step);
        const Task &task = *job->task(ref);
        fills = fills || step.fills();
        if (step.target_ms() > 0 && task.phase == TaskPhase::Running && task.percent >= 100) {
            worst = std::max(worst, static_cast<double>(task.figure) / step.target_ms());
        }
    }
    if (worst > slowAbove) {
        worker.noFillsUntil = now + fillPause;
    }
    if (!fills) {
        worker.fillPercent = fullPace;
        return;
    }
    if (now - worker.paceChangedAt < paceGap) {
        return;
    }
    if (worst > 1.0) {
        this->setPace(worker, 0, now);
    } else if (worst > slowAbove) {
        const std::uint32_t half = worker.fillPercent / 2;
        this->setPace(worker, half < leastPace ? 0 : half, now);
    } else if (worst < hastenBelow) {
        this->setPace(worker, std::min(fullPace, worker.fillPercent + paceStep), now);
    }
}

void Coordinator::setPace(WorkerState &worker, std::uint32_t percent, Instant now)
{
    if (percent == worker.fillPercent && percent == fullPace) {
        return;
    }
    worker.fillPercent = percent;
    worker.paceChangedAt = now;
    const std::map<TaskRef, Job *> placed = worker.tasks;
    for (const auto &[ref, job] : placed) {
        const jobs::StepSpec &step = job->stepSpec(ref.step);
        Task &task = *job->task(ref);
        if (!step.fills() || task.phase != TaskPhase::Running) {
            continue;
        }
        task.progressAt = now;
        this->orders.pace(PaceOrder{this->targetOf(worker), ref, task.run, percent});
        // Halted work that can go on elsewhere does not wait here.
        if (percent == 0 && step.checkpointing()) {
            this->stopTask(ref, task, now);
        }
    }
}

} // namespace godwitfall
