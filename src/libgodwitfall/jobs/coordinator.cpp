#include "coordinator.h"

#include <algorithm>
#include <array>
#include <utility>

namespace godwitfall {

namespace {

constexpr std::array<const char *, 9> outcomeNames = {
    "done", "failed", "stopped", "lapsed", "broken", "alone", "lost", "refused", "worker_gone"};

/** Pause before a run that nobody asked for is stopped again. */
constexpr Duration strayStopGap{1000};
/** After any id of a worker; ids are printable. */
constexpr const char *lastId = "\x7f";
/** Ends that a worker lists at once; a full list may leave out newer ones; from the platform. */
constexpr std::size_t endedPage = 500;

} // namespace

const char *toText(RunOutcome outcome)
{
    return outcomeNames.at(static_cast<std::size_t>(outcome));
}

Coordinator::Coordinator(JobTable &table, const WorkerBounds &bounds, OrderSender &orders,
                         CoordinatorObserver &observer)
    : table(table)
    , bounds(bounds)
    , orders(orders)
    , observer(observer)
    , policy(this->interference)
    , pacePolicy(this->interference)
    , advice(orders)
{}

void Coordinator::begin(std::uint64_t newEpoch, Instant now, std::int64_t newUnixMs, Instant lapse)
{
    this->end();
    this->unixMs = newUnixMs;
    this->epoch = newEpoch;
    this->formerLeasesLapse = lapse;
    this->interference.restore(this->table.pressures());
    for (const auto &[id, job] : this->table.all()) {
        this->adopt(*job, now);
    }
    for (const auto &[id, worker] : this->workers) {
        this->stopOfEarlierLives(*worker, now);
    }
    for (const auto &[id, job] : this->table.all()) {
        if (job->cancelled && !job->closed()) {
            this->jobCancelled(*job, now);
        }
    }
    this->planNeeded = true;
}

void Coordinator::end()
{
    this->epoch = 0;
    this->workers.clear();
    this->poolsStale = true;
    this->zones.clear();
    this->open.clear();
    this->unplaced.clear();
    this->tickedAt = Instant(-1000000);
    this->starts.clear();
    this->stops.clear();
    this->strays.clear();
    this->unansweredElsewhere.clear();
    this->advice.clear();
    this->dirty.clear();
    this->recording.clear();
    this->inBatch.clear();
    this->inRecords.clear();
    this->untold.clear();
    this->telling.clear();
    this->acknowledging.clear();
    this->acknowledgeDirty = false;
    this->fencedByWorker = false;
    this->startsHeld = false;
    this->searches = 0;
}

void Coordinator::holdStarts(bool hold)
{
    this->planNeeded = this->planNeeded || this->startsHeld;
    this->startsHeld = hold;
}

void Coordinator::adopt(Job &job, Instant now)
{
    bool placed = false;
    for (auto &[key, run] : job.stepRuns()) {
        for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
            Task &task = run.tasks[index];
            const TaskRef ref{job.id(), run.occurrence, run.step, index};
            for (LateStart &start : task.lateStarts) {
                start.at = now;
                if (start.worker == task.worker && start.run == task.run) {
                    continue;
                }
                this->unansweredElsewhere[start.worker].push_back(
                    UnansweredStart{ref, start.run, now, 0});
            }
            if (task.worker.empty()) {
                continue;
            }
            placed = true;
            auto &worker = this->workers[task.worker];
            if (!worker) {
                WorkerEntry unknown;
                unknown.id = WorkerId(task.worker);
                worker = std::make_unique<WorkerState>(std::move(unknown));
                worker->listed = false;
                worker->unheardLapse = this->formerLeasesLapse;
                this->poolsStale = true;
            }
            if (task.startMayArriveLate) {
                // A life that nobody reaches may still begin the run, and hold it for a lease.
                worker->unheardLapse = std::max(worker->unheardLapse,
                                                this->formerLeasesLapse + WorkerState::lateOrders);
            }
            worker->entry.bornMs = std::max(worker->entry.bornMs, task.workerIncarnationStartMs);
            worker->assign(ref, job);
            worker->unanswered.push_back(UnansweredStart{ref, task.run, now, worker->life});
        }
    }
    if (!job.closed() || placed) {
        this->open.insert(&job);
    } else {
        job.dropTasks();
    }
    if (!job.closed() && !job.cancelled) {
        this->unplaced.insert(&job);
    }
    if (job.closed() && job.finishedMs == 0) {
        // Clients were told that it is over before its progress was written.
        job.finishedMs = std::max<std::int64_t>(1, this->unixMs);
    }
    this->tellState(job);
}

