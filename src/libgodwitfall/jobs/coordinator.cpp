#include "coordinator.h"

#include <algorithm>
#include <array>
#include <utility>

namespace godwitfall {

namespace {

constexpr std::array<const char *, 9> outcomeNames = {
    "done", "failed", "stopped", "lapsed", "broken", "alone", "lost", "refused", "worker_gone"};

constexpr std::array<const char *, 7> dropNames = {
    "zone_evacuated", "draining", "service", "label", "step_bound", "capacity", "orphan_run"};

/** Pause before an orphan run is stopped again. */
constexpr Duration orphanStopGap{1000};
/** Sorts after the id of any worker; ids are printable. */
constexpr const char *lastId = "\x7f";
/** Ends that a worker lists in one report; a full list may omit newer ones; set by the platform. */
constexpr std::size_t endedPage = 500;

} // namespace

const char *toText(RunOutcome outcome)
{
    return outcomeNames.at(static_cast<std::size_t>(outcome));
}

const char *toText(DropReason reason)
{
    return dropNames.at(static_cast<std::size_t>(reason));
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
    , startLimit(bounds.openStarts)
{}

void Coordinator::begin(std::uint64_t newEpoch, Instant now, std::int64_t newUnixMs, Instant lapse,
                        const SilentWorkers &silent)
{
    this->end();
    this->unixMs = newUnixMs;
    this->begunAt = now;
    this->adopted = AdoptedTasks();
    this->epoch = newEpoch;
    this->formerLeasesLapse = lapse;
    this->interference.restore(this->table.pressures());
    for (const auto &[id, job] : this->table.all()) {
        this->adopt(*job, now);
    }
    for (const auto &[id, worker] : this->workers) {
        if (const auto known = silent.find(id); known != silent.end()) {
            worker->earlierLeasesLapse = known->second;
            worker->adoptedSilent = true;
        }
        this->stopRunsOfEarlierIncarnations(*worker, now);
    }
    for (const auto &[id, job] : this->table.all()) {
        if (job->cancelled && !job->closed()) {
            this->jobCancelled(*job, now);
        }
    }
    this->planNeeded = true;
}

SilentWorkers Coordinator::silentWorkers(Instant now) const
{
    SilentWorkers silent;
    for (const std::string &id : this->lapsedWorkers) {
        silent[id] = now;
    }
    for (const auto &[id, worker] : this->workers) {
        if (worker->responded && now - worker->lastSeenAt <= PlacementPolicy::responseTimeout) {
            silent.erase(id);
        } else if (!worker->tasks.empty()) {
            silent[id] = worker->lapsesAt(this->bounds);
        }
    }
    return silent;
}

SilentWorkers Coordinator::announceSilent(Instant now)
{
    // Before, nearly all workers have yet to reply for the first time.
    const bool firstReplies = now - this->begunAt < renewalTimeout;
    SilentWorkers silent;
    for (const auto &[id, worker] : this->workers) {
        const bool replies = worker->responded && now - worker->lastSeenAt < renewalTimeout;
        const bool counts = !firstReplies || worker->adoptedSilent || worker->responded;
        if (!replies && counts && !worker->tasks.empty()) {
            silent[id] = worker->lapsesAt(this->bounds);
            worker->announcedSilent = true;
            worker->withdrawalInFlight = false;
        } else {
            worker->withdrawalInFlight = worker->announcedSilent;
        }
    }
    return silent;
}

void Coordinator::silentAnnounced()
{
    for (const auto &[id, worker] : this->workers) {
        if (std::exchange(worker->withdrawalInFlight, false)) {
            worker->announcedSilent = false;
            worker->holdDue = std::min(worker->holdDue, worker->lastSeenAt);
            this->planNeeded = true;
        }
    }
}

bool Coordinator::announcementOutdated(Instant now) const
{
    return std::any_of(this->workers.begin(), this->workers.end(), [&](const auto &entry) {
        const WorkerState &worker = *entry.second;
        return worker.announcedSilent && !worker.withdrawalInFlight && worker.responded &&
               now - worker.lastSeenAt < renewalTimeout;
    });
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
    this->resumedAt = Instant();
    this->starts.clear();
    this->startLimit.reset();
    this->stops.clear();
    this->orphanedTasks.clear();
    this->silentCrashes.clear();
    this->advice.clear();
    this->dirty.clear();
    this->removals.clear();
    this->unrecordedStarts.clear();
    this->lapsedWorkers.clear();
    this->recording.clear();
    this->inBatch.clear();
    this->inRecords.clear();
    this->unpublished.clear();
    this->publishing.clear();
    this->acknowledging.clear();
    this->acknowledgeDirty = false;
    this->fencedByWorker = false;
    this->pausesStarts = false;
    this->searches = 0;
    this->workOfQueues.clear();
    this->shortServices.clear();
}

void Coordinator::pauseStarts(bool pause)
{
    this->planNeeded = this->planNeeded || this->pausesStarts;
    this->pausesStarts = pause;
}

void Coordinator::countWork(const Job &job)
{
    QueueWork &queue = this->workOfQueues[job.spec().queue()];
    queue.sum += static_cast<double>(job.estimatedWork());
    queue.jobs += 1.0;
}

void Coordinator::adopt(Job &job, Instant now)
{
    this->countWork(job);
    const bool isPublished = job.published == job.state;
    if (job.closed() && (job.state != Job::State::COMPLETED || !isPublished)) {
        this->observer.closedJobAdopted(job);
    }
    bool placed = false;
    for (auto &[key, run] : job.stepRuns()) {
        for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
            Task &task = run.tasks[index];
            const TaskRef ref{job.id(), run.occurrence, run.step, index};
            for (CrashedRun &crash : task.crashedRuns) {
                // By a clock that was ahead or set back since, it was counted just now at the
                // latest.
                const std::int64_t ageMs =
                    std::max<std::int64_t>(0, this->unixMs - crash.countedMs);
                crash.countedAt = crash.countedMs == 0 ? Instant() : now - Duration(ageMs);
                if (crash.sign == jobs::LEASES_LAPSED) {
                    this->silentCrashes[crash.worker].push_back(ref);
                }
            }
            if (!task.crashedRuns.empty() && !job.closed()) {
                this->reportHoldBack(job, ref, now);
            }
            if (task.worker.empty()) {
                continue;
            }
            placed = true;
            ++this->adopted.placed;
            this->adopted.unconfirmed += task.startTaken ? 0 : 1;
            auto &worker = this->workers[task.worker];
            if (!worker) {
                WorkerEntry unknown;
                unknown.id = WorkerId(task.worker);
                worker = std::make_unique<WorkerState>(std::move(unknown));
                worker->listed = false;
                worker->earlierLeasesLapse = this->formerLeasesLapse;
                this->poolsStale = true;
            }
            worker->incarnationStartMs =
                std::max(worker->incarnationStartMs, task.workerIncarnationStartMs);
            worker->assign(ref, job);
        }
    }
    if (!job.closed() || placed) {
        this->open.insert(&job);
    } else {
        job.dropTasks();
        this->removeParts(job);
    }
    if (job.wholeRecordOfParts && !job.stepRuns().empty()) {
        job.wholeRecordOfParts = false;
        this->markDirty(job);
        for (const auto &[key, run] : job.stepRuns()) {
            for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
                job.changedParts.insert(
                    job.partOf(TaskRef{job.id(), run.occurrence, run.step, index}));
            }
        }
    }
    if (!job.closed() && !job.cancelled) {
        this->unplaced.insert(&job);
    }
    // The record that its first task began may have been lost with the former coordinator.
    if (job.published == Job::State::RUNNING || job.hasBegun()) {
        this->noteBegun(job);
    }
    if (job.closed() && job.finishedMs == 0) {
        // Its final state was published before its progress was written.
        job.finishedMs = std::max<std::int64_t>(1, this->unixMs);
    }
    this->publishState(job);
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
        worker->earlierLeasesLapse = this->formerLeasesLapse;
        worker->holdDue = now;
    }
    const std::int64_t previousStartMs = worker->incarnationStartMs;
    if (worker->entryIsCurrent() && entry.incarnationStartMs != previousStartMs &&
        worker->hadIncarnation(entry.incarnationStartMs)) {
        // A late entry of a former incarnation tells nothing of the present one.
        return;
    }
    worker->wasDraining = worker->entry.draining;
    worker->entry = entry;
    worker->zoneEvacuated = this->evacuatedZones.contains(entry.zone);
    worker->coldUntil = entry.coldRemaining > Duration(0) ? now + entry.coldRemaining : Instant();
    worker->listed = true;
    this->poolsStale = true;
    if (worker->entry.draining) {
        this->endWatches(*worker);
    }
    if (previousStartMs == 0) {
        worker->incarnationStartMs = entry.incarnationStartMs;
    } else if (entry.incarnationStartMs > previousStartMs &&
               !worker->hadIncarnation(entry.incarnationStartMs)) {
        this->applyRestart(*worker, entry.incarnationStartMs, now);
    } else if (entry.incarnationStartMs != previousStartMs) {
        // A late entry of an earlier incarnation, or the worker's clock was set back. Its next
        // reply tells.
        worker->holdDue = std::min(worker->holdDue, now);
    }
    this->planNeeded = true;
}

