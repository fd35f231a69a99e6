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

/** What keeps a task from running; a closed list in logs and metrics. */
enum class DelayReason : std::uint8_t {
    FormerLease,     ///< Its worker has not replied since a takeover; a former lease may last.
    Lease,           ///< Its worker does not reply; its lease may last.
    Start,           ///< The order that starts it is not confirmed.
    Stop,            ///< The order that stops its last run is not confirmed.
    OrphanRun,       ///< A worker may still run it, though no record places it there.
    ShortLivedFirst, ///< Short-lived tasks take precedence.
    HeldBack,        ///< Workers have crashed under it.
    NoWorker,        ///< No worker can take it.
    ZoneEvacuated,   ///< The same; some could, if operators did not evacuate their zone.
    Halted,          ///< It runs at pace 0, in favour of serving tasks next to it.
    NotReported,     ///< It is to run on a worker that replies, which does not list it.
};

constexpr std::size_t delayReasonCount = 11;

/** Returns the reason's name in logs and metrics. */
const char *toText(DelayReason reason);

/** What keeps a waiting task from the workers; of those that come nearest to taking it. A closed
 * list in logs. */
enum class PlacementObstacle : std::uint8_t {
    None,            ///< Some worker could take it now.
    Interference,    ///< It would slow serving tasks too much.
    BestEffortLimit, ///< Best-effort tasks use what the others leave.
    Ejected,         ///< Workers with the capacity rest after failures.
    TakesNoTasks,    ///< Workers with the capacity leave, do not reply or are in evacuated zones.
    Capacity,        ///< No worker has the capacity.
};

/** Returns the obstacle's name in logs. */
const char *toText(PlacementObstacle obstacle);

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

/** An open job of which nothing is at work though the turn of one of its tasks has come. */
struct IdleJob
{
    JobId job;
    Duration idle{0};  ///< Since a task of it was last seen at work, or the first one was due.
    DelayedTask first; ///< The first task whose turn has come, and what it waits for.
    std::uint32_t waiting = 0; ///< Tasks whose turn has come, by what they do.
    std::uint32_t placed = 0;
    std::uint32_t halted = 0;
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
    std::uint32_t shortServices = 0; ///< Whose waiting tasks exceed their free capacity.
    std::size_t openStarts = 0;      ///< Starts that are being recorded or await a reply.
    std::size_t startLimit = 0; ///< Most starts that may be open; falls while replies are late.
    std::uint64_t workerSearches = 0; ///< Since this coordinator became active.
    std::uint32_t missedTargets = 0;  ///< Serving tasks over their latency target.
    std::array<TaskCounts, workKinds> tasks;
    std::array<std::uint32_t, delayReasonCount> delayed{};  ///< Long-running tasks, by DelayReason.
    std::array<std::uint32_t, delayReasonCount> idleJobs{}; ///< By DelayReason of their first task.
};

} // namespace godwitfall
