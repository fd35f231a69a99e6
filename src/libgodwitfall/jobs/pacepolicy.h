#pragma once

#include <string>
#include <vector>

#include "interferencemodel.h"
#include "job.h"
#include "servingtask.h"

namespace godwitfall {

/** A running filling task, and the pace at which it works. */
struct PacedTask
{
    TaskRef ref;
    Job *job = nullptr;
    std::string image;
    Activity activity = Activity::Unknown;
    double share = 0.0; ///< Of the worker's processors, at full pace.
    double pace = 1.0;  ///< Part of its speed, 0 to 1.
};

/**
 * Slows filling tasks where their work is worth less than the targets that it may make serving
 * tasks miss: marginal cost pricing, with the pressures that the interference model expects.
 */
class PacePolicy
{
public:
    /** Filling work, as a share of a worker's processors, that is given up to keep one serving task
     * within its target; a miss counts four times, so a third of a worker is what one serves. */
    static constexpr double workPerMiss = 0.2;
    /** Pace is changed in steps of this part. */
    static constexpr double paceStep = 0.2;

    explicit PacePolicy(const InterferenceModel &interference);

    /** Lowers the paces of filling tasks that cost more than they are worth, the dearest first. */
    void lowerPaces(const std::vector<ServingTask> &serving, std::vector<PacedTask> &filling) const;

    /**
     * Returns what the targets missed for a task cost against its work, above 1 when it costs more;
     * the task is counted among those that fill.
     */
    double cost(const std::string &image, Activity activity,
                const std::vector<ServingTask> &serving,
                const std::vector<BestEffortShare> &filling) const;

private:
    const InterferenceModel &interference;
};

} // namespace godwitfall
