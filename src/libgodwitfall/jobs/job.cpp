#include "job.h"

#include <algorithm>
#include <array>

namespace godwitfall {

namespace {

constexpr std::array<const char *, 4> endReasonNames = {"all_done", "attempts_used_up",
                                                        "workers_crashed", "cancelled"};

constexpr std::uint32_t bitsPerByte = 8;

bool bitIsSet(const std::string &bits, std::uint32_t index)
{
    const std::size_t byte = index / bitsPerByte;
    return byte < bits.size() &&
           (static_cast<unsigned char>(bits[byte]) >> (index % bitsPerByte) & 1U) != 0;
}

void setBit(std::string &bits, std::uint32_t index)
{
    char &byte = bits[index / bitsPerByte];
    byte = static_cast<char>(static_cast<unsigned char>(byte) | 1U << (index % bitsPerByte));
}

void addRuns(jobs::TaskRuns &message, std::uint32_t index, const std::vector<std::uint32_t> &runs)
{
    message.set_index(index);
    message.mutable_runs()->Assign(runs.begin(), runs.end());
}

void fillCrash(jobs::CrashedRun &message, std::uint32_t index, const CrashedRun &crash)
{
    message.set_index(index);
    message.set_run(crash.run);
    message.set_worker(crash.worker);
    message.set_epoch(crash.epoch);
    message.set_sign(crash.sign);
    message.set_evidence(crash.evidence);
    message.set_worker_born_ms(crash.incarnationStartMs);
    message.set_counted_ms(crash.countedMs);
}

/** Returns the evidence of a record, which closes no job if only a later version knows it. */
jobs::CrashEvidence knownEvidence(jobs::CrashEvidence evidence)
{
    return jobs::CrashEvidence_IsValid(evidence) ? evidence : jobs::POSSIBLE;
}

CrashedRun crashOf(const jobs::CrashedRun &message)
{
    return CrashedRun{
        message.run(),   knownEvidence(message.evidence()), message.sign(),       message.worker(),
        message.epoch(), message.worker_born_ms(),          message.counted_ms(), Instant()};
}

jobs::JobFailure failureOf(const JobEnd &end)
{
    jobs::JobFailure message;
    message.set_reason(end.reason == JobEndReason::WorkersCrashed ? jobs::WORKERS_CRASHED
                                                                  : jobs::ATTEMPTS_USED_UP);
    message.set_occurrence(end.task.occurrence);
    message.set_step(end.task.step);
    message.set_index(end.task.index);
    message.mutable_failed_runs()->Assign(end.failedRuns.begin(), end.failedRuns.end());
    for (const CrashedRun &crash : end.crashedRuns) {
        fillCrash(*message.add_crashes(), end.task.index, crash);
    }
    return message;
}

void addCrashes(jobs::StepProgress &message, std::uint32_t index,
                const std::vector<CrashedRun> &crashes)
{
    jobs::TaskRuns &runs = *message.add_crashed();
    runs.set_index(index);
    for (const CrashedRun &crash : crashes) {
        runs.add_runs(crash.run);
        fillCrash(*message.add_crashes(), index, crash);
    }
}

/** Returns the progress of the tasks from first to last, exclusive. */
jobs::StepProgress progressOf(const StepRun &run, std::uint32_t first, std::uint32_t last)
{
    jobs::StepProgress message;
    message.set_occurrence(run.occurrence);
    message.set_step(run.step);
    message.set_first(first);
    std::string done((last - first + bitsPerByte - 1) / bitsPerByte, '\0');
    std::string harmless;
    for (std::uint32_t index = first; index < last; ++index) {
        const Task &task = run.tasks[index];
        message.add_runs(task.run);
        if (task.phase == TaskPhase::Done) {
            setBit(done, index - first);
        } else if (!task.worker.empty()) {
            jobs::Placement &placed = *message.add_placed();
            placed.set_index(index);
            placed.set_worker(task.worker);
            placed.set_worker_born_ms(task.workerIncarnationStartMs);
            placed.set_placed_ms(task.placedMs);
            placed.set_epoch(task.placedEpoch);
            placed.set_confirmed(task.startTaken);
            placed.set_watched(task.watched);
            placed.set_closing(task.closing);
        }
        if (task.harmless && task.phase != TaskPhase::Done) {
            harmless.resize(done.size());
            setBit(harmless, index - first);
        }
        if (!task.failedRuns.empty()) {
            addRuns(*message.add_failed(), index, task.failedRuns);
        }
        if (!task.crashedRuns.empty()) {
            addCrashes(message, index, task.crashedRuns);
        }
    }
    message.set_done(std::move(done));
    message.set_harmless(std::move(harmless));
    return message;
}

// Estimates of memory, in bytes; test_jobmemory compares them with what is allocated.

/** A job without its specification: its entry in the table, its id and what its coordinator keeps;
 * with 300 beside the job, 3,000 jobs of one task took 3% more in an instance than estimated. */
constexpr std::size_t bytesOfJob = sizeof(Job) + 600;
/** A step without its tasks: its start within the job, and what is kept of its wait. */
constexpr std::size_t bytesOfStep = 128;
/** The run of a step, without its tasks. */
constexpr std::size_t bytesOfStepRun = 128;
/** A task: the worker's name beside it, and what the worker's state keeps of it. */
constexpr std::size_t bytesOfTask = sizeof(Task) + 128;

std::size_t stepCount(const jobs::JobSpec &spec)
{
    return static_cast<std::size_t>(spec.steps_size()) *
           std::max<std::uint32_t>(1, spec.repeat_count());
}

std::size_t taskBytes(const jobs::JobSpec &spec)
{
    std::size_t tasks = 0;
    for (const jobs::StepSpec &step : spec.steps()) {
        tasks += step.count();
    }
    return stepCount(spec) * bytesOfStepRun +
           tasks * std::max<std::uint32_t>(1, spec.repeat_count()) * bytesOfTask;
}

std::size_t bytesWithoutTasks(const jobs::JobSpec &spec)
{
    return bytesOfJob + spec.SpaceUsedLong() + stepCount(spec) * bytesOfStep;
}

} // namespace

std::size_t Job::estimateBytes(const jobs::JobSpec &spec)
{
    return bytesWithoutTasks(spec) + taskBytes(spec);
}

const char *toText(JobEndReason reason)
{
    return endReasonNames.at(static_cast<std::size_t>(reason));
}

Job::Job(JobId id, jobs::JobSpec spec)
    : identity(std::move(id))
    , submitted(std::move(spec))
{
    this->computeTotals();
    this->retainedBytes = bytesWithoutTasks(this->submitted);
    this->openBytes = this->retainedBytes + taskBytes(this->submitted);
}

std::size_t Job::estimatedBytes() const
{
    const bool retained = this->published >= State::COMPLETED && this->runs.empty();
    return retained ? this->retainedBytes : this->openBytes;
}

void Job::computeTotals()
{
    std::vector<std::int64_t> ends;
    for (const jobs::StepSpec &step : this->submitted.steps()) {
        std::int64_t begin = 0;
        for (const std::uint32_t earlier : step.after()) {
            begin = std::max(begin, ends.at(earlier));
        }
        ends.push_back(begin + step.estimated_ms());
        this->firstTaskOfStep.push_back(this->tasksPerOccurrence);
        this->tasksPerOccurrence += step.count();
        this->longestPath = std::max(this->longestPath, Duration(ends.back()));
        this->shortLivedTasks = this->shortLivedTasks || (!step.long_running() && !step.fills());
        this->longRunningTasks = this->longRunningTasks || step.long_running();
        this->work += std::uint64_t(step.count()) * step.milli_cores() * step.estimated_ms();
    }
}

Duration Job::remainingCriticalPath(std::uint32_t occurrence) const
{
    std::vector<std::int64_t> ends;
    std::int64_t longest = 0;
    for (std::uint32_t step = 0; step < static_cast<std::uint32_t>(this->submitted.steps_size());
         ++step) {
        const StepRun *run = this->findStepRun(occurrence, step);
        std::int64_t end = run && run->complete() ? 0 : this->stepSpec(step).estimated_ms();
        std::int64_t begin = 0;
        for (const std::uint32_t earlier : this->stepSpec(step).after()) {
            begin = std::max(begin, ends.at(earlier));
        }
        end += begin;
        ends.push_back(end);
        longest = std::max(longest, end);
    }
    return Duration(longest);
}

std::uint64_t Job::unplacedWork(std::uint32_t occurrence) const
{
    constexpr std::uint64_t percents = 100;
    std::uint64_t total = 0;
    for (std::uint32_t step = 0; step < static_cast<std::uint32_t>(this->submitted.steps_size());
         ++step) {
        const jobs::StepSpec &spec = this->stepSpec(step);
        const std::uint64_t ofTask = std::uint64_t(spec.milli_cores()) * spec.estimated_ms();
        const StepRun *run = this->findStepRun(occurrence, step);
        if (!run) {
            total += spec.count() * ofTask;
            continue;
        }
        for (const Task &task : run->tasks) {
            if (task.phase == TaskPhase::Waiting) {
                const std::uint64_t saved =
                    task.checkpoint.empty() ? 0 : std::min<std::uint64_t>(percents, task.percent);
                total += ofTask * (percents - saved) / percents;
            }
        }
    }
    return total;
}

std::uint32_t Job::occurrences() const
{
    return std::max<std::uint32_t>(1, this->submitted.repeat_count());
}

std::int64_t Job::dueMs(std::uint32_t occurrence) const
{
    if (this->submitted.repeat_count() == 0) {
        return 0;
    }
    return this->submitted.first_run_ms() + occurrence * this->submitted.interval_ms();
}

StepRun &Job::stepRun(std::uint32_t occurrence, std::uint32_t step)
{
    const auto [place, fresh] = this->runs.try_emplace({occurrence, step});
    StepRun &run = place->second;
    if (fresh) {
        run.occurrence = occurrence;
        run.step = step;
        run.tasks.resize(this->stepSpec(step).count());
    }
    return run;
}

const StepRun *Job::findStepRun(std::uint32_t occurrence, std::uint32_t step) const
{
    const auto found = this->runs.find({occurrence, step});
    return found == this->runs.end() ? nullptr : &found->second;
}

const StepWait *Job::findWait(std::uint32_t occurrence, std::uint32_t step) const
{
    const auto found = this->waits.find({occurrence, step});
    return found == this->waits.end() ? nullptr : &found->second;
}

Task *Job::task(const TaskRef &ref)
{
    const auto found = this->runs.find({ref.occurrence, ref.step});
    if (found == this->runs.end() || ref.index >= found->second.tasks.size()) {
        return nullptr;
    }
    return &found->second.tasks[ref.index];
}

const std::vector<CrashedRun> &Job::crashesOf(const TaskRef &ref) const
{
    static const std::vector<CrashedRun> none;
    const StepRun *run = this->findStepRun(ref.occurrence, ref.step);
    const std::uint32_t counted = this->stepSpec(ref.step).gang() ? 0 : ref.index;
    return run && counted < run->tasks.size() ? run->tasks[counted].crashedRuns : none;
}

bool Job::dependenciesDone(std::uint32_t occurrence, std::uint32_t step) const
{
    const auto &after = this->stepSpec(step).after();
    return std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
        const StepRun *run = this->findStepRun(occurrence, earlier);
        return run && run->complete();
    });
}