void Coordinator::setConfig(const JobConfig &newConfig)
{
    this->config = newConfig;
    this->queues.clear();
    for (const QueueConfig &queue : this->config.queues) {
        this->queues.emplace(queue.name, &queue);
    }
    this->planNeeded = true;
}

WorkerState *Coordinator::findWorker(const WorkerId &id)
{
    const auto found = this->workers.find(id.value());
    return found == this->workers.end() ? nullptr : found->second.get();
}

const QueueConfig *Coordinator::queueOf(const Job &job) const
{
    const auto found = this->queues.find(job.spec().queue());
    return found == this->queues.end() ? nullptr : found->second;
}

Coordinator::JobRules Coordinator::rulesOf(const Job &job) const
{
    if (const QueueConfig *queue = this->queueOf(job)) {
        return JobRules{queue->service.value(), queue->priority, queue->maxAttempts, queue->stretch,
                        queue->targetLatency};
    }
    const jobs::JobSpec &spec = job.spec();
    return JobRules{spec.service(), spec.priority(), spec.max_attempts(), spec.stretch(),
                    Duration(spec.target_latency_ms())};
}

void Coordinator::setWorker(const WorkerEntry &entry, Instant now)
{
    auto &worker = this->workers[entry.id.value()];
    if (!worker) {
        worker = std::make_unique<WorkerState>(entry);
        worker->unheardLapse = this->formerLeasesLapse;
        worker->holdDue = now;
    }
    const std::int64_t bornBefore = worker->entry.bornMs;
    worker->entry = entry;
    worker->listed = true;
    this->poolsStale = true;
    if (bornBefore != 0 && entry.bornMs > bornBefore) {
        this->reborn(*worker, entry.bornMs, now);
    } else if (entry.bornMs < bornBefore) {
        worker->entry.bornMs = bornBefore;
    }
    if (auto former = this->unansweredElsewhere.extract(entry.id.value())) {
        worker->unanswered.insert(worker->unanswered.end(), former.mapped().begin(),
                                  former.mapped().end());
    }
    if (!worker->heard) {
        // Ahead of the first hold, as a late start may be about to arrive.
        this->stopUnanswered(*worker, now);
    }
    this->planNeeded = true;
}

void Coordinator::removeWorker(const WorkerId &id, Instant now)
{
    if (WorkerState *worker = this->findWorker(id)) {
        worker->listed = false;
        this->poolsStale = true;
        worker->holdDue = std::min(worker->holdDue, now + silentHoldGap);
    }
}

void Coordinator::jobSubmitted(Job &job)
{
    this->open.insert(&job);
    this->unplaced.insert(&job);
    this->planNeeded = true;
}

void Coordinator::jobCancelled(Job &job, Instant now)
{
    if (!job.closed()) {
        this->closeJob(job, Job::State::CANCELLED, now);
    }
}

void Coordinator::noteFenced(const WorkerId &id)
{
    this->fencedByWorker = this->active();
    this->observer.superseded(id);
}

void Coordinator::markDirty(Job &job)
{
    this->dirty.insert(&job);
}

void Coordinator::tellState(Job &job)
{
    if (job.state != job.published) {
        this->untold.insert(&job);
    }
}

// ---- what workers report

void Coordinator::reported(const WorkerId &id, Instant sentAt, Instant now, OrderOutcome outcome,
                           const WorkerReport &report)
{
    WorkerState *worker = this->findWorker(id);
    if (!worker) {
        return;
    }
    worker->holdInFlight = false;
    if (outcome == OrderOutcome::Fenced) {
        this->noteFenced(id);
        return;
    }
    if (outcome == OrderOutcome::OtherLife) {
        this->loseWorker(*worker, now);
        worker->heard = false;
        worker->unheardLapse = now;
        worker->holdDue = now + silentHoldGap;
        return;
    }
    if (outcome != OrderOutcome::Accepted) {
        worker->holdDue = now + silentHoldGap;
        return;
    }
    if (report.bornMs != 0 && report.bornMs < worker->entry.bornMs) {
        // An answer of an earlier life says nothing of this one.
        worker->holdDue = now;
        return;
    }
    if (worker->entry.bornMs != 0 && report.bornMs > worker->entry.bornMs) {
        this->reborn(*worker, report.bornMs, now);
    }
    if (report.bornMs != 0) {
        worker->entry.bornMs = std::max(worker->entry.bornMs, report.bornMs);
    }
    worker->forgotten = std::max(worker->forgotten, std::exchange(worker->forgetting, 0));
    const bool first = !worker->heard;
    worker->heard = true;
    worker->heardAt = now;
    this->zones.heard(worker->entry.zone, now);
    worker->sampleClock(report.clockMs, now);
    if (first) {
        worker->noteLeaseEnd(report.clockMs + this->bounds.longestLease.count());
        this->planNeeded = true;
    }
    ++this->reports;
    this->forgetStrays(*worker, report.running);
    for (const RunningTask &running : report.running) {
        this->applyRunning(*worker, running, now);
    }
    this->stopUnanswered(*worker, now);
    const std::uint64_t seenBefore = worker->seen;
    for (const EndedTask &ended : report.ended) {
        if (ended.number > seenBefore) {
            this->applyEnded(*worker, ended, now);
            worker->seen = std::max(worker->seen, ended.number);
        }
    }
    this->findMissing(*worker, report, sentAt, now);
    this->findStalled(*worker, now);
    this->adjustPace(*worker, now);
    const bool owesAcknowledgement = worker->seen > worker->acknowledged;
    if (owesAcknowledgement) {
        this->acknowledgeDirty = true;
    }
    // Until the record is durable a hold would return the same ends at once.
    worker->holdDue = now + (owesAcknowledgement ? holdWait : first ? Duration(0) : holdGap);
}

