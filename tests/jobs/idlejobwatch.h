#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jobsimulation.h"

namespace godwitfall::jobtests {

/** Checks by what the workers do that no job of short-lived tasks stands still beyond the
 * platform's bound; times are in ms of the simulation. */
class IdleJobWatch
{
public:
    explicit IdleJobWatch(JobSimulation &simulation)
        : simulation(simulation)
    {}

    /** Notes which jobs are at work; to be called often. */
    void check(std::int64_t beginMs, std::int64_t calmFromMs);

    /** Returns whether each task of all accepted jobs has ended as done. */
    bool allDone() const;

    /** Returns the jobs that stood still for too long, with what the coordinator waited for; times
     * are since the begin. */
    std::vector<std::string> idleJobs(std::int64_t beginMs);

private:
    /** What is known of one job that stands still. */
    struct Idle
    {
        std::int64_t sinceMs = 0;
        std::optional<std::int64_t> overdueSinceMs;
        std::string view;                          ///< The coordinator's at the last check.
        std::map<std::string, std::int64_t> views; ///< For how long it had each, in ms.
        std::int64_t checkedMs = 0;
        std::string trace; ///< Changes of the view.
    };

    bool hasEnded(const JobId &id) const;
    /** Returns whether the turn of a task has come and nothing of the job runs; what runs again
     * after it has ended as done does not count. */
    bool isIdle(const JobId &id) const;
    /** Returns whether a delayed order has started a task of the job, which the rule does not
     * judge. */
    bool startedLate(const JobId &id) const;
    /** Returns whether under half of the capacity of the workers is in use. */
    bool hasAmpleCapacity() const;
    void noteEnd(const JobId &id, const Idle &idle, std::int64_t beginMs);

    JobSimulation &simulation;
    std::int64_t calmFromMs = 0;
    std::map<JobId, Idle> idle;
    std::vector<std::string> broken;
};

} // namespace godwitfall::jobtests