void Coordinator::removeWorker(const WorkerId &id, Instant now)
{
    if (WorkerState *worker = this->findWorker(id)) {
        worker->listed = false;
        this->poolsStale = true;
        worker->holdDue = std::min(worker->holdDue, now + unresponsiveHoldGap);
    }
}

void Coordinator::setEvacuatedZones(const std::set<ZoneId> &evacuated, Instant now)
{
    this->evacuatedZones = evacuated;
    for (const auto &[id, worker] : this->workers) {
        worker->zoneEvacuated = evacuated.contains(worker->entry.zone);
    }
    this->planNeeded = true;
    this->dropEvacuatedStarts(now);
}

bool Coordinator::isEvacuated(const WorkerId &id) const
{
    const auto found = this->workers.find(id.value());
    return found != this->workers.end() && found->second->zoneEvacuated;
}

std::size_t Coordinator::workersOf(const ZoneId &zone) const
{
    return static_cast<std::size_t>(
        std::count_if(this->workers.begin(), this->workers.end(), [&](const auto &entry) {
            return entry.second->listed && entry.second->entry.zone == zone;
        }));
}

void Coordinator::jobSubmitted(Job &job)
{
    this->countWork(job);
    this->open.insert(&job);
    this->unplaced.insert(&job);
    this->planNeeded = true;
}