bool Job::hasBegun() const
{
    return std::any_of(this->runs.begin(), this->runs.end(), [](const auto &entry) {
        const StepRun &run = entry.second;
        return run.done > 0 ||
               std::any_of(run.tasks.begin(), run.tasks.end(), [](const Task &task) {
                   return task.startTaken || !task.failedRuns.empty() || task.harmless;
               });
    });
}

bool Job::allDone() const
{
    const std::size_t expected =
        std::size_t(this->occurrences()) * static_cast<std::size_t>(this->submitted.steps_size());
    return this->runs.size() == expected &&
           std::all_of(this->runs.begin(), this->runs.end(),
                       [](const auto &entry) { return entry.second.complete(); });
}

std::optional<LoadEstimate> Job::ownLoad(std::uint32_t occurrence, std::uint32_t step, Instant now,
                                         std::optional<std::uint32_t> except) const
{
    /** Age above which a load sample is too old to use. */
    constexpr Duration freshness{1500};
    const StepRun *run = this->findStepRun(occurrence, step);
    double weights = 0.0;
    double sum = 0.0;
    for (std::uint32_t index = 0; run && index < run->tasks.size(); ++index) {
        const Task &task = run->tasks[index];
        if (index == except || task.phase != TaskPhase::Running ||
            now - task.loadSampledAt >= freshness) {
            continue;
        }
        const double weight = 1.0 / (InterferenceModel::sampleVariance + task.pressure.variance);
        weights += weight;
        sum += weight * (task.load - task.pressure.mean);
    }
    if (weights == 0.0) {
        return std::nullopt;
    }
    return LoadEstimate{std::max(0.0, sum / weights), 1.0 / weights};
}

