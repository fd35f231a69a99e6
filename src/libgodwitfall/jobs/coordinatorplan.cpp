// Planning: which task is placed on which worker, and when.
#include "coordinator.h"

#include <algorithm>
#include <utility>

#include "victimset.h"

namespace godwitfall {

namespace {

/** Time after which waiting tasks are planned again; no event marks that an ejection has ended or
 * that a worker responds again. */
constexpr Duration replanGap{200};
/** Time between two preemptions, in which the first one's capacity becomes free. */
constexpr Duration preemptGap{50};

/** Time that a stopped task loses beside its unsaved work: its stop, a record and a start. */
constexpr Duration restartTime{250};

/** Time that a best-effort task waits for a worker on which it slows no serving task. */
constexpr Duration noInterferenceWait{15000};
/** The same while most of the workers' capacity is free, so that tasks do not wait next to idle
 * processors, and of long-running tasks, which have to run again within longestDelay. */
constexpr Duration idleCapacityWait{1500};
/** Reserved share of all processors below which most of the capacity counts as free. */
constexpr double mostlyFreeShare = 0.6;

/** Time for which slots are kept for short-lived tasks after the last of them was open. */
constexpr Duration shortLivedSpan{5000};
/** Free slots needed for a long-running task to take one of them; twice its demand, as the platform
 * counts free capacity. */
constexpr std::int64_t slotsForLongRunning = 2;
/** Time for which these slots must have been free; half of the time that the platform allows them
 * to stay free. */
constexpr Duration settleTime{1500};
/** Longest time that a long-running task waits in favour of short-lived ones. */
constexpr Duration longRunningWaitLimit{15000};

/** Time without a task at work after which a job goes before others while late replies limit the
 * starts; leaves most of the time that the platform lets a job stand still for its record and its
 * start, which are delayed too. */
constexpr Duration idleTurnAfter{800};
/** Pause between searches of a best-effort step for a worker; metrics arrive as often. */
constexpr Duration bestEffortSearchGap{100};

/** Returns whether most of the workers' processors are not reserved; those of best-effort tasks are
 * not, as the platform counts them. */
bool mostlyFree(const std::vector<WorkerState *> &workers)
{
    std::int64_t capacity = 0;
    std::int64_t reserved = 0;
    for (const WorkerState *worker : workers) {
        if (worker->zoneEvacuated) {
            continue;
        }
        capacity += worker->entry.capacity.milliCores;
        reserved += worker->reserved.milliCores;
    }
    return static_cast<double>(reserved) < mostlyFreeShare * static_cast<double>(capacity);
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

/** Returns whether a long-running task has run before and waits for a worker. */
bool hasTaskToResume(const Job &job)
{
    return std::any_of(job.stepRuns().begin(), job.stepRuns().end(), [&](const auto &entry) {
        const StepRun &run = entry.second;
        return job.stepSpec(run.step).long_running() &&
               std::any_of(run.tasks.begin(), run.tasks.end(), [](const Task &task) {
                   return task.phase == TaskPhase::Waiting && task.run > 0;
               });
    });
}

/** Returns whether a task of the job is placed on a worker. */
bool hasPlacedTask(const Job &job)
{
    return std::any_of(job.stepRuns().begin(), job.stepRuns().end(), [](const auto &entry) {
        return std::any_of(entry.second.tasks.begin(), entry.second.tasks.end(),
                           [](const Task &task) { return !task.worker.empty(); });
    });
}

/** Returns whether no task of the step was ever placed. */
bool untouched(const StepRun &run)
{
    return std::all_of(run.tasks.begin(), run.tasks.end(),
                       [](const Task &task) { return task.run == 0; });
}

} // namespace

const std::vector<WorkerState *> &Coordinator::candidates(const Job &job)
{
    this->groupWorkers();
    return this->pools[this->rulesOf(job).service];
}

void Coordinator::groupWorkers()
{
    if (!this->poolsStale) {
        return;
    }
    this->poolsStale = false;
    this->pools.clear();
    this->zones.resetWorkerCounts();
    for (const auto &[id, worker] : this->workers) {
        this->pools[worker->entry.service.value()].push_back(worker.get());
        if (worker->listed) {
            this->zones.addWorker(worker->entry.zone);
        }
    }
}

void Coordinator::markUnresponsiveZones()
{
    this->groupWorkers();
    for (const auto &[id, worker] : this->workers) {
        worker->zoneUnresponsive = this->zones.unresponsive(worker->entry.zone);
    }
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
    // Usable workers first; advice on the others only helps later.
    const PlacementRequest request{job, run.occurrence, run.step, {}, true};
    std::vector<WorkerState *> best = this->candidates(job);
    std::stable_partition(best.begin(), best.end(), [&](WorkerState *worker) {
        return this->policy.usable(*worker, request, now);
    });
    this->advice.ask(StepRef{job.id(), run.occurrence, run.step}, best, *queue->advice, now);
}

void Coordinator::adviceAnswered(const StepRef &step, const std::optional<Advice> &reply,
                                 Instant now)
{
    this->advice.answered(step, reply, now);
    this->planNeeded = true;
}

void Coordinator::plan(Instant now, std::int64_t newUnixMs)
{
    this->unixMs = newUnixMs;
    if (this->pausesStarts) {
        return;
    }
    const bool lookAgain = this->hasWaitingTasks && now >= this->plannedAt + replanGap;
    if (!this->planNeeded && !lookAgain && newUnixMs < this->nextDueMs) {
        return;
    }
    this->markUnresponsiveZones();
    this->planNeeded = false;
    this->hasWaitingTasks = false;
    this->waitingLongRunning = 0;
    this->nextDueMs = INT64_MAX;
    this->plannedAt = now;
    const std::vector<Job *> order = this->orderOfService(now);
    const bool hasShortLived =
        std::any_of(this->open.begin(), this->open.end(),
                    [](const Job *job) { return job->hasShortLivedTasks() && !job->closed(); });
    this->shortLivedOpenAt = hasShortLived ? now : this->shortLivedOpenAt;
    PlanRound round;
    round.now = now;
    round.unixMs = newUnixMs;
    round.mayPreempt = now - this->preemptedAt >= preemptGap;
    if (this->startLimit.lowered()) {
        this->planIdleJobs(order, round);
    }
    for (Job *job : order) {
        if (!this->planJob(*job, round)) {
            this->unplaced.erase(job);
        }
    }
}

void Coordinator::planIdleJobs(const std::vector<Job *> &order, PlanRound &round)
{
    for (Job *job : order) {
        if (this->standsStill(*job, round.now)) {
            round.left = 1;
            this->planJob(*job, round);
        }
    }
    round.left.reset();
    // Counted again with all jobs.
    this->waitingLongRunning = 0;
}

bool Coordinator::standsStill(const Job &job, Instant now) const
{
    if (now - std::max({job.workedAt, job.knownSince, this->begunAt}) < idleTurnAfter) {
        return false;
    }
    return std::all_of(job.stepRuns().begin(), job.stepRuns().end(), [](const auto &entry) {
        return std::all_of(entry.second.tasks.begin(), entry.second.tasks.end(),
                           [](const Task &task) { return task.worker.empty(); });
    });
}

std::vector<Job *> Coordinator::orderOfService(Instant now)
{
    this->updateShortServices(now);
    std::vector<std::pair<DelayKey, Job *>> keyed;
    keyed.reserve(this->unplaced.size());
    for (Job *job : this->unplaced) {
        const bool isShort = this->shortServices.contains(this->rulesOf(*job).service);
        keyed.emplace_back(isShort ? contendedKey(this->delayFactsOfOccurrence(*job, now), now)
                                   : uncontendedKey(this->delayFactsOf(*job), now),
                           job);
    }
    std::stable_sort(keyed.begin(), keyed.end(),
                     [](const auto &left, const auto &right) { return left.first < right.first; });
    std::vector<Job *> order;
    order.reserve(keyed.size());
    for (const auto &[key, job] : keyed) {
        order.push_back(job);
    }
    return order;
}

void Coordinator::updateShortServices(Instant now)
{
    const std::set<std::string> before =
        std::exchange(this->shortServices, this->servicesShortOfCapacity(now));
    for (const std::string &service : this->shortServices) {
        if (!before.contains(service)) {
            this->observer.capacityShort(service, true);
        }
    }
    for (const std::string &service : before) {
        if (!this->shortServices.contains(service)) {
            this->observer.capacityShort(service, false);
        }
    }
}

std::set<std::string> Coordinator::servicesShortOfCapacity(Instant now)
{
    std::map<std::pair<std::string, bool>, WaitingDemand> demands;
    for (const Job *job : this->unplaced) {
        this->addWaiting(*job, demands);
    }
    std::set<std::string> result;
    this->groupWorkers();
    for (const auto &[kind, demand] : demands) {
        const auto &[service, bestEffort] = kind;
        std::vector<Resources> free;
        for (const WorkerState *worker : this->pools[service]) {
            free.push_back(PlacementPolicy::freeCapacity(*worker, bestEffort, now));
        }
        if (demand.exceeds(free)) {
            result.insert(service);
        }
    }
    return result;
}

void Coordinator::addWaiting(const Job &job,
                             std::map<std::pair<std::string, bool>, WaitingDemand> &demands)
{
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences(); ++occurrence) {
        if (job.dueMs(occurrence) > this->unixMs) {
            return;
        }
        for (int index = 0; index < job.spec().steps_size(); ++index) {
            const auto step = static_cast<std::uint32_t>(index);
            const StepRun *run = job.findStepRun(occurrence, step);
            const std::int64_t waiting = run ? countWaiting(*run) : job.stepSpec(step).count();
            if (waiting > 0 && job.dependenciesDone(occurrence, step)) {
                const ResourceDemand demand = this->demandOf(job, step, false, false);
                demands[{demand.service, demand.fills}].add(waiting, demand.amount);
            }
        }
    }
}

DelayFacts Coordinator::delayFactsOf(const Job &job) const
{
    const JobRules rules = this->rulesOf(job);
    DelayFacts facts;
    facts.priority = rules.priority;
    // Otherwise a steady stream of short-lived tasks would take every slot that becomes free.
    facts.resumesNothing = !hasTaskToResume(job);
    facts.knownSince = job.knownSince;
    const double chain = static_cast<double>(job.criticalPath().count());
    facts.objective =
        rules.targetLatency + Duration(static_cast<std::int64_t>(rules.stretch * chain));
    facts.remainingPath = job.remainingCriticalPath();
    facts.work = static_cast<double>(job.estimatedWork());
    return facts;
}

DelayFacts Coordinator::delayFactsOfOccurrence(const Job &job, Instant now) const
{
    std::uint32_t current = 0;
    const auto isDone = [&](std::uint32_t occurrence) {
        for (int index = 0; index < job.spec().steps_size(); ++index) {
            const StepRun *run = job.findStepRun(occurrence, static_cast<std::uint32_t>(index));
            if (!run || !run->complete()) {
                return false;
            }
        }
        return true;
    };
    while (current + 1 < job.occurrences() && job.dueMs(current + 1) <= this->unixMs &&
           isDone(current)) {
        ++current;
    }
    DelayFacts facts = this->delayFactsOf(job);
    if (job.dueMs(current) > 0) {
        const Duration sinceDue(std::max<std::int64_t>(0, this->unixMs - job.dueMs(current)));
        facts.knownSince = std::max(facts.knownSince, now - sinceDue);
    }
    facts.longRunning = job.hasLongRunningTasks();
    facts.remainingPath = job.remainingCriticalPath(current);
    facts.remainingWork = static_cast<double>(job.unplacedWork(current));
    const auto queue = this->workOfQueues.find(job.spec().queue());
    if (queue != this->workOfQueues.end()) {
        facts.meanWork = queue->second.sum / queue->second.jobs;
    }
    return facts;
}

bool Coordinator::planJob(Job &job, PlanRound &round)
{
    bool left = false;
    for (std::uint32_t occurrence = 0; occurrence < job.occurrences(); ++occurrence) {
        if (job.dueMs(occurrence) > round.unixMs) {
            this->nextDueMs = std::min(this->nextDueMs, job.dueMs(occurrence));
            return true;
        }
        for (int index = 0; index < job.spec().steps_size(); ++index) {
            const auto step = static_cast<std::uint32_t>(index);
            const StepRun *known = job.findStepRun(occurrence, step);
            if ((known && !anyWaiting(*known)) || !job.dependenciesDone(occurrence, step)) {
                continue;
            }
            StepWait &wait = job.waitOf(occurrence, step);
            wait.readySince = wait.readySince == Instant() ? round.now : wait.readySince;
            std::int64_t waiting = known ? countWaiting(*known) : job.stepSpec(step).count();
            if (!this->isUnplaceable(job, occurrence, step, round)) {
                StepRun &run = job.stepRun(occurrence, step);
                this->planStep(job, run, round);
                waiting = countWaiting(run);
                if (untouched(run)) {
                    job.stepRuns().erase({occurrence, step});
                }
            }
            if (waiting == 0) {
                // A task that is returned later starts a new wait.
                wait.readySince = Instant();
                continue;
            }
            left = true;
            this->hasWaitingTasks = true;
            this->waitingLongRunning += job.stepSpec(step).long_running() ? waiting : 0;
        }
    }
    return left;
}

bool Coordinator::isMostlyFree(const Job &job)
{
    return mostlyFree(this->candidates(job));
}

ResourceDemand Coordinator::demandOf(const Job &job, std::uint32_t step, bool allowInterference,
                                     bool mayCrowd) const
{
    const jobs::StepSpec &spec = job.stepSpec(step);
    ResourceDemand demand;
    demand.service = this->rulesOf(job).service;
    demand.label = spec.required_label();
    demand.fills = spec.fills();
    demand.mayCrowd = mayCrowd;
    demand.bestEffortImage = spec.fills() && !allowInterference ? spec.image() : std::string();
    demand.amount.milliCores = spec.milli_cores();
    demand.amount.memoryMb = spec.memory_mb();
    demand.amount.accelerators = spec.accelerators();
    return demand;
}

bool Coordinator::mayInterfere(Job &job, std::uint32_t occurrence, std::uint32_t step,
                               PlanRound &round)
{
    if (!job.stepSpec(step).fills()) {
        return false;
    }
    const Duration waited = round.now - job.waitOf(occurrence, step).readySince;
    if (job.stepSpec(step).long_running()) {
        return waited > idleCapacityWait || hasTaskToResume(job);
    }
    return waited > (this->isMostlyFree(job, round) ? idleCapacityWait : noInterferenceWait);
}

bool Coordinator::isMostlyFree(const Job &job, PlanRound &round)
{
    const std::string &service = this->rulesOf(job).service;
    auto free = round.mostlyFree.find(service);
    if (free == round.mostlyFree.end()) {
        free = round.mostlyFree.emplace(service, mostlyFree(this->candidates(job))).first;
    }
    return free->second;
}

bool Coordinator::mayCrowd(const Job &job, std::uint32_t step, bool allowInterference,
                           PlanRound &round)
{
    if (!job.stepSpec(step).fills() || !allowInterference) {
        return false;
    }
    // What a long-running task waits for may never become free.
    return job.stepSpec(step).long_running() ||
           (!hasPlacedTask(job) && this->isMostlyFree(job, round));
}

bool Coordinator::isUnplaceable(Job &job, std::uint32_t occurrence, std::uint32_t step,
                                PlanRound &round)
{
    StepWait &wait = job.waitOf(occurrence, step);
    if (job.stepSpec(step).fills() && round.now - wait.searchFailedAt < bestEffortSearchGap) {
        return true;
    }
    const bool allowInterference = this->mayInterfere(job, occurrence, step, round);
    const bool mayCrowd = this->mayCrowd(job, step, allowInterference, round);
    if (!round.unplaceable.covers(this->demandOf(job, step, allowInterference, mayCrowd))) {
        return false;
    }
    wait.spareCapacitySince = Instant();
    return true;
}

void Coordinator::planStep(Job &job, StepRun &run, PlanRound &round)
{
    const Instant now = round.now;
    const jobs::StepSpec &step = job.stepSpec(run.step);
    if (step.gang() && this->startsAreLimited()) {
        return;
    }
    if (step.gang() || (step.tightly_coupled() && allWaiting(run))) {
        this->planTogether(job, run, now);
        if (step.gang()) {
            return;
        }
    }
    const bool allowInterference = this->mayInterfere(job, run.occurrence, run.step, round);
    const bool mayCrowd = this->mayCrowd(job, run.step, allowInterference, round);
    const PlacementRequest request{job, run.occurrence, run.step, {}, allowInterference,
                                   0,   mayCrowd};
    const std::vector<WorkerState *> workersOfJob =
        this->allowed(job, run.occurrence, run.step, now);
    this->placeSuspects(job, run, workersOfJob, request, now);
    WorkerSearch search(this->policy, workersOfJob, request, now);
    ++this->searches;
    std::int64_t freeSlots = -1;
    job.waitOf(run.occurrence, run.step).yields = false;
    for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
        if (run.tasks[index].phase != TaskPhase::Waiting) {
            continue;
        }
        if (!this->mayPlace(job, run, index, now)) {
            continue;
        }
        if (step.long_running() && run.tasks[index].run == 0) {
            freeSlots = freeSlots < 0 ? this->countFreeSlots(job, run) : freeSlots;
            if (this->yieldsToShortLived(job, run, freeSlots, now)) {
                // Tasks that have run before do not wait for this.
                job.waitOf(run.occurrence, run.step).yields = true;
                continue;
            }
            --freeSlots;
        }
        if (this->startsAreLimited() || round.left == 0U) {
            return;
        }
        WorkerState *worker = search.next();
        if (!worker) {
            job.waitOf(run.occurrence, run.step).searchFailedAt = now;
            const QueueConfig *queue = this->queueOf(job);
            const bool shared = step.max_per_worker() == 0 && !(queue && queue->advice);
            if (shared) {
                round.unplaceable.add(this->demandOf(job, run.step, allowInterference, mayCrowd));
            }
            this->askAdvice(job, run, now);
            this->preempt(job, run, round);
            return;
        }
        run.tasks[index].run += 1;
        this->place(job, run, index, *worker, now);
        if (round.left) {
            --*round.left;
        }
        if (mayCrowd && !step.long_running()) {
            // One task at work is enough; the others wait for processors that are left.
            return;
        }
    }
}