void Coordinator::jobCancelled(Job &job, Instant now)
{
    if (!job.closed()) {
        this->closeJob(job, Job::State::CANCELLED, JobEnd{JobEndReason::Cancelled, {}, {}, {}},
                       now);
    }
}

void Coordinator::noteFenced(const WorkerId &id)
{
    this->fencedByWorker = this->active();
    this->observer.orderFenced(id);
}

void Coordinator::markDirty(Job &job)
{
    job.summaryChanged = true;
    this->dirty.insert(&job);
}

void Coordinator::markDirty(Job &job, const TaskRef &ref)
{
    if (job.inParts()) {
        job.changedParts.insert(job.partOf(ref));
    }
    this->dirty.insert(&job);
}

void Coordinator::removeParts(Job &job)
{
    for (const std::uint32_t part : std::exchange(job.storedParts, {})) {
        this->removals.push_back(JobTable::partKey(job.id(), part));
    }
}

void Coordinator::noteBegun(Job &job)
{
    if (job.state == Job::State::QUEUED) {
        job.state = Job::State::RUNNING;
        this->publishState(job);
    }
}

void Coordinator::publishState(Job &job)
{
    if (job.state != job.published) {
        this->unpublished.insert(&job);
    }
}

// Worker reports

void Coordinator::holdAnswered(const WorkerId &id, Instant sentAt, Instant now,
                               OrderOutcome outcome, const WorkerReport &report)
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
    if (outcome == OrderOutcome::OtherIncarnation) {
        this->returnTasksOf(*worker, now);
        worker->responded = false;
        worker->earlierLeasesLapse = now;
        worker->holdDue = now + unresponsiveHoldGap;
        return;
    }
    if (outcome != OrderOutcome::Accepted) {
        if (outcome == OrderOutcome::Unanswered || outcome == OrderOutcome::NotSent) {
            this->noteNoReply(*worker, sentAt);
        }
        worker->holdDue = now + unresponsiveHoldGap;
        return;
    }
    if (worker->hadIncarnation(report.incarnationStartMs)) {
        // A reply of an earlier incarnation does not describe the current one.
        worker->holdDue = now + holdGap;
        return;
    }
    if (worker->incarnationStartMs == 0) {
        worker->incarnationStartMs = report.incarnationStartMs;
    } else if (report.incarnationStartMs != 0 &&
               report.incarnationStartMs != worker->incarnationStartMs) {
        // One hold is in flight at a time, so the incarnation that replies is the newest.
        this->applyRestart(*worker, report.incarnationStartMs, now);
    }
    EndNumbers &ends = worker->ends;
    ends.discarded = std::max(ends.discarded, std::exchange(ends.discarding, 0));
    this->withdrawCrashes(*worker);
    const bool first = !worker->responded;
    worker->responded = true;
    worker->lastSeenAt = now;
    this->noteReply(*worker, sentAt, now);
    this->zones.responded(worker->entry.zone, now);
    worker->sampleClock(report.clockMs, now);
    if (first) {
        worker->noteLeaseEnd(report.clockMs + this->leaseLength().count());
        this->planNeeded = true;
    }
    ++this->reports;
    for (const RunningTask &running : report.running) {
        this->applyRunning(*worker, running, now);
    }
    this->removeEndedOrphans(*worker, sentAt, now);
    this->reportExceededBounds(*worker, report);
    const std::uint64_t appliedBefore = ends.applied;
    for (const EndedTask &ended : report.ended) {
        if (ended.number > appliedBefore) {
            this->applyEnded(*worker, ended, now);
            ends.applied = std::max(ends.applied, ended.number);
        }
    }
    this->returnMissing(*worker, report, sentAt, now);
    this->stopStalled(*worker, now);
    this->adjustPace(*worker, now);
    const bool owesAcknowledgement = ends.applied > ends.acknowledged;
    if (owesAcknowledgement) {
        this->acknowledgeDirty = true;
    }
    // Until the record is durable, a hold would return at once with the same ends.
    // No hold may renew leases either while the newest stored record calls the worker silent.
    const bool waits = owesAcknowledgement || worker->announcedSilent;
    worker->holdDue = now + (waits ? this->longestHold(now) : first ? Duration(0) : holdGap);
}

