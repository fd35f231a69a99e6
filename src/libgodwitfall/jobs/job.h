#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "clock.h"
#include "ids.h"
#include "interferencemodel.h"
#include "jobs.pb.h"
#include "queueconfig.h"

namespace godwitfall {

/** Names one task of a job; index counts the tasks of a step from 0. */
struct TaskRef
{
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    auto operator<=>(const TaskRef &) const = default;
};

/** Names one step of one occurrence of a job. */
struct StepRef
{
    JobId job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    auto operator<=>(const StepRef &) const = default;
};

/** Names one run of a task. */
struct RunRef
{
    TaskRef task;
    std::uint32_t run = 0;

    auto operator<=>(const RunRef &) const = default;
};

/** State of a task as its coordinator knows it. */
enum class TaskPhase : std::uint8_t {
    Waiting,     ///< Not placed.
    Recording,   ///< Placed; the record of the placement is not durable yet.
    Starting,    ///< Start order sent, not confirmed.
    Running,     ///< Its worker reports it as running.
    Stopping,    ///< Stop order sent; it may still run.
    Unconfirmed, ///< Placed by a former coordinator; its worker has not responded since.
    Done,
};

/** A run under which a worker may have crashed. */
struct CrashedRun
{
    std::uint32_t run = 0;
    jobs::CrashEvidence evidence = jobs::POSSIBLE;
    jobs::CrashSign sign = jobs::OTHER_INCARNATION;
    std::string worker;                  ///< Empty: counted by an earlier version.
    std::uint64_t epoch = 0;             ///< Of the coordinator that counted the crash.
    std::int64_t incarnationStartMs = 0; ///< Of the worker, since 1970; 0: not known.
    std::int64_t countedMs = 0;          ///< Since 1970; 0: not known.
    Instant countedAt;                   ///< The same on this coordinator's clock; not recorded.
};

/** Why a coordinator closed a job; a closed list in logs and metrics. */
enum class JobEndReason : std::uint8_t {
    AllDone,
    AttemptsUsedUp, ///< Runs of a task ended as failed, as often as the queue allows.
    WorkersCrashed, ///< Workers crashed under a task.
    Cancelled,
};

/** Returns the reason's name in logs and metrics. */
const char *toText(JobEndReason reason);

/** The end of a job, and the task that it rests on. */
struct JobEnd
{
    JobEndReason reason = JobEndReason::AllDone;
    TaskRef task;                          ///< Of AttemptsUsedUp and WorkersCrashed.
    std::vector<std::uint32_t> failedRuns; ///< Of that task.
    std::vector<CrashedRun> crashedRuns;   ///< Of that task.
};

/** One task of a step. */
struct Task
{
    TaskPhase phase = TaskPhase::Waiting;
    std::uint32_t run = 0;                 ///< Number of the newest start; 0 before the first.
    std::vector<std::uint32_t> failedRuns; ///< Run numbers of the failed attempts that count.
    std::vector<CrashedRun> crashedRuns;   ///< Under which a worker crashed; each may be the cause.
    /** It has been at work for a while, so that it is not why workers crash that start it. */
    bool harmless = false;
    std::string worker; ///< Where it is placed; empty when not placed.
    /** When the incarnation of that worker began, in ms since 1970; 0: unknown. */
    std::int64_t workerIncarnationStartMs = 0;
    std::int64_t placedMs = 0;     ///< When it was placed there, in ms since 1970.
    std::uint64_t placedEpoch = 0; ///< Of the coordinator that placed it; 0: not known.
    std::string checkpoint;
    std::uint64_t lastListedIn = 0; ///< Number of the newest report that listed it as running.
    bool listed = false;            ///< A report of the incarnation it was placed on has listed it.
    bool startTaken = false;        ///< Its worker has taken the start of its newest run.
    Instant startSentAt; ///< When this coordinator first sent that start; unset: it has not.
    /** A report that was asked for after the newest try of that start does not list the run. */
    bool unlisted = false;
    /** That start is only sent to a worker that has just replied, which is asked often from then
     * on. */
    bool watched = false;
    /** What the worker's closing of its connections tells of a watched run; recorded, as this
     * coordinator may be lost before the next incarnation replies. */
    jobs::CrashEvidence closing = jobs::POSSIBLE;
    std::uint32_t percent = 0;
    std::uint32_t pace = 100;  ///< Percent of full speed that a best-effort task may use.
    bool paceConfirmed = true; ///< The worker has accepted the pace.
    Instant paceSentAt;        ///< When the pace was last sent.
    Instant targetMissedSince; ///< Since when a serving task misses its target; unset: it meets it.
    Instant slowedAt;          ///< When pace last went below 100.
    Duration lostTime{0};      ///< Time that its run has lost by its pace.
    Activity activity = Activity::Unknown; ///< Of a best-effort task.
    /** Of a serving task: the load derived from its tail latency, see InterferenceModel. */
    double load = 0.0;
    Instant loadSampledAt;   ///< When load was sampled.
    LoadEstimate pressure;   ///< Part of load that best-effort tasks cause.
    std::int64_t metric = 0; ///< Tail latency in ms of a serving task, else milli-cores in use.
    Instant since;           ///< When the phase began.
    Instant checkpointAt;    ///< When checkpoint last changed; unset: in no run that is known.
    Instant progressAt;      ///< When percent or checkpoint last changed.
};

/** Since when tasks of a step wait, and for what; an unset time does not apply. */
struct StepWait
{
    Instant readySince;         ///< Since when its tasks may be placed.
    Instant spareCapacitySince; ///< Since when workers have capacity to spare for it.
    Instant searchFailedAt;     ///< When the last search found no worker.
    bool yields = false;        ///< The last plan left them waiting for short-lived tasks.
};

/** The tasks of a step within one occurrence of the job. */
struct StepRun
{
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<Task> tasks;
    std::uint32_t done = 0;
    double peakLoad = 0.0; ///< Of a serving step: highest recent value of Job::ownLoad().
    Instant peakAt;

