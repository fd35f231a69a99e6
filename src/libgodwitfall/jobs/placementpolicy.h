#pragma once

#include <string>
#include <vector>

#include "interferencemodel.h"
#include "pacepolicy.h"
#include "workerstate.h"

namespace godwitfall {

/** A task that is to be placed. */
struct PlacementRequest
{
    const Job &job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::string onlyRack; ///< Empty: any.
    bool allowInterference =
        false; ///< Also where it slows what serves; else it waits for a better worker.
};

/** Chooses workers for tasks: worst-fit packing within what each worker can bear. */
class PlacementPolicy
{
public:
    /** Age of a worker's newest answer above which nothing new is placed on it; three short
     * holds. */
    static constexpr Duration responseTimeout{1800};
    /** Share of a worker's processors up to which filling tasks are added; leaves room for what
     * serving tasks use beyond their usual. */
    static constexpr double fillCeiling = 1.0;
    /** Share of a serving task's processors that counts as used when filling tasks are placed. */
    static constexpr double servingUse = 0.5;

    explicit PlacementPolicy(const InterferenceModel &interference);

    /** Returns the best worker of the candidates, or null when none can take the task now. */
    WorkerState *choose(const std::vector<WorkerState *> &candidates,
                        const PlacementRequest &request, Instant now) const;

    /** Returns the worker's serving tasks; their loads taken for now, or, by a part from 0 to 1,
     * for nearer to their recent peak. */
    std::vector<ServingTask> servingOn(const WorkerState &worker, Instant now,
                                       double towardsPeak) const;

    /** Returns whether the worker may get new tasks of the step. */
    bool usable(WorkerState &worker, const PlacementRequest &request, Instant now) const;

    /** Returns whether nothing but harm to serving tasks keeps new tasks of the step away; cheap.
     */
    bool admits(const WorkerState &worker, const PlacementRequest &request, Instant now) const;

    /** Returns whether the serving tasks of the worker bear another task of the step. */
    bool tolerates(WorkerState &worker, const PlacementRequest &request, Instant now) const;

    /** Returns what a task of the step costs on the worker; the least is best. */
    double cost(WorkerState &worker, const jobs::StepSpec &step, Instant now) const;

    /** Returns a bound that the cost does not fall below; cheap. */
    double costLowerBound(const WorkerState &worker, const jobs::StepSpec &step) const;

    /** Returns whether the least cost of steps like this one is their cost. */
    static bool lowerBoundIsExact(const jobs::StepSpec &step)
    {
        return !step.fills() && step.target_ms() == 0;
    }

private:
    /** Returns what missed targets cost against the task's work, see PacePolicy. */
    double harmWith(WorkerState &worker, const jobs::StepSpec &step, Instant now) const;
    const InterferenceModel &interference;
    const PacePolicy paces;
};

} // namespace godwitfall