void Coordinator::applyRunning(WorkerState &worker, const RunningTask &running, Instant now)
{
    Job *job = this->table.find(running.task.job);
    Task *task = job ? job->task(running.task) : nullptr;
    const bool known = task && task->worker == worker.entry.id.value() && task->run == running.run;
    if (job) {
        this->noteBegun(*job);
    }
    if (!known) {
        this->applyOrphan(worker, job, RunRef{running.task, running.run}, now);
        return;
    }
    if (running.percent != task->percent || running.checkpoint != task->checkpoint) {
        task->progressAt = now;
    }
    task->listed = true;
    task->unlisted = false;
    task->lastListedIn = this->reports;
    task->percent = running.percent;
    task->checkpointAt = running.checkpoint != task->checkpoint ? now : task->checkpointAt;
    task->checkpoint = running.checkpoint;
    task->metric = running.metric;
    job->workedAt = task->pace > 0 ? now : job->workedAt;
    this->noteAtWork(worker, *job, running.task, *task, now);
    if (task->phase == TaskPhase::Unconfirmed && job->stepSpec(running.task.step).fills()) {
        // A former coordinator may have lowered its pace.
        this->setPace(worker, running.task, *task, 100, now);
    }
    if (task->phase == TaskPhase::Unconfirmed || task->phase == TaskPhase::Starting) {
        const bool confirmed = std::exchange(task->startTaken, true);
        task->phase = TaskPhase::Running;
        task->since = now;
        task->progressAt = now;
        this->starts.erase(running.task);
        if (!confirmed) {
            this->confirmStart(*job, running.task, now);
        }
        if (job->closed()) {
            this->stopTask(running.task, *task, now);
        }
    }
    this->noteProbeAtWork(worker, running.task, *task, now);
}

void Coordinator::reportExceededBounds(WorkerState &worker, const WorkerReport &report)
{
    std::map<StepRef, std::set<std::uint32_t>> listed;
    for (const RunningTask &running : report.running) {
        const TaskRef &ref = running.task;
        Job *job = this->table.find(ref.job);
        if (job && job->task(ref) && job->stepSpec(ref.step).max_per_worker() > 0) {
            listed[StepRef{ref.job, ref.occurrence, ref.step}].insert(ref.index);
        }
    }
    std::set<StepRef> exceeded;
    for (const auto &[step, indexes] : listed) {
        if (indexes.size() <= this->table.find(step.job)->stepSpec(step.step).max_per_worker()) {
            continue;
        }
        exceeded.insert(step);
        if (!worker.exceededBounds.contains(step)) {
            this->observer.stepBoundExceeded(step, indexes.size(), worker);
        }
    }
    worker.exceededBounds = std::move(exceeded);
}