std::uint32_t Job::partOf(const TaskRef &ref) const
{
    const std::uint64_t task =
        ref.occurrence * this->tasksPerOccurrence + this->firstTaskOfStep.at(ref.step) + ref.index;
    return static_cast<std::uint32_t>(task / partTasks);
}

jobs::JobProgress Job::toProgress() const
{
    jobs::JobProgress progress;
    progress.set_state(this->state);
    progress.set_finished_ms(this->finishedMs);
    if (this->failure) {
        *progress.mutable_failure() = failureOf(*this->failure);
    }
    // Of a closed job only steps with tasks that may still run are needed.
    for (const auto &[key, run] : this->runs) {
        jobs::StepProgress message =
            progressOf(run, 0, static_cast<std::uint32_t>(run.tasks.size()));
        if (!this->closed() || message.placed_size() > 0) {
            *progress.add_steps() = std::move(message);
        }
    }
    return progress;
}

jobs::JobProgress Job::toSummary() const
{
    jobs::JobProgress progress;
    progress.set_state(this->state);
    progress.set_finished_ms(this->finishedMs);
    if (this->failure) {
        *progress.mutable_failure() = failureOf(*this->failure);
    }
    progress.set_in_parts(true);
    return progress;
}

jobs::JobProgress Job::toPartProgress(std::uint32_t part) const
{
    jobs::JobProgress progress;
    const std::uint64_t begin = part * partTasks;
    const std::uint64_t end = begin + partTasks;
    const auto occurrence = static_cast<std::uint32_t>(begin / this->tasksPerOccurrence);
    for (auto entry = this->runs.lower_bound({occurrence, 0}); entry != this->runs.end(); ++entry) {
        const StepRun &run = entry->second;
        const std::uint64_t firstOfRun =
            run.occurrence * this->tasksPerOccurrence + this->firstTaskOfStep[run.step];
        if (firstOfRun >= end) {
            break;
        }
        const std::uint64_t size = run.tasks.size();
        const std::uint64_t first = std::min(size, begin - std::min(begin, firstOfRun));
        const std::uint64_t last = std::min(size, end - firstOfRun);
        if (first >= last) {
            continue;
        }
        jobs::StepProgress message =
            progressOf(run, static_cast<std::uint32_t>(first), static_cast<std::uint32_t>(last));
        if (!this->closed() || message.placed_size() > 0) {
            *progress.add_steps() = std::move(message);
        }
    }
    return progress;
}

