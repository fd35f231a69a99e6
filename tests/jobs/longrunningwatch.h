#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "jobsimulation.h"

namespace godwitfall::jobtests {

/** Checks that long-running tasks run again within the platform's bound; times are in ms of the
 * simulation. */
class LongRunningWatch
{
public:
    explicit LongRunningWatch(JobSimulation &simulation)
        : simulation(simulation)
    {}

    void add(const TaskRef &ref) { this->watchedTasks.emplace(ref, Watched()); }
    std::vector<TaskRef> tasks() const;

    /** Notes which tasks run; to be called often. */
    void check(std::int64_t beginMs, std::int64_t calmFromMs);

    /** Returns the tasks that ran too late, or not yet though they should, with what the
     * coordinator waited for; times are since the begin. */
    std::vector<std::string> lateTasks(std::int64_t beginMs);

private:
    /** What is known of one long-running task. */
    struct Watched
    {
        std::optional<std::int64_t> overdueSinceMs;
        std::string overdueView; ///< The coordinator's when the bound passed.
        std::int64_t stoppedMs = 0;
        std::string view;  ///< The coordinator's at the last check.
        std::string trace; ///< Changes of the view while it does not run.
    };

    bool isRunning(const TaskRef &ref) const;
    /** Returns when the task must run; nothing if the rule does not judge it. */
    std::optional<std::int64_t> mustRunBy(const TaskRef &ref, std::int64_t calmFromMs) const;
    void noteLate(const TaskRef &ref, const Watched &watched, std::int64_t beginMs);

    JobSimulation &simulation;
    std::int64_t calmFromMs = 0;
    std::map<TaskRef, Watched> watchedTasks;
    std::vector<std::string> late;
};

} // namespace godwitfall::jobtests
