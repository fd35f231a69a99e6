#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace godwitfall {

/** How the tasks of a step use workers. */
enum class WorkKind : std::uint8_t {
    Plain,      ///< Short-lived: reserves its resources and ends by itself.
    Serving,    ///< Long-running: reserves its resources and runs until it is cancelled.
    BestEffort, ///< Best-effort: uses processor time that reservations leave unused.
};

constexpr std::size_t workKinds = 3;

/** Returns the kind's name in logs and metrics. */
const char *toText(WorkKind kind);

/** Number of tasks of one kind of work, by phase. */
struct TaskCounts
{
    std::uint32_t waiting = 0;  ///< Ready to be placed.
    std::uint32_t starting = 0; ///< Placed, and not confirmed by their worker.
    std::uint32_t running = 0;
    std::uint32_t stopping = 0;
};

/** State of a coordinator at one moment; for logs and metrics. */
struct CoordinatorStatistics
{
    std::uint32_t workers = 0;      ///< Listed by the registry.
    std::uint32_t unresponsive = 0; ///< Last seen too long ago for new tasks.
    std::uint32_t ejected = 0;
    std::uint32_t draining = 0;
    std::int64_t milliCores = 0;
    std::int64_t reservedMilliCores = 0;
    std::int64_t bestEffortMilliCores = 0; ///< Of running best-effort tasks, at their current pace.
    std::int64_t memoryMb = 0;
    std::int64_t reservedMemoryMb = 0;
    std::uint32_t openJobs = 0;
    std::uint64_t workerSearches = 0; ///< Since this coordinator became active.
    std::uint32_t missedTargets = 0;  ///< Serving tasks over their latency target.
    std::array<TaskCounts, workKinds> tasks;
};

} // namespace godwitfall