void Coordinator::stopUnanswered(WorkerState &worker, Instant now)
{
    std::erase_if(worker.unanswered, [&](const UnansweredStart &start) {
        return now - start.at > WorkerState::lateOrders;
    });
    for (const UnansweredStart &start : worker.unanswered) {
        if (start.stoppedIn != worker.life) {
            this->sendStop(worker, start.task, start.run);
        }
    }
}

void Coordinator::applyRunning(WorkerState &worker, const RunningTask &running, Instant now)
{
    Job *job = this->table.find(running.task.job);
    Task *task = job ? job->task(running.task) : nullptr;
    const bool known = task && task->worker == worker.entry.id.value() && task->run == running.run;
    if (!known) {
        StrayRun &stray = this->strays[{running.task, worker.entry.id.value()}];
        if (stray.run != running.run || now - stray.stoppedAt > strayStopGap) {
            stray = StrayRun{running.run, now};
            this->sendStop(worker, running.task, running.run);
        }
        return;
    }
    if (running.percent != task->percent || running.checkpoint != task->checkpoint) {
        task->progressAt = now;
    }
    task->listed = true;
    task->lastListedIn = this->reports;
    task->percent = running.percent;
    task->checkpoint = running.checkpoint;
    task->figure = running.figure;
    if (task->phase == TaskPhase::Unconfirmed && job->stepSpec(running.task.step).fills()) {
        // A former coordinator may have slowed it.
        this->setPace(worker, running.task, *task, 100, now);
    }
    if (task->phase == TaskPhase::Unconfirmed || task->phase == TaskPhase::Starting) {
        task->phase = TaskPhase::Running;
        task->since = now;
        task->progressAt = now;
        this->starts.erase(running.task);
        if (job->closed()) {
            this->stopTask(running.task, *task, now);
        }
    }
}

void Coordinator::forgetStrays(const WorkerState &worker, const std::vector<RunningTask> &listed)
{
    const std::size_t forgotten = std::erase_if(this->strays, [&](const auto &entry) {
        return entry.first.second == worker.entry.id.value() &&
               std::none_of(listed.begin(), listed.end(), [&](const RunningTask &running) {
                   return running.task == entry.first.first;
               });
    });
    this->planNeeded = this->planNeeded || forgotten > 0;
}

bool Coordinator::runsAstray(const TaskRef &ref, Instant now) const
{
    return std::any_of(this->strays.lower_bound({ref, {}}), this->strays.upper_bound({ref, lastId}),
                       [&](const auto &entry) {
                           const auto worker = this->workers.find(entry.first.second);
                           return worker != this->workers.end() &&
                                  now <= worker->second->lapsesAt(this->bounds);
                       });
}

void Coordinator::applyEnded(WorkerState &worker, const EndedTask &ended, Instant now)
{
    Job *job = this->table.find(ended.task.job);
    Task *task = job ? job->task(ended.task) : nullptr;
    if (!task || task->phase == TaskPhase::Done) {
        return;
    }
    if (task->worker != worker.entry.id.value() || task->run != ended.run) {
        this->applyStrayEnd(*job, ended, *task, now);
        return;
    }
    if (!ended.checkpoint.empty()) {
        task->checkpoint = ended.checkpoint;
    }
    switch (ended.how) {
    case RunEnd::Done:
        worker.failedJobs.clear();
        worker.restCount = 0;
        this->finishTask(*job, ended.task, *task, now);
        break;
    case RunEnd::Failed:
        this->noteFailure(worker, job->id(), now);
        this->failTask(*job, ended.task, *task, now);
        break;
    case RunEnd::Stopped:
        this->returnTask(*job, ended.task, *task, RunOutcome::Stopped, now);
        break;
    case RunEnd::Lapsed:
        this->returnTask(*job, ended.task, *task, RunOutcome::Lapsed, now);
        break;
    case RunEnd::Broken:
        this->returnTask(*job, ended.task, *task, RunOutcome::Broken, now);
        break;
    case RunEnd::Alone:
        this->returnTask(*job, ended.task, *task, RunOutcome::Alone, now);
        break;
    }
}

