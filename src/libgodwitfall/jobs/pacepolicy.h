#pragma once

#include <string>
#include <vector>

#include "interferencemodel.h"
#include "job.h"

namespace godwitfall {

/** A running filling task, and the pace at which what serves beside it bears it. */
struct PacedTask
{
    TaskRef ref;
    Job *job = nullptr;
    std::string image;
    Activity activity = Activity::Unknown;
    double share = 0.0;  ///< Of the worker's processors, at full pace.
    double pace = 1.0;   ///< Part of its speed, 0 to 1.
    double factor = 0.0; ///< Pressure of a whole worker on the serving image looked at last.
};

/**
 * Slows filling tasks until what serves beside them bears it: feedback control by the pressure that
 * the interference model expects.
 */
class PacePolicy
{
public:
    explicit PacePolicy(const InterferenceModel &interference);

    /**
     * Lowers paces until the pressure on the serving image is within the room, in units of load.
     * The tasks that press most go first; none halts before all others that press go slowly.
     */
    void slowFor(const std::string &serving, double room, std::vector<PacedTask> &filling) const;

private:
    const InterferenceModel &interference;
};

} // namespace godwitfall