jobs::JobStatus Job::toStatus() const
{
    jobs::JobStatus status;
    status.set_state(this->state);
    if (this->failure) {
        *status.mutable_failure() = failureOf(*this->failure);
    }
    return status;
}

void Job::applyProgress(const jobs::JobProgress &progress, Instant now)
{
    this->state = this->published >= State::COMPLETED ? this->published : progress.state();
    if (progress.has_failure()) {
        this->applyFailure(progress.failure());
    }
    this->finishedMs = progress.finished_ms();
    this->wholeRecordOfParts = this->inParts() && !progress.in_parts();
    if (progress.in_parts()) {
        return;
    }
    this->runs.clear();
    for (const jobs::StepProgress &message : progress.steps()) {
        this->applyStep(message, now);
    }
}

void Job::applyPart(std::uint32_t part, const jobs::JobProgress &progress, Instant now)
{
    this->storedParts.insert(part);
    for (const jobs::StepProgress &message : progress.steps()) {
        this->applyStep(message, now);
    }
}

void Job::applyStep(const jobs::StepProgress &message, Instant now)
{
    if (static_cast<int>(message.step()) >= this->submitted.steps_size() ||
        message.occurrence() >= this->occurrences()) {
        return;
    }
    StepRun &run = this->stepRun(message.occurrence(), message.step());
    const std::size_t first = std::min<std::size_t>(message.first(), run.tasks.size());
    const std::size_t count = std::min<std::size_t>(static_cast<std::size_t>(message.runs_size()),
                                                    run.tasks.size() - first);
    for (std::uint32_t offset = 0; offset < count; ++offset) {
        Task &task = run.tasks[first + offset];
        run.done -= task.phase == TaskPhase::Done ? 1 : 0;
        task = Task();
        task.run = message.runs(static_cast<int>(offset));
        task.harmless = bitIsSet(message.harmless(), offset);
        if (bitIsSet(message.done(), offset)) {
            task.phase = TaskPhase::Done;
            ++run.done;
        }
    }
    for (const jobs::Placement &placed : message.placed()) {
        if (placed.index() < run.tasks.size()) {
            Task &task = run.tasks[placed.index()];
            task.phase = TaskPhase::Unconfirmed;
            task.startTaken = placed.confirmed();
            task.worker = placed.worker();
            task.workerIncarnationStartMs = placed.worker_born_ms();
            task.placedMs = placed.placed_ms();
            task.placedEpoch = placed.epoch();
            task.watched = placed.watched();
            task.closing = knownEvidence(placed.closing());
            task.since = now;
            task.progressAt = now;
        }
    }
    for (const jobs::TaskRuns &failed : message.failed()) {
        if (failed.index() < run.tasks.size()) {
            run.tasks[failed.index()].failedRuns.assign(failed.runs().begin(), failed.runs().end());
        }
    }
    for (const jobs::TaskRuns &crashed : message.crashed()) {
        for (const std::uint32_t number : crashed.runs()) {
            if (crashed.index() < run.tasks.size()) {
                run.tasks[crashed.index()].crashedRuns.emplace_back().run = number;
            }
        }
    }
    for (const jobs::CrashedRun &crash : message.crashes()) {
        if (crash.index() >= run.tasks.size()) {
            continue;
        }
        // A record of an earlier version has only the numbers of the runs.
        for (CrashedRun &known : run.tasks[crash.index()].crashedRuns) {
            if (known.run == crash.run()) {
                known = crashOf(crash);
            }
        }
    }
}

void Job::applyFailure(const jobs::JobFailure &message)
{
    JobEnd end;
    end.reason = message.reason() == jobs::WORKERS_CRASHED ? JobEndReason::WorkersCrashed
                                                           : JobEndReason::AttemptsUsedUp;
    end.task = TaskRef{this->identity, message.occurrence(), message.step(), message.index()};
    end.failedRuns.assign(message.failed_runs().begin(), message.failed_runs().end());
    for (const jobs::CrashedRun &crash : message.crashes()) {
        end.crashedRuns.push_back(crashOf(crash));
    }
    this->failure = std::move(end);
}

void Job::applyStatus(const jobs::JobStatus &status)
{
    if (status.has_failure() && this->published < State::COMPLETED) {
        this->applyFailure(status.failure());
    }
    this->applyStatus(status.state());
}

void Job::applyStatus(State status)
{
    if (this->published >= State::COMPLETED) {
        return;
    }
    this->published = status;
    if (status >= State::COMPLETED && !this->closed()) {
        this->state = status;
    }
}

} // namespace godwitfall
