// Tasks under which workers crash: counting, clearing and giving up.
#include "coordinator.h"

#include <algorithm>

namespace godwitfall {

TaskRef Coordinator::countedRef(const Job &job, const TaskRef &ref)
{
    const std::uint32_t index = job.stepSpec(ref.step).gang() ? 0 : ref.index;
    return TaskRef{ref.job, ref.occurrence, ref.step, index};
}

Task &Coordinator::countedTask(Job &job, const TaskRef &ref)
{
    return job.stepRun(ref.occurrence, ref.step).tasks[countedRef(job, ref).index];
}

bool Coordinator::mayBeCause(const WorkerState &worker, const TaskRef &ref, const Task &task) const
{
    if (task.harmless) {
        return false;
    }
    switch (task.phase) {
    case TaskPhase::Running:
        return true;
    case TaskPhase::Starting: {
        // A start that certainly did not reach the worker has done nothing there.
        const auto start = this->starts.find(ref);
        return start != this->starts.end() && (start->second.unanswered || start->second.inFlight);
    }
    case TaskPhase::Stopping:
        // It was at work when the worker closed its connections, and is stopped for that.
        return !task.listed || (worker.closedAt != Instant() && worker.closedAt <= task.since);
    case TaskPhase::Unconfirmed:
        return this->unixMs - task.placedMs < adoptedHarmlessAge.count();
    case TaskPhase::Waiting:
    case TaskPhase::Recording:
    case TaskPhase::Done:
        break;
    }
    return false;
}

std::vector<std::pair<TaskRef, Job *>> Coordinator::causesOfCrash(const WorkerState &worker) const
{
    std::vector<std::pair<TaskRef, Job *>> begun;
    std::int64_t latestMs = 0;
    for (const auto &[ref, job] : worker.tasks) {
        const Task &task = *job->task(ref);
        if (this->mayBeCause(worker, ref, task)) {
            begun.emplace_back(ref, job);
            latestMs = task.startTaken ? std::max(latestMs, task.placedMs) : latestMs;
        }
    }
    // Of a start that had no reply nothing tells whether the worker crashed before it or after.
    std::erase_if(begun, [&](const auto &entry) {
        const Task &task = *entry.second->task(entry.first);
        return task.startTaken && task.placedMs < latestMs - crashDelay.count();
    });
    return begun;
}

jobs::CrashEvidence Coordinator::evidenceOfClosing(const WorkerState &worker, const Task &task,
                                                   bool replacedAtOnce)
{
    if (worker.entry.draining || worker.wasDraining || task.unlisted) {
        return jobs::POSSIBLE;
    }
    // A process that crashes closes its connections and refuses the next one, until another
    // incarnation replies; on a path that is cut they stay silent. A run that had ended before
    // would have been reported, as the worker replied until then.
    const bool closed = worker.closedAt != Instant() && worker.closedAt >= task.startSentAt &&
                        worker.closedAt - worker.repliedNotBefore <= contactGap &&
                        (worker.closedAgain || replacedAtOnce);
    if (closed && task.startTaken) {
        return jobs::CERTAIN;
    }
    const bool justSent =
        task.startSentAt != Instant() && worker.closedAt - task.startSentAt <= crashDelay;
    return closed && justSent ? jobs::LIKELY : jobs::POSSIBLE;
}

jobs::CrashEvidence Coordinator::evidenceOf(const WorkerState &worker, const Task &task,
                                            jobs::CrashSign sign, Instant now)
{
    if (worker.entry.draining || worker.wasDraining || task.unlisted) {
        return jobs::POSSIBLE;
    }
    const bool replacedAtOnce =
        sign == jobs::OTHER_INCARNATION && now - worker.closedAt <= contactGap;
    const jobs::CrashEvidence closing =
        std::max(task.closing, evidenceOfClosing(worker, task, replacedAtOnce));
    if (closing != jobs::POSSIBLE) {
        return closing;
    }
    const bool silent = task.startSentAt == Instant()
                            ? task.phase == TaskPhase::Unconfirmed
                            : worker.repliedAt - task.startSentAt <= contactGap;
    return sign == jobs::OTHER_INCARNATION && task.watched && silent ? jobs::SILENT
                                                                     : jobs::POSSIBLE;
}

void Coordinator::setClosing(WorkerState &worker, bool refuted)
{
    for (const TaskRef &ref : worker.suspects) {
        Job &job = *worker.tasks.at(ref);
        Task &task = *job.task(ref);
        // What a former coordinator saw counts until it is refuted.
        const jobs::CrashEvidence closing =
            refuted ? jobs::POSSIBLE
                    : std::max(task.closing, evidenceOfClosing(worker, task, false));
        if (task.watched && task.closing != closing) {
            task.closing = closing;
            this->markDirty(job, ref);
        }
    }
}

Instant Coordinator::receivedNotBefore(Instant now) const
{
    const Instant tickedLast = std::max(this->tickedAt, this->begunAt);
    if (now - tickedLast > longestProcessingGap) {
        return tickedLast;
    }
    const bool resumed = this->resumedAt != Instant() && now - this->resumedAt < backlogTime;
    return resumed ? this->pausedAt : now;
}

void Coordinator::endWatches(WorkerState &worker)
{
    for (const TaskRef &ref : worker.suspects) {
        Job &job = *worker.tasks.at(ref);
        Task &task = *job.task(ref);
        if (task.watched) {
            task.watched = false;
            task.closing = jobs::POSSIBLE;
            this->markDirty(job, ref);
        }
    }
}

void Coordinator::noteReply(WorkerState &worker, Instant sentAt, Instant now)
{
    worker.noteReply(sentAt, this->receivedNotBefore(now), now);
    if (worker.closedAt == Instant()) {
        this->setClosing(worker, true);
    }
}

void Coordinator::noteNoReply(WorkerState &worker, Instant sentAt)
{
    if (worker.noteNoReply(sentAt)) {
        this->setClosing(worker, true);
    }
}

std::size_t Coordinator::countOf(const std::vector<CrashedRun> &crashes, jobs::CrashEvidence least)
{
    return static_cast<std::size_t>(
        std::count_if(crashes.begin(), crashes.end(),
                      [&](const CrashedRun &crash) { return crash.evidence >= least; }));
}

bool Coordinator::isCause(const std::vector<CrashedRun> &crashes, std::size_t enough)
{
    // Silence alone closes no job: cuts and restarts may follow each other in step with the starts.
    const bool certain = countOf(crashes, jobs::CERTAIN) >= certainCrashesToGiveUp;
    const bool likely = countOf(crashes, jobs::LIKELY) >= likelyCrashesToGiveUp &&
                        countOf(crashes, jobs::SILENT) >= silentCrashesToGiveUp;
    return crashes.size() >= enough && (certain || likely);
}

std::optional<HoldBack> Coordinator::holdBackOf(const Job &job, const TaskRef &ref,
                                                Instant now) const
{
    const std::vector<CrashedRun> &crashes = job.crashesOf(ref);
    Duration length = longRunningHoldBack;
    std::size_t doublings = 0;
    if (job.stepSpec(ref.step).long_running()) {
        // It has to run again soon however its runs end, and is only held back as the cause.
        if (!isCause(crashes, crashesToGiveUpAlone)) {
            return std::nullopt;
        }
    } else {
        if (crashes.size() < crashesToHoldBack) {
            return std::nullopt;
        }
        // Cuts may hit each run of an innocent task.
        const bool likely = countOf(crashes, jobs::SILENT) >= silentCrashesToGiveUp;
        length = likely ? firstHoldBackOfLikelyCause : holdBackOfPossibleCause;
        doublings = likely ? crashes.size() - crashesToHoldBack : 0;
    }
    for (; doublings > 0 && length < longestHoldBack; --doublings) {
        length = std::min(length * 2, longestHoldBack);
    }
    const auto newest = std::max_element(
        crashes.begin(), crashes.end(),
        [](const CrashedRun &a, const CrashedRun &b) { return a.countedAt < b.countedAt; });
    const Duration left = newest->countedAt + length - now;
    return left > Duration(0) ? std::optional(HoldBack{length, this->unixMs + left.count()})
                              : std::nullopt;
}

void Coordinator::reportHoldBack(const Job &job, const TaskRef &ref, Instant now)
{
    if (const std::optional<HoldBack> hold = this->holdBackOf(job, ref, now)) {
        this->observer.taskHeldBack(ref, job.crashesUnder(ref), *hold);
    }
}

bool Coordinator::isWatched(const WorkerState &worker, Instant now)
{
    return std::any_of(worker.suspects.begin(), worker.suspects.end(), [&](const TaskRef &ref) {
        Job &job = *worker.tasks.at(ref);
        const Task &task = *job.task(ref);
        return job.crashesUnder(ref) >= crashesToWatch &&
               (task.startSentAt == Instant() || now - task.startSentAt < harmlessAge);
    });
}

Coordinator::GivenUp Coordinator::countCrash(const WorkerState &worker, jobs::CrashSign sign,
                                             Instant now)
{
    const std::vector<std::pair<TaskRef, Job *>> causes = this->causesOfCrash(worker);
    const std::size_t enough = causes.size() == 1 ? crashesToGiveUpAlone : crashesToGiveUp;
    const auto since = [&](Instant at) {
        return at == Instant() ? std::nullopt : std::optional<Duration>(now - at);
    };
    GivenUp toGiveUp;
    std::map<TaskRef, Job *> goesOn;
    for (const auto &[ref, job] : causes) {
        const Task &task = *job->task(ref);
        std::vector<CrashedRun> &crashed = countedTask(*job, ref).crashedRuns;
        const bool isCounted =
            std::any_of(crashed.begin(), crashed.end(),
                        [&](const CrashedRun &crash) { return crash.run == task.run; });
        if (job->closed() || isCounted) {
            continue;
        }
        jobs::CrashEvidence evidence = evidenceOf(worker, task, sign, now);
        if (evidence == jobs::LIKELY && causes.size() > 1) {
            // Its start may not have been carried out any more, as another one crashed the worker.
            evidence = jobs::SILENT;
        }
        crashed.push_back(CrashedRun{task.run, evidence, sign, worker.entry.id.value(), this->epoch,
                                     worker.incarnationStartMs, this->unixMs, now});
        if (sign == jobs::LEASES_LAPSED) {
            this->silentCrashes[worker.entry.id.value()].push_back(countedRef(*job, ref));
        }
        this->markDirty(*job, countedRef(*job, ref));
        const bool lasts = job->stepSpec(ref.step).long_running();
        const bool givenUp = !lasts && isCause(crashed, enough);
        this->observer.crashCounted(CountedCrash{
            ref, crashed.back(), causes.size(), crashed.size(), task.startTaken, task.listed,
            since(task.startSentAt), since(worker.repliedAt), since(worker.closedAt), givenUp});
        if (givenUp) {
            toGiveUp.emplace_back(job, countedRef(*job, ref));
            goesOn.erase(countedRef(*job, ref));
        } else {
            goesOn.emplace(countedRef(*job, ref), job);
        }
    }
    for (const auto &[ref, job] : goesOn) {
        this->reportHoldBack(*job, ref, now);
    }
    return toGiveUp;
}

void Coordinator::withdrawCrashes(const WorkerState &worker)
{
    const auto silent = this->silentCrashes.extract(worker.entry.id.value());
    if (!silent) {
        return;
    }
    const auto isWithdrawn = [&](const CrashedRun &crash) {
        return crash.sign == jobs::LEASES_LAPSED && crash.worker == worker.entry.id.value() &&
               crash.incarnationStartMs == worker.incarnationStartMs;
    };
    for (const TaskRef &ref : silent.mapped()) {
        Job *job = this->table.find(ref.job);
        Task *task = job ? job->task(ref) : nullptr;
        if (!task || job->closed()) {
            continue;
        }
        for (const CrashedRun &crash : task->crashedRuns) {
            if (isWithdrawn(crash)) {
                this->markDirty(*job, ref);
                this->observer.crashWithdrawn(ref, crash.run, worker.entry.id);
            }
        }
        std::erase_if(task->crashedRuns, isWithdrawn);
    }
}

void Coordinator::connectionClosed(const WorkerId &id, Instant now, std::int64_t incarnationStartMs)
{
    WorkerState *worker = this->findWorker(id);
    // The end of a call to a former incarnation may be processed after a reply of the next one.
    if (!worker || (incarnationStartMs != 0 && incarnationStartMs != worker->incarnationStartMs)) {
        return;
    }
    worker->noteClosed(now);
    this->setClosing(*worker, false);
}

void Coordinator::giveUp(const GivenUp &tasks, Instant now)
{
    for (const auto &[job, ref] : tasks) {
        if (!job->closed()) {
            this->failJob(*job, JobEndReason::WorkersCrashed, ref, now);
        }
    }
}

void Coordinator::noteAtWork(WorkerState &worker, Job &job, const TaskRef &ref, Task &task,
                             Instant now)
{
    if (task.harmless || task.phase != TaskPhase::Running || now - task.since < harmlessAge) {
        return;
    }
    task.harmless = true;
    std::vector<CrashedRun> &crashed = countedTask(job, ref).crashedRuns;
    if (!crashed.empty()) {
        crashed.clear();
        worker.suspects.erase(ref);
        this->markDirty(job, countedRef(job, ref));
    }
}

bool Coordinator::mayPlace(const Job &job, const StepRun &run, std::uint32_t index,
                           Instant now) const
{
    const TaskRef ref{job.id(), run.occurrence, run.step, index};
    return !this->hasOrphanRun(ref, now) && !this->holdBackOf(job, ref, now);
}

void Coordinator::placeSuspects(Job &job, StepRun &run,
                                const std::vector<WorkerState *> &candidates,
                                PlacementRequest request, Instant now)
{
    for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
        Task &task = run.tasks[index];
        request.crashes = task.crashedRuns.size();
        if (request.crashes == 0 || task.phase != TaskPhase::Waiting ||
            !this->mayPlace(job, run, index, now)) {
            continue;
        }
        if (WorkerState *worker = this->policy.choose(candidates, request, now)) {
            task.run += 1;
            this->place(job, run, index, *worker, now);
        }
    }
}

} // namespace godwitfall
