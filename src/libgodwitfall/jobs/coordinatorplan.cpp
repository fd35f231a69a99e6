// How the coordinator decides which task goes where, and when.
#include "coordinator.h"

#include <algorithm>
#include <tuple>

namespace godwitfall {

namespace {

/** A job with what orders it among others. */
struct Candidate
{
    Job *job = nullptr;
    unsigned priority = 0;
    bool late = false;
    std::uint64_t work = 0; ///< Estimated, in milli-core ms; 0 for urgent jobs, which go by due.
    Instant due;

    auto key() const { return std::tuple(this->priority, this->late, this->work, this->due); }
};

/** Time after which waiting work is looked at again; rests and silences end without an event. */
constexpr Duration replanGap{200};
/** Time between two preemptions, within which the room of the first becomes free. */
constexpr Duration preemptGap{50};

/** Time for which a filling task waits for a worker where it slows nothing that serves. */
constexpr Duration harmlessWait{15000};
/** The same while most of the workers' room is free; work must then not stand still. */
constexpr Duration idleWait{1500};
/** Share of all processors below which most of the room counts as free. */
constexpr double mostlyFreeShare = 0.6;

/** Time since short work ran or waited for which its room is still minded. */
constexpr Duration shortWorkSpan{5000};
/** Places that must be free for a task that lasts to take one of them; twice what it needs, as the
 * platform counts free capacity. */
constexpr std::int64_t placesForLongWork = 2;
/** Time for which they must have been free; half of the time that the platform lets them be. */
constexpr Duration settleTime{1500};
/** Time after which a task that lasts has waited long enough and takes what room there is. */
constexpr Duration longWorkPatience{15000};

bool mostlyFree(const std::vector<WorkerState *> &workers)
{
    std::int64_t capacity = 0;
    std::int64_t used = 0;
    for (const WorkerState *worker : workers) {
        capacity += worker->entry.capacity.milliCores;
        used += worker->reserved.milliCores + worker->fillMilliCores;
    }
    return static_cast<double>(used) < mostlyFreeShare * static_cast<double>(capacity);
}

bool anyWaiting(const StepRun &run)
{
    return std::any_of(run.tasks.begin(), run.tasks.end(),
                       [](const Task &task) { return task.phase == TaskPhase::Waiting; });
}

std::int64_t countWaiting(const StepRun &run)
{
    return std::count_if(run.tasks.begin(), run.tasks.end(),
                         [](const Task &task) { return task.phase == TaskPhase::Waiting; });
}

bool allWaiting(const StepRun &run)
{
    return std::all_of(run.tasks.begin(), run.tasks.end(),
                       [](const Task &task) { return task.phase == TaskPhase::Waiting; });
}

/** Returns whether no task of the step was ever placed. */
bool untouched(const StepRun &run)
{
    return std::all_of(run.tasks.begin(), run.tasks.end(),
                       [](const Task &task) { return task.run == 0; });
}

} // namespace

std::vector<WorkerState *> Coordinator::candidates(const Job &job)
{
    const std::string &service = this->rulesOf(job).service;
    std::vector<WorkerState *> result;
    for (const auto &[id, worker] : this->workers) {
        if (worker->entry.service.value() == service) {
            result.push_back(worker.get());
        }
    }
    return result;
}

std::vector<WorkerState *> Coordinator::allowed(const Job &job, std::uint32_t occurrence,
                                                std::uint32_t step, Instant now)
{
    std::vector<WorkerState *> result = this->candidates(job);
    const QueueConfig *queue = this->queueOf(job);
    if (queue && queue->advice) {
        const StepRef ref{job.id(), occurrence, step};
        std::erase_if(result, [&](const WorkerState *worker) {
            return this->advice.ticket(ref, *worker, now) == nullptr;
        });
    }
    return result;
}

void Coordinator::askAdvice(const Job &job, const StepRun &run, Instant now)
{
    const QueueConfig *queue = this->queueOf(job);
    if (!queue || !queue->advice) {
        return;
    }
    // Usable ones first; advice on the others would only help later.
    const PlacementRequest request{job, run.occurrence, run.step, {}, true};
    std::vector<WorkerState *> best = this->candidates(job);
    std::stable_partition(best.begin(), best.end(), [&](WorkerState *worker) {
        return this->policy.usable(*worker, request, now);
    });
    this->advice.ask(StepRef{job.id(), run.occurrence, run.step}, best, *queue->advice, now);
}

void Coordinator::advised(const StepRef &step, const std::optional<Advice> &said, Instant now)
{
    this->advice.answered(step, said, now);
    this->planNeeded = true;
}

void Coordinator::plan(Instant now, std::int64_t newUnixMs)
{
    this->unixMs = newUnixMs;
    if (!this->planNeeded && (!this->someWait || now < this->plannedAt + replanGap)) {
        return;
    }
    this->planNeeded = false;
    this->someWait = false;
    this->lastingWait = 0;
    this->plannedAt = now;
    std::vector<Candidate> order;
    for (Job *job : this->open) {
        if (job->closed() || job->cancelled) {
            continue;
        }
        const JobRules rules = this->rulesOf(*job);
        Candidate candidate;
        candidate.job = job;
        candidate.priority = rules.priority;
        const Duration chain = job->longestChain();
        candidate.due =
            job->knownSince + rules.targetLatency +
            Duration(static_cast<std::int64_t>(rules.stretch * static_cast<double>(chain.count())));
        candidate.late = now + job->remainingChain() > candidate.due;
        candidate.work = candidate.priority == 0 ? 0 : job->estimatedWork();
        order.push_back(candidate);
    }
    std::sort(order.begin(), order.end(), [](const Candidate &left, const Candidate &right) {
        return left.key() < right.key();
    });
    const bool shortWork = std::any_of(order.begin(), order.end(), [](const Candidate &candidate) {
        const auto &steps = candidate.job->spec().steps();
        return std::any_of(steps.begin(), steps.end(), [](const jobs::StepSpec &step) {
            return !step.long_running() && !step.fills();
        });
    });
    this->shortWorkAt = shortWork ? now : this->shortWorkAt;
    for (const Candidate &candidate : order) {
        this->planJob(*candidate.job, now, newUnixMs);
    }
}

void Coordinator::planJob(Job &job, Instant now, std::int64_t newUnixMs)
{
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences(); ++occurrence) {
        if (job.dueMs(occurrence) > newUnixMs) {
            // It becomes due without any event, so the next plan looks again.
            this->planNeeded = true;
            break;
        }
        for (int step = 0; step < job.spec().steps_size(); ++step) {
            const auto number = static_cast<std::uint32_t>(step);
            const StepRun *known = job.findStepRun(occurrence, number);
            if ((known && !anyWaiting(*known)) || !job.dependenciesDone(occurrence, number)) {
                continue;
            }
            StepRun &run = job.stepRun(occurrence, number);
            Instant &ready = job.readySince(occurrence, number, now);
            run.readySince = ready;
            this->planStep(job, run, now);
            this->someWait = this->someWait || anyWaiting(run);
            this->lastingWait += job.stepSpec(number).long_running() ? countWaiting(run) : 0;
            if (untouched(run)) {
                job.stepRuns().erase({occurrence, number});
            } else if (!anyWaiting(run)) {
                // What returns later waits anew.
                ready = Instant();
            }
        }
    }
}

