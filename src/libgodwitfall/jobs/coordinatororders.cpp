// What the coordinator sends to workers, and how it takes their replies.
#include "coordinator.h"

#include <algorithm>
#include <utility>

namespace godwitfall {

namespace {

/** Rest of a worker whose room was counted wrongly. */
constexpr Duration roomRest{150};
/** Time between two samples of a worker's figures, which cover the last half second. */
constexpr Duration figureGap{450};
/** Paces are set in steps, so that small changes need no order. */
constexpr std::uint32_t paceStep = 20;
constexpr double paceSteps = 5.0;
/** Pace in percent below which a task that can goes on elsewhere after a while. */
constexpr std::uint32_t slowPace = 40;
/** Time for which a slowed task waits before it goes on elsewhere; above its restore time. */
constexpr Duration slowedStay{1500};
/** Time for which the peak of a load is remembered; about a period of users' loads. */
constexpr Duration peakMemory{20000};
/** Share of the time that the platform allows a target to be missed, after which all filling work
 * of the worker halts; two more samples then show whether it did. */
constexpr std::int64_t haltPercent = 25;
/** Time after which a pace is sent again. */
constexpr Duration paceRepeat{700};
/** Part of the pressure below which an image is not slowed for it. */
constexpr double slightPart = 0.1;
constexpr std::uint32_t fullPace = 100;

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
    const bool awaited =
        found != this->starts.end() && found->second.run == run && found->second.worker == id;
    if (outcome == OrderOutcome::Unanswered) {
        this->noteUnanswered(id, ref, run, awaited, now);
    }
    if (!awaited) {
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
        this->noteFenced(id);
        return;
    case OrderOutcome::Unanswered:
        open.unanswered = true;
        task->maybeLate = true;
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

void Coordinator::noteUnanswered(const WorkerId &id, const TaskRef &ref, std::uint32_t run,
                                 bool sameLife, Instant now)
{
    WorkerState *worker = this->findWorker(id);
    if (!worker) {
        return;
    }
    std::erase_if(worker->unanswered, [&](const UnansweredStart &start) {
        return now - start.at > WorkerState::lateOrders;
    });
    // The life that was asked takes a repeated start for the same one; a later one has to be told.
    worker->unanswered.push_back(UnansweredStart{ref, run, now, sameLife ? worker->life : 0});
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
        this->noteFenced(id);
        return;
    }
    if (WorkerState *worker = outcome == OrderOutcome::Accepted ? this->findWorker(id) : nullptr) {
        for (UnansweredStart &start : worker->unanswered) {
            if (start.task == ref && start.run == run) {
                start.stoppedIn = worker->life;
            }
        }
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
    const bool settled = outcome == OrderOutcome::Accepted || outcome == OrderOutcome::Superseded ||
                         outcome == OrderOutcome::TooLate;
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
    // An unanswered renewal may have been taken, so a silent worker gets none and surely lapses.
    if (worker.heard && mayRenew && now - worker.heardAt < renewalSilence) {
        order.leaseEndMs = worker.leaseEnd(now, this->bounds.longestLease);
        worker.noteLeaseEnd(order.leaseEndMs);
        const bool settled = worker.seen == worker.acknowledged;
        const bool shared = worker.fillMilliCores > 0 && worker.reserved.milliCores > 0;
        order.wait = !settled ? Duration(0) : shared ? sharedHoldWait : holdWait;
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
        const Duration left = Duration(std::int64_t(step.estimated_ms()) *
                                       (100 - std::min(100U, task.percent)) / 100);
        const bool movable =
            step.long_running() || (step.checkpointing() && left > worker.entry.remaining);
        if (!movable || !this->mayInterrupt(*job, ref)) {
            continue;
        }
        const PlacementRequest request{*job, ref.occurrence, ref.step, {}, false};
        if (this->policy.choose(this->candidates(*job), request, now)) {
            this->stopTask(ref, task, now);
        }
    }
}

void Coordinator::sampleServing(WorkerState &worker, Instant now)
{
    const std::vector<FillShare> filling = worker.fillShares(false);
    for (const auto &[ref, job] : worker.tasks) {
        const jobs::StepSpec &step = job->stepSpec(ref.step);
        Task &task = *job->task(ref);
        if (step.target_ms() == 0 || task.phase != TaskPhase::Running || task.percent < 100 ||
            task.figure <= 0) {
            continue;
        }
        const double before = task.load;
        task.load = this->interference.loadOf(step.image(), static_cast<double>(task.figure));
        task.loadAt = now;
        if (task.figure <= step.target_ms()) {
            task.overSince = Instant();
        } else if (task.overSince == Instant()) {
            task.overSince = now;
        }
        const double own = job->ownLoad(ref.occurrence, ref.step, now);
        this->interference.observe(step.image(), own, before, task.load, filling);
        StepRun &run = job->stepRun(ref.occurrence, ref.step);
        if (own >= run.peakLoad || now - run.peakAt > peakMemory) {
            run.peakLoad = own;
            run.peakAt = now;
        }
    }
}

std::map<std::string, double> Coordinator::bearablePaces(const WorkerState &worker,
                                                         Instant now) const
{
    const std::vector<FillShare> filling = worker.fillShares(true);
    std::map<std::string, double> paces;
    for (const auto &[ref, job] : worker.tasks) {
        const jobs::StepSpec &step = job->stepSpec(ref.step);
        if (step.target_ms() == 0) {
            continue;
        }
        const double bearable = this->interference.loadAtTarget(step.image(), step.target_ms()) -
                                InterferenceModel::margin;
        const Task &task = *job->task(ref);
        const bool missed = task.load > bearable + InterferenceModel::margin;
        // Slight pressure matters only once the target is missed with nothing harmful beside.
        const bool harmed =
            this->interference.pressure(step.image(), filling, InterferenceModel::harmful) > 0.0;
        const double room = bearable - job->ownLoad(ref.occurrence, ref.step, now);
        const double least = missed && room > 0.0 && !harmed ? 0.0 : InterferenceModel::harmful;
        const double pressure = this->interference.pressure(step.image(), filling, least);
        if (pressure <= room) {
            continue;
        }
        const double pace = std::max(0.0, room / pressure);
        for (const FillShare &fill : filling) {
            const double part = this->interference.pressure(step.image(), fill.image) * fill.share;
            if (part > pressure * slightPart) {
                double &bound = paces.try_emplace(fill.image, 1.0).first->second;
                bound = std::min(bound, pace);
            }
        }
    }
    return paces;
}

void Coordinator::adjustPace(WorkerState &worker, Instant now)
{
    if (now - worker.figuresAt < figureGap) {
        return;
    }
    worker.figuresAt = now;
    this->sampleServing(worker, now);
    worker.overloads.clear();
    const std::map<std::string, double> paces = this->bearablePaces(worker, now);
    const Duration haltAfter = this->bounds.harmTime * haltPercent / 100;
    const bool halt = std::any_of(worker.tasks.begin(), worker.tasks.end(), [&](const auto &entry) {
        const Task &task = *entry.second->task(entry.first);
        return task.overSince != Instant() && now - task.overSince >= haltAfter;
    });
    const std::map<TaskRef, Job *> placed = worker.tasks;
    for (const auto &[ref, job] : placed) {
        const jobs::StepSpec &step = job->stepSpec(ref.step);
        Task &task = *job->task(ref);
        if (!step.fills() || task.phase != TaskPhase::Running) {
            continue;
        }
        const auto bound = paces.find(step.image());
        const double share = halt ? 0.0 : bound == paces.end() ? 1.0 : bound->second;
        const std::uint32_t pace = static_cast<std::uint32_t>(share * paceSteps) * paceStep;
        if (pace != task.pace) {
            if (task.pace == fullPace) {
                task.slowedAt = now;
            }
            this->setPace(worker, ref, task, pace, now);
        } else if ((!task.paceConfirmed || halt) && now - task.pacedAt > paceRepeat) {
            this->setPace(worker, ref, task, pace, now);
        } else if (pace < slowPace && step.checkpointing() && now - task.slowedAt > slowedStay) {
            // It goes on elsewhere, beside tasks that it does not slow.
            this->stopTask(ref, task, now);
        }
    }
}

void Coordinator::paceAnswered(const WorkerId &id, const TaskRef &ref, std::uint32_t run,
                               std::uint32_t percent, OrderOutcome outcome)
{
    if (outcome == OrderOutcome::Fenced) {
        this->noteFenced(id);
        return;
    }
    Job *job = this->table.find(ref.job);
    Task *task = job ? job->task(ref) : nullptr;
    const bool current = task && task->run == run && task->pace == percent;
    if (current && outcome == OrderOutcome::Accepted) {
        task->paceConfirmed = true;
    }
}

void Coordinator::setPace(const WorkerState &worker, const TaskRef &ref, Task &task,
                          std::uint32_t percent, Instant now)
{
    task.pace = percent;
    task.paceConfirmed = false;
    task.pacedAt = now;
    task.progressAt = now;
    this->orders.pace(PaceOrder{this->targetOf(worker), ref, task.run, percent});
}

} // namespace godwitfall