    bool complete() const { return this->done == this->tasks.size(); }
};

/** A submitted job with the state of its tasks. */
class Job
{
public:
    using State = jobs::JobState;

    /** Most tasks, over all occurrences, of a job whose progress is one record. A larger job has a
     * record for each part, as the store bounds the size of a record. */
    static constexpr std::uint64_t wholeRecordTasks = 512;
    /** Tasks of one part; a change of one task writes the record of its whole part. */
    static constexpr std::uint64_t partTasks = 64;

    Job(JobId id, jobs::JobSpec spec);

    /** Returns the estimated memory of an open job with that specification, in bytes. */
    static std::size_t estimateBytes(const jobs::JobSpec &spec);

    const JobId &id() const { return this->identity; }
    const jobs::JobSpec &spec() const { return this->submitted; }
    const jobs::StepSpec &stepSpec(std::uint32_t step) const
    {
        return this->submitted.steps(static_cast<int>(step));
    }

    /** Returns the number of occurrences; 1 for a job that is not repeated. */
    std::uint32_t occurrences() const;

    /** Returns when the occurrence is due, in ms since 1970; 0 for a job that is not repeated. */
    std::int64_t dueMs(std::uint32_t occurrence) const;

    /** Returns the run of the step; creates it on first use. */
    StepRun &stepRun(std::uint32_t occurrence, std::uint32_t step);

    /** Returns the run of the step, or null when no task of it was ever placed. */
    const StepRun *findStepRun(std::uint32_t occurrence, std::uint32_t step) const;

    /** Returns since when the step's tasks wait; creates the entry on first use. */
    StepWait &waitOf(std::uint32_t occurrence, std::uint32_t step)
    {
        return this->waits[{occurrence, step}];
    }

    /** Returns since when the step's tasks wait, or null when they never did. */
    const StepWait *findWait(std::uint32_t occurrence, std::uint32_t step) const;

    /** Returns the task, or null when the job has no such task. */
    Task *task(const TaskRef &ref);

    std::map<std::pair<std::uint32_t, std::uint32_t>, StepRun> &stepRuns() { return this->runs; }
    const std::map<std::pair<std::uint32_t, std::uint32_t>, StepRun> &stepRuns() const
    {
        return this->runs;
    }

    /** Returns the crashes of workers that are counted under the task, or under its gang; the
     * reference is valid until the next change. */
    const std::vector<CrashedRun> &crashesOf(const TaskRef &ref) const;

    /** Returns how many workers may have crashed under the task, or under its gang. */
    std::size_t crashesUnder(const TaskRef &ref) const { return this->crashesOf(ref).size(); }

    /** Returns whether all steps that the step depends on are done. */
    bool dependenciesDone(std::uint32_t occurrence, std::uint32_t step) const;

    /** Returns whether the progress shows that a worker has taken a start of some task. */
    bool hasBegun() const;

    /** Returns whether every task of every occurrence is done. */
    bool allDone() const;

    /** Returns whether the job will never start another task. */
    bool closed() const { return this->state >= State::COMPLETED; }

    /** Returns the number of tasks over all occurrences. */
    std::uint64_t taskCount() const { return this->tasksPerOccurrence * this->occurrences(); }

    /** Returns whether the progress has a record for each part. */
    bool inParts() const { return this->taskCount() > wholeRecordTasks; }