void Coordinator::applyOrphan(WorkerState &worker, const Job *job, const RunRef &run, Instant now)
{
    const bool known = worker.orphans.contains(run);
    const bool hasStep = job && static_cast<int>(run.task.step) < job->spec().steps_size();
    OrphanRun &orphan =
        worker.setOrphan(run, hasStep ? reservedBy(job->stepSpec(run.task.step)) : Resources());
    orphan.lastListedIn = this->reports;
    if (!known) {
        this->orphanedTasks.emplace(run.task, worker.entry.id.value());
        this->observer.unplacedRunListed(run.task, run.run, worker, std::nullopt);
    }
    if (!known || now - orphan.stopSentAt > orphanStopGap) {
        this->stopOrphan(worker, run, orphan, now);
    }
}

void Coordinator::supersede(const Job &job, const TaskRef &ref, const Task &task,
                            std::uint32_t doneRun, Instant now)
{
    WorkerState *worker = this->findWorker(WorkerId(task.worker));
    const auto start = this->starts.find(ref);
    const bool tried =
        start != this->starts.end() && (start->second.inFlight || start->second.unanswered);
    const bool hasNotBegun =
        task.phase == TaskPhase::Recording || (task.phase == TaskPhase::Starting && !tried);
    // A worker that has not replied to this coordinator gets no starts before it lists its runs.
    if (!worker || !worker->responded || task.run == doneRun || hasNotBegun) {
        return;
    }
    this->observer.runSuperseded(ref, task.run, *worker, doneRun);
    const RunRef run{ref, task.run};
    OrphanRun &orphan = worker->setOrphan(run, reservedBy(job.stepSpec(ref.step)));
    this->orphanedTasks.emplace(ref, worker->entry.id.value());
    orphan.knownSince = now;
    orphan.lastListedIn = task.listed ? task.lastListedIn : 0;
    orphan.mayBeginUntil =
        task.startTaken || task.listed ? Instant() : now + this->longestLeasedRun();
    this->stopOrphan(*worker, run, orphan, now);
}

void Coordinator::stopOrphan(WorkerState &worker, const RunRef &run, OrphanRun &orphan, Instant now)
{
    orphan.stopSentAt = now;
    this->sendStop(worker, run.task, run.run);
}

void Coordinator::orphanStopped(WorkerState &worker, const RunRef &run, Instant now,
                                OrderOutcome outcome)
{
    const auto orphan = worker.orphans.find(run);
    if (orphan == worker.orphans.end()) {
        return;
    }
    if (isSettledStop(outcome)) {
        orphan->second.stoppedAt = now;
    }
}

void Coordinator::removeEndedOrphans(WorkerState &worker, Instant askedAt, Instant now)
{
    std::vector<RunRef> ended;
    for (auto &[run, orphan] : worker.orphans) {
        if (orphan.lastListedIn == this->reports) {
            continue;
        }
        if (orphan.endedIfUnlisted(askedAt)) {
            ended.push_back(run);
        } else if (orphan.stoppedAt == Instant() && now - orphan.stopSentAt > orphanStopGap) {
            this->stopOrphan(worker, run, orphan, now);
        }
    }
    for (const RunRef &run : ended) {
        this->removeOrphan(worker, run);
    }
}

void Coordinator::removeOrphans(WorkerState &worker)
{
    while (!worker.orphans.empty()) {
        this->removeOrphan(worker, RunRef(worker.orphans.begin()->first));
    }
}

void Coordinator::removeOrphan(WorkerState &worker, const RunRef &run)
{
    worker.removeOrphan(run);
    const auto other = worker.orphans.lower_bound(RunRef{run.task, 0});
    if (other == worker.orphans.end() || other->first.task != run.task) {
        this->orphanedTasks.erase({run.task, worker.entry.id.value()});
    }
    this->planNeeded = true;
}

bool Coordinator::hasOrphanRun(const TaskRef &ref, Instant now) const
{
    return std::any_of(this->orphanedTasks.lower_bound({ref, {}}),
                       this->orphanedTasks.upper_bound({ref, lastId}), [&](const auto &entry) {
                           const auto worker = this->workers.find(entry.second);
                           return worker != this->workers.end() &&
                                  now <= worker->second->lapsesAt(this->bounds);
                       });
}

