// What the coordinator sends to workers, and how it takes their replies.
#include "coordinator.h"

#include <algorithm>
#include <utility>

namespace godwitfall {

namespace {

/** Rest of a worker whose room was counted wrongly. */
constexpr Duration roomRest{150};
/** Tail latency, as a share of its target, below which halted tasks go on. */
constexpr double hastenBelow = 0.6;
/** Tail latency, as a share of its target, above which images known as harmful are halted. */
constexpr double slowBefore = 0.8;
/** Time for which a halted task waits before it goes on elsewhere; above its restore time. */
constexpr Duration slowedStay{1500};
/** Time between two samples of a worker's figures, which cover the last half second. */
constexpr Duration figureGap{500};
/** Time after which a halted task's effect shows in the figures. */
constexpr Duration trialTime{650};
/** Share of the worst suspect's harm from which other images are halted with it. */
constexpr double suspectShare = 0.5;
/** Share of the tail latency before, below which the halted tasks count as its cause. */
constexpr double reliefShare = 0.7;
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
    if (now - worker.figuresAt < figureGap) {
        return;
    }
    worker.figuresAt = now;
    std::set<std::string> filling;
    std::vector<TaskRef> slowed;
    for (const auto &[ref, job] : worker.tasks) {
        const jobs::StepSpec &step = job->stepSpec(ref.step);
        const Task &task = *job->task(ref);
        if (!step.fills() || task.phase != TaskPhase::Running) {
            continue;
        }
        if (task.pace < fullPace) {
            slowed.push_back(ref);
        } else if (now - task.since > figureGap) {
            filling.insert(step.image());
        }
    }
    const std::vector<std::string> images(filling.begin(), filling.end());
    double worst = 0.0;
    TaskRef slowest;
    for (const auto &[ref, job] : worker.tasks) {
        const jobs::StepSpec &step = job->stepSpec(ref.step);
        const Task &task = *job->task(ref);
        if (step.target_ms() == 0 || task.phase != TaskPhase::Running || task.percent < 100) {
            continue;
        }
        const double ratio = static_cast<double>(task.figure) / step.target_ms();
        if (!worker.trial) {
            this->interference.observe(step.image(), ratio, images);
        }
        if (ratio > worst) {
            worst = ratio;
            slowest = ref;
        }
    }
    worker.servingRatio = worst;
    if (worker.trial) {
        this->endTrial(worker, now);
    } else if (worst > slowBefore && !filling.empty()) {
        this->beginTrial(worker, slowest, worst, now);
    } else if (worst < hastenBelow) {
        for (const TaskRef &ref : slowed) {
            Job &job = *worker.tasks.at(ref);
            this->setPace(worker, ref, *job.task(ref), fullPace, now);
        }
    } else {
        this->moveSlowed(worker, slowed, now);
    }
}

void Coordinator::moveSlowed(WorkerState &worker, const std::vector<TaskRef> &slowed, Instant now)
{
    for (const TaskRef &ref : slowed) {
        Job &job = *worker.tasks.at(ref);
        Task &task = *job.task(ref);
        const bool waited = now - task.progressAt > slowedStay;
        if (waited && job.stepSpec(ref.step).checkpointing()) {
            this->stopTask(ref, task, now);
        }
    }
}

void Coordinator::beginTrial(WorkerState &worker, const TaskRef &serving, double ratio, Instant now)
{
    const std::string &image = worker.tasks.at(serving)->stepSpec(serving.step).image();
    double most = ratio > InterferenceModel::slowRatio ? 0.0 : InterferenceModel::harmful / suspectShare;
    for (const auto &[ref, job] : worker.tasks) {
        const jobs::StepSpec &step = job->stepSpec(ref.step);
        if (step.fills() && job->task(ref)->phase == TaskPhase::Running) {
            most = std::max(most, this->interference.harm(image, step.image()));
        }
    }
    PaceTrial trial{serving, ratio, {}, now};
    for (const auto &[ref, job] : worker.tasks) {
        const jobs::StepSpec &step = job->stepSpec(ref.step);
        Task &task = *job->task(ref);
        const bool suspect = step.fills() && task.phase == TaskPhase::Running &&
                             this->interference.harm(image, step.image()) >= most * suspectShare;
        if (suspect) {
            this->setPace(worker, ref, task, 0, now);
            trial.halted.push_back(ref);
        }
    }
    if (!trial.halted.empty()) {
        worker.trial = std::move(trial);
    }
}

void Coordinator::endTrial(WorkerState &worker, Instant now)
{
    if (now - worker.trial->since < trialTime) {
        return;
    }
    const PaceTrial trial = *std::exchange(worker.trial, std::nullopt);
    const auto serving = worker.tasks.find(trial.serving);
    if (serving == worker.tasks.end()) {
        return;
    }
    const jobs::StepSpec &step = serving->second->stepSpec(trial.serving.step);
    const Task &task = *serving->second->task(trial.serving);
    const double ratio = static_cast<double>(task.figure) / std::max(1U, step.target_ms());
    const bool caused = ratio < trial.ratioBefore * reliefShare;
    for (const TaskRef &ref : trial.halted) {
        const auto found = worker.tasks.find(ref);
        if (found == worker.tasks.end()) {
            continue;
        }
        Job &job = *found->second;
        Task &halted = *job.task(ref);
        const jobs::StepSpec &haltedStep = job.stepSpec(ref.step);
        this->interference.confirm(step.image(), haltedStep.image(), caused);
        if (halted.phase != TaskPhase::Running) {
            continue;
        }
        if (!caused) {
            this->setPace(worker, ref, halted, fullPace, now);
        }
    }
}

void Coordinator::setPace(const WorkerState &worker, const TaskRef &ref, Task &task,
                          std::uint32_t percent, Instant now)
{
    task.pace = percent;
    task.progressAt = now;
    this->orders.pace(PaceOrder{this->targetOf(worker), ref, task.run, percent});
}

} // namespace godwitfall