bool Coordinator::startsAreLimited() const
{
    return this->countOpenStarts() >= this->startLimit.current();
}

std::size_t Coordinator::countOpenStarts() const
{
    return this->starts.size() + this->recording.size() + this->inBatch.size();
}

std::int64_t Coordinator::countFreeSlots(Job &job, const StepRun &run)
{
    const jobs::StepSpec &step = job.stepSpec(run.step);
    const std::int64_t enough = static_cast<std::int64_t>(run.tasks.size()) + slotsForLongRunning;
    std::int64_t freeSlots = 0;
    for (const WorkerState *worker : this->candidates(job)) {
        if (freeSlots >= enough) {
            break;
        }
        freeSlots += std::min(worker->freeSlots(step), enough);
    }
    return freeSlots;
}

bool Coordinator::yieldsToShortLived(Job &job, const StepRun &run, std::int64_t freeSlots,
                                     Instant now)
{
    StepWait &wait = job.waitOf(run.occurrence, run.step);
    if (now - this->shortLivedOpenAt > shortLivedSpan ||
        now - wait.readySince > longRunningWaitLimit) {
        return false;
    }
    Instant &since = wait.spareCapacitySince;
    if (freeSlots < slotsForLongRunning) {
        since = Instant();
        return true;
    }
    if (since == Instant()) {
        since = now;
    }
    return now - since < settleTime;
}