void Coordinator::applyEnded(WorkerState &worker, const EndedTask &ended, Instant now)
{
    Job *job = this->table.find(ended.task.job);
    Task *task = job ? job->task(ended.task) : nullptr;
    if (job) {
        this->noteBegun(*job);
    }
    if (const RunRef run{ended.task, ended.run}; worker.orphans.contains(run)) {
        this->removeOrphan(worker, run);
    }
    if (!task || task->phase == TaskPhase::Done) {
        return;
    }
    if (task->worker != worker.entry.id.value() || task->run != ended.run) {
        this->observer.unplacedRunListed(ended.task, ended.run, worker, ended.how);
        this->applyOrphanEnd(*job, ended, *task, now);
        return;
    }
    if (!ended.checkpoint.empty()) {
        task->checkpoint = ended.checkpoint;
    }
    switch (ended.how) {
    case RunEnd::Done:
        // A run of before an ejection does not show that later ones succeed.
        if (!worker.onProbation || worker.probe == ended.task) {
            worker.noteSuccess();
        }
        this->finishTask(*job, ended.task, *task, ended.run, now);
        break;
    case RunEnd::Failed:
        this->recordFailure(worker, job->id(), *task, now);
        this->failTask(*job, ended.task, *task, now);
        break;
    case RunEnd::Stopped:
        this->returnTask(*job, ended.task, *task, RunOutcome::Stopped, now);
        break;
    case RunEnd::Lapsed:
        this->returnTask(*job, ended.task, *task, RunOutcome::Lapsed, now);
        break;
    case RunEnd::GangBroken:
        this->returnTask(*job, ended.task, *task, RunOutcome::GangBroken, now);
        break;
    case RunEnd::GangIncomplete:
        this->returnTask(*job, ended.task, *task, RunOutcome::GangIncomplete, now);
        break;
    }
}

void Coordinator::applyOrphanEnd(Job &job, const EndedTask &ended, Task &task, Instant now)
{
    const jobs::StepSpec &step = job.stepSpec(ended.task.step);
    if (step.long_running() || job.closed()) {
        return;
    }
    // A late start began the run. Its end is acknowledged with the others, after which the
    // worker discards it, so it has to be counted here.
    if (ended.how == RunEnd::Done) {
        this->finishTask(job, ended.task, task, ended.run, now);
    } else if (ended.how == RunEnd::Failed && this->countFailure(job, ended.task, ended.run)) {
        this->failJob(job, JobEndReason::AttemptsUsedUp, ended.task, now);
    }
}

void Coordinator::returnMissing(WorkerState &worker, const WorkerReport &report, Instant sentAt,
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
        const auto start = this->starts.find(ref);
        if (task.phase == TaskPhase::Starting && start != this->starts.end() &&
            task.startSentAt != Instant() && start->second.sentAt < sentAt) {
            task.unlisted = true;
        }
        const auto stop = this->stops.find(ref);
        if (task.phase == TaskPhase::Stopping && stop != this->stops.end() &&
            stop->second.acknowledged && stop->second.acknowledgedAt < sentAt) {
            this->returnTask(*job, ref, task, RunOutcome::Stopped, now);
        }
    }
}

void Coordinator::stopStalled(WorkerState &worker, Instant now)
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
            Task &task = *job->task(ref);
            this->recordFailure(worker, job->id(), task, now);
            this->stopTask(ref, task, now);
        }
    }
}

void Coordinator::returnTasksOf(WorkerState &worker, Instant now)
{
    const GivenUp toGiveUp = this->countCrash(worker, jobs::OTHER_INCARNATION, now);
    const std::map<TaskRef, Job *> placed = worker.tasks;
    for (const auto &[ref, job] : placed) {
        if (worker.tasks.contains(ref)) {
            this->returnTask(*job, ref, *job->task(ref), RunOutcome::WorkerGone, now);
        }
    }
    this->giveUp(toGiveUp, now);
}

void Coordinator::returnLapsedTasks(WorkerState &worker, Instant now)
{
    if (worker.tasks.empty() || now <= worker.lapsesAt(this->bounds)) {
        return;
    }
    // A worker that left as announced, was cut off with its zone, replies, or has not been asked
    // for long enough has not crashed.
    const bool crashed = !worker.entry.draining && !worker.zoneUnresponsive &&
                         now - std::max(worker.lastSeenAt, this->begunAt) > renewalTimeout;
    const GivenUp toGiveUp =
        crashed ? this->countCrash(worker, jobs::LEASES_LAPSED, now) : GivenUp();
    const std::map<TaskRef, Job *> placed = worker.tasks;
    for (const auto &[ref, job] : placed) {
        Task &task = *job->task(ref);
        if (worker.tasks.contains(ref)) {
            this->lapsedWorkers.insert(worker.entry.id.value());
            this->returnTask(*job, ref, task, RunOutcome::WorkerGone, now);
        }
    }
    this->giveUp(toGiveUp, now);
}