void Coordinator::planStep(Job &job, StepRun &run, Instant now)
{
    const jobs::StepSpec &step = job.stepSpec(run.step);
    if (step.gang() || (step.tightly_coupled() && allWaiting(run))) {
        this->planTogether(job, run, now);
        if (step.gang()) {
            return;
        }
    }
    const std::vector<WorkerState *> workersOfJob =
        this->allowed(job, run.occurrence, run.step, now);
    const bool insist = now - run.readySince > (mostlyFree(workersOfJob) ? idleWait : harmlessWait);
    for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
        if (run.tasks[index].phase != TaskPhase::Waiting) {
            continue;
        }
        if (this->runsAstray(TaskRef{job.id(), run.occurrence, run.step, index}, now)) {
            continue;
        }
        if (this->leavesRoomToShortWork(job, run, index, now)) {
            return;
        }
        const PlacementRequest request{job, run.occurrence, run.step, {}, insist};
        WorkerState *worker = this->policy.choose(workersOfJob, request, now);
        if (!worker) {
            this->askAdvice(job, run, now);
            this->preempt(job, run, now);
            return;
        }
        run.tasks[index].run += 1;
        this->place(job, run, index, *worker, now);
    }
}

bool Coordinator::leavesRoomToShortWork(Job &job, const StepRun &run, std::uint32_t index,
                                        Instant now)
{
    const jobs::StepSpec &step = job.stepSpec(run.step);
    if (!step.long_running() || run.tasks[index].run > 0 ||
        now - this->shortWorkAt > shortWorkSpan || now - run.readySince > longWorkPatience) {
        return false;
    }
    std::int64_t places = 0;
    for (const WorkerState *worker : this->candidates(job)) {
        places += std::min(worker->places(step), placesForLongWork);
    }
    Instant &since = job.roomySince(run.occurrence, run.step);
    if (places < placesForLongWork) {
        since = Instant();
        return true;
    }
    if (since == Instant()) {
        since = now;
    }
    return now - since < settleTime;
}

