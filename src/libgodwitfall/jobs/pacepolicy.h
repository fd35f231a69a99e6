#pragma once

#include <string>
#include <vector>

#include "interferencemodel.h"
#include "job.h"
#include "servingtask.h"

namespace godwitfall {

/** A running best-effort task with its pace. */
struct PacedTask
{
    TaskRef ref;
    Job *job = nullptr;
    std::string image;
    Activity activity = Activity::Unknown;
    double share = 0.0; ///< Of the worker's processors, at full pace.
    double pace = 1.0;  ///< Share of its full speed, 0 to 1.
    double least = 0.0; ///< Pace below which it is not slowed.
};

/**
 * Slows best-effort tasks whose work has less value than the latency targets that it may make
 * serving tasks miss: marginal cost pricing, with the pressure that the interference model
 * predicts.
 */
class PacePolicy
{
public:
    /** Best-effort work, as a share of a worker's processors, that is given up to keep one serving
     * task within its target; a miss counts four times, so one serving task is worth a third of a
     * worker. */
    static constexpr double workPerMiss = 0.2;
    /** Step by which a pace is lowered. */
    static constexpr double paceStep = 0.2;

    explicit PacePolicy(const InterferenceModel &interference);

    /** Lowers the paces of best-effort tasks whose cost is above 1, the costliest first, down to
     * the least of each. */
    void lowerPaces(const std::vector<ServingTask> &serving,
                    std::vector<PacedTask> &bestEffort) const;

    /**
     * Returns the expected cost of the targets missed because of a best-effort task, relative to
     * the value of its work; above 1 the cost exceeds it. The shares include that of the task.
     */
    double cost(const std::string &image, Activity activity,
                const std::vector<ServingTask> &serving,
                const std::vector<BestEffortShare> &bestEffort) const;

private:
    const InterferenceModel &interference;
};

} // namespace godwitfall