void Coordinator::applyRestart(WorkerState &worker, std::int64_t incarnationStartMs, Instant now)
{
    this->observer.workerRestarted(worker, incarnationStartMs);
    this->removeOrphans(worker);
    const GivenUp toGiveUp = this->countCrash(worker, jobs::OTHER_INCARNATION, now);
    const Instant formerLapse = worker.lapsesAt(this->bounds);
    worker.beginIncarnation(incarnationStartMs, now);
    const std::map<TaskRef, Job *> placed = worker.tasks;
    for (const auto &[ref, job] : placed) {
        if (!worker.tasks.contains(ref)) {
            continue;
        }
        Task &task = *job->task(ref);
        const auto start = this->starts.find(ref);
        const bool tried =
            start != this->starts.end() && (start->second.inFlight || start->second.unanswered);
        if (task.listed || (task.phase == TaskPhase::Starting && !tried)) {
            this->returnTask(*job, ref, task, RunOutcome::WorkerGone, now);
        } else if (task.phase != TaskPhase::Recording && task.placedEpoch != this->epoch) {
            // The entry may be of an earlier incarnation than the record, as clocks may be set
            // back.
            worker.earlierLeasesLapse = std::max(worker.earlierLeasesLapse, formerLapse);
            this->stopTask(ref, task, now);
        } else if (task.phase != TaskPhase::Recording) {
            // Starts are bound to an incarnation, so that the next one carries out none of them.
            this->stopEndedRun(ref, task, now);
        }
    }
    this->giveUp(toGiveUp, now);
}

void Coordinator::stopEndedRun(const TaskRef &ref, Task &task, Instant now)
{
    const auto stop = this->stops.find(ref);
    const bool isAwaited = stop != this->stops.end() && stop->second.returnAt != Instant();
    const Instant returnAt = isAwaited ? stop->second.returnAt : now + nextReportTime;
    this->stopTask(ref, task, now);
    this->stops[ref].returnAt = returnAt;
}

void Coordinator::returnEndedRuns(Instant now)
{
    std::vector<TaskRef> due;
    for (const auto &[ref, stop] : this->stops) {
        if (stop.returnAt != Instant() && now >= stop.returnAt) {
            due.push_back(ref);
        }
    }
    for (const TaskRef &ref : due) {
        Job *job = this->table.find(ref.job);
        Task *task = job ? job->task(ref) : nullptr;
        // Another member of its gang may have been returned before.
        if (task && this->stops.contains(ref) && !task->listed) {
            this->returnTask(*job, ref, *task, RunOutcome::WorkerGone, now);
        }
    }
}

void Coordinator::stopRunsOfEarlierIncarnations(WorkerState &worker, Instant now)
{
    const std::map<TaskRef, Job *> placed = worker.tasks;
    for (const auto &[ref, job] : placed) {
        Task &task = *job->task(ref);
        if (task.workerIncarnationStartMs != 0 &&
            task.workerIncarnationStartMs != worker.incarnationStartMs) {
            this->stopTask(ref, task, now);
        }
    }
}

void Coordinator::recordFailure(WorkerState &worker, const JobId &job, const Task &task,
                                Instant now)
{
    if (task.startSentAt < worker.failuresCountFrom) {
        // A run of before the ejection tells no more than those that led to it.
        return;
    }
    worker.failedJobs.insert(job.value());
    if (!worker.onProbation && worker.failedJobs.size() < failuresToEject) {
        return;
    }
    constexpr unsigned mostDoublings = 8;
    const std::int64_t factor = std::int64_t(1) << std::min(worker.ejectionCount, mostDoublings);
    ++worker.ejectionCount;
    worker.failedJobs = {job.value()};
    worker.onProbation = true;
    const Duration length = std::min(firstEjection * factor, this->longestEjection());
    worker.failuresCountFrom = now + length;
    this->eject(worker, length, now);
}

void Coordinator::noteProbeAtWork(WorkerState &worker, const TaskRef &ref, const Task &task,
                                  Instant now)
{
    const Duration atWork = now - task.since;
    if (worker.probe != ref || task.phase != TaskPhase::Running || atWork < probeTime) {
        return;
    }
    // A run at full pace has made some progress after this part (1/n) of its estimated time.
    constexpr std::int64_t progressDivisor = 50;
    const std::int64_t estimatedMs = this->table.find(ref.job)->stepSpec(ref.step).estimated_ms();
    const bool standsStill =
        task.percent == 0 && task.pace == 100 && atWork.count() > estimatedMs / progressDivisor;
    if (!standsStill) {
        worker.noteSuccess();
        this->planNeeded = true;
    }
}

