#pragma once

#include <cstdint>
#include <map>
#include <optional>
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

/** Where a task stands. */
enum class TaskPhase : std::uint8_t {
    Waiting,     ///< Runs nowhere.
    Recording,   ///< Placed; the record of it is not durable yet.
    Starting,    ///< Its start is ordered and not confirmed.
    Running,     ///< Its worker lists it.
    Stopping,    ///< Its stop is ordered; it may still run.
    Unconfirmed, ///< A former coordinator placed it; its worker has not been heard since.
    Done,
};

/** A start of a task without an answer, which a later life of its worker may still carry out. */
struct LateStart
{
    std::string worker;
    std::uint32_t run = 0;
    Instant at;
};

/** One task of a step. */
struct Task
{
    TaskPhase phase = TaskPhase::Waiting;
    std::uint32_t run = 0;                 ///< Number of the newest start; 0 before the first.
    std::vector<std::uint32_t> failedRuns; ///< Attempts that count, by the number of the run.
    std::string worker;                    ///< Where it is placed; empty when it runs nowhere.
    std::int64_t workerBornMs = 0; ///< Life of the worker that it was placed on; 0: not known.
    std::string checkpoint;
    std::uint64_t listedIn = 0; ///< Number of the newest report that listed it.
    bool listed = false;        ///< A report of the life that it was placed on has listed it.
    bool maybeLate = false; ///< A try of its start may still be carried out, by a later life too.
    std::vector<LateStart> lateStarts;
    std::uint32_t percent = 0;
    std::uint32_t pace = 100;  ///< Share of its speed at which a filling task may work, in percent.
    bool paceConfirmed = true; ///< The worker took the pace.
    Instant pacedAt;           ///< When the pace was last sent.
    Instant overSince;         ///< Since when a serving task misses its target; unset: it does not.
    Instant slowedAt;          ///< When pace last left 100.
    Activity activity = Activity::Unknown; ///< Of a filling task.
    double load = 0.0;       ///< Of a serving task: behind its tail latency, see InterferenceModel.
    Instant loadAt;          ///< When load was sampled.
    LoadEstimate pressure;   ///< What filling work added to load.
    std::int64_t metric = 0; ///< Tail latency in ms of a serving task, else milli-cores in use.
    Instant since;           ///< When the phase began.
    Instant progressAt;      ///< When percent or checkpoint last changed.
};

/** Since when tasks of a step could be placed; unset: they can't. */
struct StepWait
{
    Instant readySince;
    Instant roomySince; ///< Since when it has had room to spare.
    Instant searchedAt; ///< When a worker was last searched for in vain.
};

/** One run through a step: its tasks within one occurrence. */
struct StepRun
{
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::vector<Task> tasks;
    std::uint32_t done = 0;
    double peakLoad = 0.0; ///< Highest load of its own of a serving step in the recent past.
    Instant peakAt;

    bool complete() const { return this->done == this->tasks.size(); }
};

/** A submitted job with the state of its tasks. */
class Job
{
public:
    using State = jobs::JobState;

    Job(JobId id, jobs::JobSpec spec);

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

    /** Returns the run of the step, created when it is the first use. */
    StepRun &stepRun(std::uint32_t occurrence, std::uint32_t step);

    /** Returns the run of the step, or null when no task of it was ever placed. */
    const StepRun *findStepRun(std::uint32_t occurrence, std::uint32_t step) const;

    /** Returns the wait of the step's tasks. */
    StepWait &waitOf(std::uint32_t occurrence, std::uint32_t step)
    {
        return this->waits[{occurrence, step}];
    }

    /** Returns the task, or null when the job has no such task. */
    Task *task(const TaskRef &ref);

    std::map<std::pair<std::uint32_t, std::uint32_t>, StepRun> &stepRuns() { return this->runs; }
    const std::map<std::pair<std::uint32_t, std::uint32_t>, StepRun> &stepRuns() const
    {
        return this->runs;
    }

    /** Returns whether all steps that the step depends on are done. */
    bool dependenciesDone(std::uint32_t occurrence, std::uint32_t step) const;

    /** Returns whether every task of every occurrence is done. */
    bool allDone() const;

    /** Returns whether the job will never start another task. */
    bool closed() const { return this->state >= State::COMPLETED; }

    /** Returns the progress as a record. */
    jobs::JobProgress toProgress() const;

    /** Takes over the state of a record; placed tasks become unconfirmed. */
    void applyProgress(const jobs::JobProgress &progress, Instant now);

    /** Notes what clients are told; what is over stays over. */
    void applyStatus(State told);

    /** Frees the tasks of a closed job. */
    void dropTasks() { this->runs.clear(); }

    /**
     * Returns the load of its own of a serving step, as its tasks show that bear the least
     * pressure; nothing without fresh samples. One task may be left out.
     */
    std::optional<LoadEstimate> ownLoad(std::uint32_t occurrence, std::uint32_t step, Instant now,
                                        std::optional<std::uint32_t> except = {}) const;

    /** Returns the length of the longest chain of steps by their estimates. */
    Duration longestChain() const { return this->chain; }

    /** Returns the length of the longest chain of steps that are not done, of the first occurrence.
     */
    Duration remainingChain() const;

    /** Returns whether some step of it ends by itself and has room reserved for it. */
    bool hasShortWork() const { return this->shortWork; }

    /** Returns the estimated work of all tasks of one occurrence, in milli-core ms. */
    std::uint64_t estimatedWork() const { return this->work; }

    State state = State::QUEUED;
    State published = State::QUEUED; ///< What clients are told; durable.
    bool cancelled = false;
    std::int64_t finishedMs = 0; ///< Since 1970; 0 while open.
    std::uint64_t progressOffset = 0;
    Instant knownSince;
    Instant firstPlacedAt; ///< When this coordinator first placed a task of it; unset: not yet.
    Instant closedAt;
    std::uint32_t returns = 0; ///< Runs that this coordinator saw end other than done.

private:
    void measure();

    JobId identity;
    jobs::JobSpec submitted;
    std::map<std::pair<std::uint32_t, std::uint32_t>, StepRun> runs;
    std::map<std::pair<std::uint32_t, std::uint32_t>, StepWait> waits;
    Duration chain;
    std::uint64_t work = 0;
    bool shortWork = false;
};

} // namespace godwitfall