void Coordinator::preempt(const Job &job, const StepRun &run, Instant now)
{
    const jobs::StepSpec &step = job.stepSpec(run.step);
    const unsigned priority = this->rulesOf(job).priority;
    if (step.fills() || now - this->preemptedAt < preemptGap) {
        return;
    }
    WorkerState *best = nullptr;
    std::vector<TaskRef> bestVictims;
    for (WorkerState *worker : this->allowed(job, run.occurrence, run.step, now)) {
        if (!worker->listed || worker->entry.draining || !worker->heard ||
            now < worker->restUntil) {
            continue;
        }
        std::int64_t missing =
            worker->reserved.milliCores + step.milli_cores() - worker->entry.capacity.milliCores;
        std::vector<TaskRef> victims;
        for (const auto &[ref, other] : worker->tasks) {
            const jobs::StepSpec &otherStep = other->stepSpec(ref.step);
            const Task &task = *other->task(ref);
            if (missing <= 0) {
                break;
            }
            if (task.phase == TaskPhase::Stopping) {
                missing -= otherStep.fills() ? 0 : otherStep.milli_cores();
            } else if (task.phase == TaskPhase::Running && otherStep.checkpointing() &&
                       !otherStep.fills() && !otherStep.gang() &&
                       this->rulesOf(*other).priority > priority) {
                victims.push_back(ref);
                missing -= otherStep.milli_cores();
            }
        }
        if (missing <= 0 && (!best || victims.size() < bestVictims.size())) {
            best = worker;
            bestVictims = std::move(victims);
        }
    }
    if (!best) {
        return;
    }
    this->preemptedAt = now;
    for (const TaskRef &ref : bestVictims) {
        this->stopTask(ref, *best->tasks.at(ref)->task(ref), now);
    }
}

void Coordinator::planTogether(Job &job, StepRun &run, Instant now)
{
    const auto astray = [&](std::uint32_t index) {
        return this->runsAstray(TaskRef{job.id(), run.occurrence, run.step, index}, now);
    };
    for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
        if (run.tasks[index].phase != TaskPhase::Waiting || astray(index)) {
            return;
        }
    }
    std::uint32_t highest = 0;
    std::string checkpoint;
    for (const Task &task : run.tasks) {
        highest = std::max(highest, task.run);
        checkpoint = task.checkpoint.empty() ? checkpoint : task.checkpoint;
    }
    const std::vector<std::uint32_t> before = [&] {
        std::vector<std::uint32_t> runs;
        for (Task &task : run.tasks) {
            runs.push_back(task.run);
            task.run = highest;
        }
        return runs;
    }();
    const jobs::StepSpec &step = job.stepSpec(run.step);
    std::set<std::string> racks;
    if (step.tightly_coupled()) {
        for (const WorkerState *worker : this->candidates(job)) {
            racks.insert(worker->entry.rack);
        }
    }
    bool placed = std::any_of(racks.begin(), racks.end(), [&](const std::string &rack) {
        return this->placeTogether(job, run, rack, now);
    });
    placed = placed || (step.gang() && this->placeTogether(job, run, {}, now));
    if (!placed) {
        this->askAdvice(job, run, now);
    }
    for (std::size_t index = 0; index < run.tasks.size(); ++index) {
        if (placed && step.gang()) {
            run.tasks[index].checkpoint = checkpoint;
        } else if (!placed) {
            run.tasks[index].run = before[index];
        }
    }
}

bool Coordinator::placeTogether(Job &job, StepRun &run, const std::string &rack, Instant now)
{
    const std::vector<WorkerState *> workersOfJob =
        this->allowed(job, run.occurrence, run.step, now);
    std::vector<WorkerState *> chosen;
    for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
        const PlacementRequest request{job, run.occurrence, run.step, rack, false};
        WorkerState *worker = this->policy.choose(workersOfJob, request, now);
        if (!worker) {
            break;
        }
        worker->assign(TaskRef{job.id(), run.occurrence, run.step, index}, job);
        chosen.push_back(worker);
    }
    const bool complete = chosen.size() == run.tasks.size();
    for (std::uint32_t index = 0; index < chosen.size(); ++index) {
        if (complete) {
            run.tasks[index].run += 1;
            this->place(job, run, index, *chosen[index], now);
        } else {
            chosen[index]->release(TaskRef{job.id(), run.occurrence, run.step, index});
        }
    }
    return complete;
}

void Coordinator::place(Job &job, StepRun &run, std::uint32_t index, WorkerState &worker,
                        Instant now)
{
    const TaskRef ref{job.id(), run.occurrence, run.step, index};
    Task &task = run.tasks[index];
    task.phase = TaskPhase::Recording;
    task.maybeLate = false;
    task.listed = false;
    std::erase_if(task.lateStarts,
                  [&](const LateStart &start) { return now - start.at > WorkerState::lateOrders; });
    task.worker = worker.entry.id.value();
    task.workerBornMs = worker.entry.bornMs;
    task.since = now;
    task.percent = 0;
    worker.assign(ref, job);
    if (job.firstPlacedAt == Instant()) {
        job.firstPlacedAt = now;
    }
    if (job.state == Job::State::QUEUED) {
        job.state = Job::State::RUNNING;
    }
    this->markDirty(job);
    this->recording.push_back(RecordedStart{ref, task.run});
}

} // namespace godwitfall