void Coordinator::eject(WorkerState &worker, Duration length, Instant now)
{
    worker.ejectedUntil = std::max(worker.ejectedUntil, now + length);
    if (length >= firstEjection) {
        this->observer.workerEjected(worker.entry.id, length);
    }
}

std::vector<JobRecord> Coordinator::takeBatch()
{
    std::vector<JobRecord> records;
    for (Job *job : this->dirty) {
        this->addRecords(*job, records);
        this->inRecords.push_back(job);
    }
    this->dirty.clear();
    for (std::string &key : std::exchange(this->removals, {})) {
        records.emplace_back().key = std::move(key);
    }
    this->lapsedWorkers.clear();
    this->inBatch = std::move(this->recording);
    this->recording.clear();
    for (const auto &[id, worker] : this->workers) {
        if (worker->ends.applied > worker->ends.acknowledged) {
            this->acknowledging.push_back({id, worker->incarnation, worker->ends.applied});
        }
    }
    this->acknowledgeDirty = false;
    return records;
}

void Coordinator::addRecords(Job &job, std::vector<JobRecord> &records)
{
    const auto add = [&](std::string key, const jobs::JobProgress &progress) {
        JobRecord &record = records.emplace_back();
        record.key = std::move(key);
        record.value = progress.SerializeAsString();
    };
    const std::set<std::uint32_t> parts = std::exchange(job.changedParts, {});
    auto start = this->unrecordedStarts.lower_bound(TaskRef{job.id(), 0, 0, 0});
    while (start != this->unrecordedStarts.end() && start->job == job.id()) {
        const bool recorded = !job.inParts() || parts.contains(job.partOf(*start));
        start = recorded ? this->unrecordedStarts.erase(start) : std::next(start);
    }
    const bool summaryChanged = std::exchange(job.summaryChanged, false);
    if (!job.inParts()) {
        add(JobTable::progressKey(job.id()), job.toProgress());
        return;
    }
    // What a closed job no longer needs is removed after the record that says that it is closed.
    if (summaryChanged && job.closed()) {
        add(JobTable::progressKey(job.id()), job.toSummary());
    }
    for (const std::uint32_t part : parts) {
        const jobs::JobProgress progress = job.toPartProgress(part);
        if (progress.steps_size() > 0) {
            add(JobTable::partKey(job.id(), part), progress);
            job.storedParts.insert(part);
        } else if (job.storedParts.erase(part) > 0) {
            records.emplace_back().key = JobTable::partKey(job.id(), part);
        }
    }
    // Until it is stored, a record of all tasks by an earlier version counts.
    if (summaryChanged && !job.closed()) {
        add(JobTable::progressKey(job.id()), job.toSummary());
    }
}

std::vector<JobRecord> Coordinator::takeStatuses()
{
    std::vector<JobRecord> records;
    for (Job *job : this->unpublished) {
        JobRecord record;
        record.key = JobTable::statusKey(job->id());
        record.value = job->toStatus().SerializeAsString();
        records.push_back(std::move(record));
        this->publishing.emplace_back(job, job->state);
    }
    this->unpublished.clear();
    return records;
}

void Coordinator::statusesStored()
{
    for (const auto &[job, state] : this->publishing) {
        job->applyStatus(state);
    }
    this->publishing.clear();
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
            this->removeParts(*job);
            this->advice.remove(job->id());
        }
    }
    this->inRecords.clear();
    for (const Acknowledgement &made : this->acknowledging) {
        WorkerState *worker = this->findWorker(WorkerId(made.worker));
        if (worker && worker->incarnation == made.incarnation) {
            worker->ends.acknowledged = std::max(worker->ends.acknowledged, made.number);
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
        // A record that names a former incarnation would have successors wait for the wrong one.
        const WorkerState *worker = this->findWorker(WorkerId(task->worker));
        const bool restarted =
            worker && worker->incarnationStartMs != task->workerIncarnationStartMs;
        if (worker && worker->zoneEvacuated) {
            this->dropStart(*job, start.ref, *task, *worker, DropReason::ZoneEvacuated, now);
            continue;
        }
        if (!maySend || this->pausesStarts || restarted) {
            this->returnTask(*job, start.ref, *task, RunOutcome::Refused, now);
            continue;
        }
        task->phase = TaskPhase::Starting;
        task->since = now;
        this->sendStart(*job, start.ref, *task, now);
    }
}

} // namespace godwitfall
