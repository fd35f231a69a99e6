#pragma once

#include <string>
#include <vector>

#include "interferencemodel.h"
#include "pacepolicy.h"
#include "workerstate.h"

namespace godwitfall {

/** A task that is to be placed, and the conditions on its worker. */
struct PlacementRequest
{
    const Job &job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::string onlyRack;           ///< Only workers of this rack; empty: any.
    bool allowInterference = false; ///< Also where it slows serving tasks; else the task waits.
    std::size_t crashes = 0;        ///< Workers that have crashed under the task.
    /** Best-effort: also where other best-effort tasks use the processors that are left. */
    bool mayCrowd = false;
};

/**
 * Chooses workers for tasks: filters the workers that can take a task and returns the one of least
 * cost.
 *
 * Tasks with reserved resources are packed tightly (best fit). Best-effort tasks, of steps with
 * fills set, are spread (worst fit) over workers whose serving tasks tolerate them.
 */
class PlacementPolicy
{
public:
    /** Age of a worker's newest reply above which nothing new is placed on it; covers three short
     * holds, see WorkerReport. */
    static constexpr Duration responseTimeout{1800};
    /** Share of a worker's processors in use up to which best-effort tasks are added; leaves
     * capacity for what serving tasks use beyond their usual. */
    static constexpr double bestEffortCeiling = 1.0;
    /** Share of the reserved processors that counts as used when best-effort tasks are placed. */
    static constexpr double reservedUtilization = 0.5;

    explicit PlacementPolicy(const InterferenceModel &interference);

    /** Returns the candidate of least cost, or null when none can take the task now. */
    WorkerState *choose(const std::vector<WorkerState *> &candidates,
                        const PlacementRequest &request, Instant now) const;

    /** Returns whether the worker has the label that the step requires, if it requires one. */
    static bool hasRequiredLabel(const WorkerState &worker, const jobs::StepSpec &step)
    {
        return step.required_label().empty() || worker.entry.hasLabel(step.required_label());
    }

    /** Returns whether the worker takes tasks at present, whether they fit or not. */
    static bool takesTasks(const WorkerState &worker, Instant now);

    /** Returns the capacity that is free for best-effort tasks, or for others; none while the
     * worker takes no tasks. */
    static Resources freeCapacity(const WorkerState &worker, bool bestEffort, Instant now);

    /** Returns the worker's serving tasks with a latency target; their headroom is computed for a
     * load between the present one (towardsPeak 0) and the recent peak (1). */
    std::vector<ServingTask> servingOn(const WorkerState &worker, Instant now,
                                       double towardsPeak) const;

    /** Returns whether the worker may get a task of the step, free capacity and interference with
     * serving tasks left aside. */
    static bool suits(const WorkerState &worker, const PlacementRequest &request, Instant now);

    /** Returns whether the worker may get a task of the step: admits() and tolerates(). */
    bool usable(WorkerState &worker, const PlacementRequest &request, Instant now) const;

    /** Returns whether the worker may get a task of the step, interference with serving tasks left
     * aside; inexpensive. */
    bool admits(const WorkerState &worker, const PlacementRequest &request, Instant now) const;

    /** Returns whether the serving tasks of the worker tolerate another task of the step. */
    bool tolerates(WorkerState &worker, const PlacementRequest &request, Instant now) const;

    /** Returns the cost of a task of the step on the worker, without unit; the least is best. */
    double cost(WorkerState &worker, const jobs::StepSpec &step, Instant now) const;

    /** Returns a lower bound of the cost; inexpensive. */
    double costLowerBound(const WorkerState &worker, const jobs::StepSpec &step) const;

    /** Returns a cost that keeps tasks under which workers have crashed apart from each other and
     * from tasks that have just begun, so that the next crash tells which one is the cause. */
    static double separationCost(const WorkerState &worker, const PlacementRequest &request);

    /** Returns whether costLowerBound() is the cost itself for steps like this one. */
    static bool lowerBoundIsExact(const jobs::StepSpec &step)
    {
        return !step.fills() && step.target_ms() == 0;
    }

private:
    /** Returns the cost of missed latency targets relative to the value of the task's work; see
     * PacePolicy. */
    double interferenceCost(WorkerState &worker, const jobs::StepSpec &step, Instant now) const;
    const InterferenceModel &interference;
    const PacePolicy pacePolicy;
};

} // namespace godwitfall