void Coordinator::applyStrayEnd(Job &job, const EndedTask &ended, Task &task, Instant now)
{
    const jobs::StepSpec &step = job.stepSpec(ended.task.step);
    if (step.long_running() || job.closed()) {
        return;
    }
    // A late start began the run; its end is acknowledged with the others and so has to count.
    if (ended.how == RunEnd::Done) {
        this->finishTask(job, ended.task, task, now);
    } else if (ended.how == RunEnd::Failed &&
               this->countFailure(job, ended.task, task, ended.run)) {
        this->closeJob(job, Job::State::FAILED, now);
    }
}

void Coordinator::findMissing(WorkerState &worker, const WorkerReport &report, Instant sentAt,
                              Instant now)
{
    if (report.ended.size() >= endedPage) {
        return;
    }
    std::vector<std::pair<TaskRef, Job *>> missing;
    for (const auto &[ref, job] : worker.tasks) {
        if (job->task(ref)->lastListedIn != this->reports) {
            missing.emplace_back(ref, job);
        }
    }
    for (const auto &[ref, job] : missing) {
        if (!worker.tasks.contains(ref)) {
            continue;
        }
        Task &task = *job->task(ref);
        if (task.phase == TaskPhase::Unconfirmed ||
            (task.phase == TaskPhase::Running && task.since < sentAt)) {
            this->returnTask(*job, ref, task, RunOutcome::Lost, now);
            continue;
        }
        const auto stop = this->stops.find(ref);
        if (task.phase == TaskPhase::Stopping && stop != this->stops.end() &&
            stop->second.acknowledged && stop->second.acknowledgedAt < sentAt) {
            this->returnTask(*job, ref, task, RunOutcome::Stopped, now);
        }
    }
}

void Coordinator::findStalled(WorkerState &worker, Instant now)
{
    std::vector<std::pair<TaskRef, Job *>> stalled;
    for (const auto &[ref, job] : worker.tasks) {
        const Task &task = *job->task(ref);
        const jobs::StepSpec &step = job->stepSpec(ref.step);
        const bool working = task.phase == TaskPhase::Running && !step.gang() && task.pace == 100 &&
                             (!step.long_running() || task.percent < 100);
        const Duration limit = stallTime + Duration(step.estimated_ms() / 10);
        if (working && now - task.progressAt > limit) {
            stalled.emplace_back(ref, job);
        }
    }
    for (const auto &[ref, job] : stalled) {
        if (this->mayInterrupt(*job, ref)) {
            this->noteFailure(worker, job->id(), now);
            this->stopTask(ref, *job->task(ref), now);
        }
    }
}

void Coordinator::loseWorker(WorkerState &worker, Instant now)
{
    const std::map<TaskRef, Job *> placed = worker.tasks;
    for (const auto &[ref, job] : placed) {
        if (worker.tasks.contains(ref)) {
            this->returnTask(*job, ref, *job->task(ref), RunOutcome::WorkerGone, now);
        }
    }
}

void Coordinator::reborn(WorkerState &worker, std::int64_t bornMs, Instant now)
{
    this->observer.workerReborn(worker.entry.id);
    worker.entry.bornMs = bornMs;
    this->forgetStrays(worker, {});
    ++worker.life;
    worker.seen = 0;
    worker.acknowledged = 0;
    worker.forgotten = 0;
    worker.forgetting = 0;
    const std::map<TaskRef, Job *> placed = worker.tasks;
    for (const auto &[ref, job] : placed) {
        if (!worker.tasks.contains(ref)) {
            continue;
        }
        Task &task = *job->task(ref);
        const auto start = this->starts.find(ref);
        const bool underWay = start != this->starts.end() && start->second.inFlight;
        // The new life may have taken the start before it was known, and its answer tells no life.
        const bool takenByEither = task.phase != TaskPhase::Recording && !task.listed;
        // A start that may still be carried out by the new life has to be stopped there first.
        if (underWay || task.startMayArriveLate || takenByEither) {
            this->stopTask(ref, task, now);
        } else if (task.phase != TaskPhase::Recording) {
            this->returnTask(*job, ref, task, RunOutcome::WorkerGone, now);
        }
    }
    worker.heard = false;
    worker.unheardLapse = now + WorkerState::lateOrders + this->bounds.longestLease;
    worker.holdDue = now;
}