    /** Returns the part that the task belongs to. */
    std::uint32_t partOf(const TaskRef &ref) const;

    /** Returns the progress of all tasks. */
    jobs::JobProgress toProgress() const;

    /** Returns the progress of a job in parts without its tasks. */
    jobs::JobProgress toSummary() const;

    /** Returns the progress of the tasks of one part; without steps if nothing of it is needed. */
    jobs::JobProgress toPartProgress(std::uint32_t part) const;

    /** Returns what the record for clients says. */
    jobs::JobStatus toStatus() const;

    /** Replaces the state by that of a record; placed tasks become unconfirmed. */
    void applyProgress(const jobs::JobProgress &progress, Instant now);

    /** Replaces the state of one part's tasks by that of a record. */
    void applyPart(std::uint32_t part, const jobs::JobProgress &progress, Instant now);

    /** Sets the published state; a final state does not change any more. */
    void applyStatus(State status);
    void applyStatus(const jobs::JobStatus &status);

    /** Discards the tasks of a closed job. */
    void dropTasks() { this->runs.clear(); }

    /**
     * Returns the load that a serving step has without interference, averaged over its tasks;
     * those under the least uncertain pressure weigh most. Nothing without fresh samples. One task
     * may be left out.
     */
    std::optional<LoadEstimate> ownLoad(std::uint32_t occurrence, std::uint32_t step, Instant now,
                                        std::optional<std::uint32_t> except = {}) const;

    /** Returns the estimated length of the longest chain of dependent steps. */
    Duration criticalPath() const { return this->longestPath; }

    /** Returns the estimated length of the longest chain of steps that are not done, of the
     * occurrence. */
    Duration remainingCriticalPath(std::uint32_t occurrence = 0) const;

    /** Returns the estimated work of the tasks of the occurrence that are not placed, in milli-core
     * ms; saved progress is left out. */
    std::uint64_t unplacedWork(std::uint32_t occurrence) const;

    /** Returns whether some step has short-lived tasks: they end by themselves and reserve their
     * resources. */
    bool hasShortLivedTasks() const { return this->shortLivedTasks; }

    /** Returns whether some step is long-running. */
    bool hasLongRunningTasks() const { return this->longRunningTasks; }

    /** Returns the estimated memory of the job, in bytes; that of its tasks counts until a final
     * state is published and they have been dropped. */
    std::size_t estimatedBytes() const;

    /** Returns the estimated work of all tasks of one occurrence, in milli-core ms. */
    std::uint64_t estimatedWork() const { return this->work; }

    State state = State::QUEUED;
    State published = State::QUEUED; ///< State that clients see; durable.
    bool cancelled = false;
    /** Why it failed; unset: it has not, or an earlier version closed it. */
    std::optional<JobEnd> failure;
    std::int64_t finishedMs = 0;      ///< Since 1970; 0 while open.
    std::uint64_t progressOffset = 0; ///< Of the record of the job as a whole.
    /** That record has the progress of all tasks, though the job is in parts: an earlier version
     * wrote it. */
    bool wholeRecordOfParts = false;
    bool summaryChanged = false;          ///< Since its record was last written; of a job in parts.
    std::set<std::uint32_t> changedParts; ///< Parts that changed since they were last written.
    std::set<std::uint32_t> storedParts;  ///< Parts of which the store has a record.
    Instant knownSince;
    Instant firstPlacedAt; ///< When this coordinator first placed a task of it; unset: not yet.
    Instant workedAt;      ///< When a task of it was last seen at work, or ended done.
    Instant closedAt;      ///< When this coordinator closed it; unset: it has not.
    std::size_t countedBytes = 0;   ///< Part of JobTable::estimatedBytes().
    std::uint32_t returnedRuns = 0; ///< Runs that ended without success under this coordinator.

private:
    /** Computes the totals of the job from the estimates of its steps. */
    void computeTotals();
    void applyStep(const jobs::StepProgress &message, Instant now);
    void applyFailure(const jobs::JobFailure &message);

    JobId identity;
    jobs::JobSpec submitted;
    std::map<std::pair<std::uint32_t, std::uint32_t>, StepRun> runs;
    std::map<std::pair<std::uint32_t, std::uint32_t>, StepWait> waits;
    Duration longestPath;
    std::uint64_t work = 0;
    std::uint64_t tasksPerOccurrence = 0;
    std::vector<std::uint64_t> firstTaskOfStep; ///< Counted over the steps of one occurrence.
    std::size_t openBytes = 0;                  ///< Estimated memory while it is open.
    std::size_t retainedBytes = 0;              ///< The same without its tasks.
    bool shortLivedTasks = false;
    bool longRunningTasks = false;
};

} // namespace godwitfall