void Coordinator::preempt(const Job &job, const StepRun &run, PlanRound &round)
{
    if (!round.mayPreempt || job.stepSpec(run.step).fills()) {
        return;
    }
    const unsigned priority = this->rulesOf(job).priority;
    const ResourceDemand demand = this->demandOf(job, run.step, false, false);
    const bool isKnownUnplaceable = std::any_of(
        round.unplaceableByPreemption.begin(), round.unplaceableByPreemption.end(),
        [&](const auto &tried) { return tried.first <= priority && tried.second.covers(demand); });
    if (isKnownUnplaceable) {
        return;
    }
    this->preemptedAt = round.now;
    if (this->stopVictimsFor(job, run, round.now)) {
        round.mayPreempt = false;
    } else if (job.stepSpec(run.step).max_per_worker() == 0) {
        round.unplaceableByPreemption[priority].add(demand);
    }
}

bool Coordinator::isPossibleVictim(const Job &job, const TaskRef &ref, const Task &task,
                                   unsigned priority) const
{
    const jobs::StepSpec &step = job.stepSpec(ref.step);
    return task.phase == TaskPhase::Running && step.checkpointing() && !step.fills() &&
           !step.gang() && !step.long_running() && this->rulesOf(job).priority > priority;
}

bool Coordinator::stopVictimsFor(const Job &job, const StepRun &run, Instant now)
{
    const jobs::StepSpec &step = job.stepSpec(run.step);
    const unsigned priority = this->rulesOf(job).priority;
    const PlacementRequest request{job, run.occurrence, run.step, {}, false};
    WorkerState *best = nullptr;
    VictimSet bestSet;
    std::vector<TaskRef> bestVictims;
    for (WorkerState *worker : this->allowed(job, run.occurrence, run.step, now)) {
        if (!PlacementPolicy::suits(*worker, request, now)) {
            continue;
        }
        Resources missing = worker->missingFor(step);
        std::vector<TaskRef> refs;
        std::vector<PossibleVictim> victims;
        for (const auto &[ref, other] : worker->tasks) {
            const jobs::StepSpec &otherStep = other->stepSpec(ref.step);
            const Task &task = *other->task(ref);
            if (task.phase == TaskPhase::Stopping) {
                missing -= reservedBy(otherStep);
            } else if (this->isPossibleVictim(*other, ref, task, priority)) {
                const Duration unsaved = now - std::max(task.since, task.checkpointAt);
                refs.push_back(ref);
                victims.push_back(
                    PossibleVictim{this->rulesOf(*other).priority, reservedBy(otherStep),
                                   static_cast<double>(otherStep.milli_cores()) *
                                       static_cast<double>((unsaved + restartTime).count())});
            }
        }
        const std::optional<VictimSet> set = chooseVictims(victims, missing);
        if (set && (!best || set->costsLessThan(bestSet))) {
            best = worker;
            bestSet = *set;
            bestVictims.clear();
            for (const std::size_t index : set->chosen) {
                bestVictims.push_back(refs[index]);
            }
        }
    }
    if (!best) {
        return false;
    }
    for (const TaskRef &ref : bestVictims) {
        this->stopTask(ref, *best->tasks.at(ref)->task(ref), now);
    }
    return true;
}

void Coordinator::planTogether(Job &job, StepRun &run, Instant now)
{
    for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
        if (run.tasks[index].phase != TaskPhase::Waiting || !this->mayPlace(job, run, index, now)) {
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
    task.startTaken = false;
    task.startSentAt = Instant();
    task.unlisted = false;
    task.closing = jobs::POSSIBLE;
    task.watched = job.crashesUnder(ref) >= crashesToWatch;
    task.listed = false;
    task.worker = worker.entry.id.value();
    task.workerIncarnationStartMs = worker.incarnationStartMs;
    task.placedMs = this->unixMs;
    task.placedEpoch = this->epoch;
    task.since = now;
    task.percent = 0;
    worker.assign(ref, job);
    if (worker.onProbation && !worker.probe) {
        worker.probe = ref;
    }
    if (job.firstPlacedAt == Instant()) {
        job.firstPlacedAt = now;
    }
    if (job.inParts() && job.storedParts.empty()) {
        this->markDirty(job);
    }
    this->markDirty(job, ref);
    this->recording.push_back(RecordedStart{ref, task.run});
}

} // namespace godwitfall