void Coordinator::stopOfEarlierLives(WorkerState &worker, Instant now)
{
    const std::map<TaskRef, Job *> placed = worker.tasks;
    for (const auto &[ref, job] : placed) {
        Task &task = *job->task(ref);
        if (task.workerIncarnationStartMs != 0 &&
            task.workerIncarnationStartMs < worker.entry.bornMs) {
            this->stopTask(ref, task, now);
            worker.unheardLapse = now + WorkerState::lateOrders + this->bounds.longestLease;
        }
    }
}

void Coordinator::noteFailure(WorkerState &worker, const JobId &job, Instant now)
{
    worker.failedJobs.insert(job.value());
    if (worker.failedJobs.size() < failuresToRest) {
        return;
    }
    const std::int64_t factor = std::int64_t(1) << std::min(worker.restCount, 4U);
    ++worker.restCount;
    // One more failure after the rest begins the next.
    worker.failedJobs = {job.value()};
    this->rest(worker, std::min(failureRest * factor, longestRest), now);
}

void Coordinator::rest(WorkerState &worker, Duration length, Instant now)
{
    worker.restUntil = std::max(worker.restUntil, now + length);
    if (length >= failureRest) {
        this->observer.workerRests(worker.entry.id, length);
    }
}

std::vector<JobRecord> Coordinator::takeBatch()
{
    std::vector<JobRecord> records;
    for (Job *job : this->dirty) {
        JobRecord record;
        record.key = JobTable::progressKey(job->id());
        record.value = job->toProgress().SerializeAsString();
        records.push_back(std::move(record));
        this->inRecords.push_back(job);
    }
    this->dirty.clear();
    this->inBatch = std::move(this->recording);
    this->recording.clear();
    for (const auto &[id, worker] : this->workers) {
        if (worker->seen > worker->acknowledged) {
            this->acknowledging.push_back({id, worker->life, worker->seen});
        }
    }
    this->acknowledgeDirty = false;
    return records;
}

std::vector<JobRecord> Coordinator::takeStatuses()
{
    std::vector<JobRecord> records;
    for (Job *job : this->untold) {
        jobs::JobStatus status;
        status.set_state(job->state);
        JobRecord record;
        record.key = JobTable::statusKey(job->id());
        record.value = status.SerializeAsString();
        records.push_back(std::move(record));
        this->telling.emplace_back(job, job->state);
    }
    this->untold.clear();
    return records;
}

void Coordinator::statusesStored()
{
    for (const auto &[job, state] : this->telling) {
        job->applyStatus(state);
    }
    this->telling.clear();
}

void Coordinator::committed(Instant now, bool maySend)
{
    for (Job *job : this->inRecords) {
        if (!job->closed() || this->dirty.contains(job)) {
            continue;
        }
        const bool placed =
            std::any_of(job->stepRuns().begin(), job->stepRuns().end(), [](const auto &entry) {
                return std::any_of(entry.second.tasks.begin(), entry.second.tasks.end(),
                                   [](const Task &task) { return !task.worker.empty(); });
            });
        if (!placed) {
            this->open.erase(job);
            job->dropTasks();
            this->advice.forget(job->id());
        }
    }
    this->inRecords.clear();
    for (const Acknowledgement &made : this->acknowledging) {
        WorkerState *worker = this->findWorker(WorkerId(made.worker));
        if (worker && worker->life == made.life) {
            worker->acknowledged = std::max(worker->acknowledged, made.number);
            worker->holdDue = std::min(worker->holdDue, now);
        }
    }
    this->acknowledging.clear();
    const std::vector<RecordedStart> ready = std::move(this->inBatch);
    this->inBatch.clear();
    for (const RecordedStart &start : ready) {
        Job *job = this->table.find(start.ref.job);
        Task *task = job ? job->task(start.ref) : nullptr;
        if (!task || task->phase != TaskPhase::Recording || task->run != start.run) {
            continue;
        }
        if (!maySend || this->startsHeld || this->runsAstray(start.ref, now)) {
            this->returnTask(*job, start.ref, *task, RunOutcome::Refused, now);
            continue;
        }
        task->phase = TaskPhase::Starting;
        task->since = now;
        this->sendStart(*job, start.ref, *task, now);
    }
}

} // namespace godwitfall
