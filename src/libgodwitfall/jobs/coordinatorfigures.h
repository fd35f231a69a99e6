#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace godwitfall {

/** What kind of work a step is to the workers that it shares. */
enum class WorkKind : std::uint8_t {
    Plain,   ///< Has room reserved for it and ends.
    Serving, ///< Runs until it is cancelled.
    Filling, ///< Works with what reserved room leaves unused.
};

constexpr std::size_t workKinds = 3;

/** Returns the kind as a word for logs and metrics. */
const char *toText(WorkKind kind);

/** Tasks of one kind of work, by where they stand. */
struct TaskFigures
{
    std::uint32_t waiting = 0;  ///< Their turn has come and they run nowhere.
    std::uint32_t starting = 0; ///< Placed and not confirmed.
    std::uint32_t running = 0;
    std::uint32_t stopping = 0;
};

/** What a coordinator sees at one moment; for logs and metrics. */
struct CoordinatorFigures
{
    std::uint32_t workers = 0; ///< That the registry lists.
    std::uint32_t silent = 0;  ///< Of these, not heard for longer than a start waits.
    std::uint32_t resting = 0;
    std::uint32_t draining = 0;
    std::int64_t milliCores = 0;
    std::int64_t reservedMilliCores = 0;
    std::int64_t fillingMilliCores = 0; ///< At the pace that is set.
    std::int64_t memoryMb = 0;
    std::int64_t reservedMemoryMb = 0;
    std::uint32_t openJobs = 0;
    std::uint64_t workerSearches = 0; ///< Searches for workers since it began to coordinate.
    std::uint32_t missedTargets = 0;  ///< Serving tasks over their target.
    std::array<TaskFigures, workKinds> tasks;
};

} // namespace godwitfall
