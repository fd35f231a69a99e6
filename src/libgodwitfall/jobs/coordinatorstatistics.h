#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "job.h"

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

/** What keeps a long-running task from running; a closed list in logs and metrics. */
enum class DelayReason : std::uint8_t {
    FormerLease,     ///< Its worker has not replied since a takeover; a former lease may last.
    DelayedStart,    ///< The same, and its start may still be carried out.
    Lease,           ///< Its worker does not reply; its lease may last.
    Start,           ///< The order that starts it is not confirmed.
    Stop,            ///< The order that stops its last run is not confirmed.
    OrphanRun,       ///< A worker may still run it, though no record places it there.
    ShortLivedFirst, ///< Short-lived tasks take precedence.
    HeldBack,        ///< Workers have crashed under it.
    NoWorker,        ///< No worker can take it.
    ZoneEvacuated,   ///< The same; some could, if operators did not evacuate their zone.
};

constexpr std::size_t delayReasonCount = 10;

/** Returns the reason's name in logs and metrics. */
const char *toText(DelayReason reason);

/** A long-running task that does not run, or whose worker does not reply. */
struct DelayedTask
{
    TaskRef task;
    std::string worker; ///< Where it is placed; empty when not placed.
    DelayReason reason = DelayReason::NoWorker;
    Duration waited{0};
    Duration left{0}; ///< Until its last run has ended for certain; 0 when not placed.
    /** Since it was placed, by the time of day of the coordinators; unset when not placed. */
    std::optional<Duration> placedAgo;
};

/** Tasks that a coordinator found placed when it took over. */
struct AdoptedTasks
{
    std::uint32_t placed = 0;
    std::uint32_t unconfirmed = 0; ///< Of these: their start may still be carried out.
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
    std::uint32_t shortServices = 0;  ///< Whose waiting tasks exceed their free capacity.
    std::uint64_t workerSearches = 0; ///< Since this coordinator became active.
    std::uint32_t missedTargets = 0;  ///< Serving tasks over their latency target.
    std::array<TaskCounts, workKinds> tasks;
    std::array<std::uint32_t, delayReasonCount> delayed{}; ///< Long-running tasks, by DelayReason.
};

} // namespace godwitfall
