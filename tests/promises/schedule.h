#pragma once

#include "simulation.h"

namespace godwitfall::guarantees {

/** Outcome of a number of random schedules. */
struct RunResult
{
    bool passed = false;
    std::uint64_t schedules = 0;
    Counts counts;
    std::string firstViolation;
};

/**
 * Runs random schedules until one violates a guarantee or RapidCheck's number of runs is reached.
 *
 * The seed and the number of runs come from RC_PARAMS.
 */
RunResult runSchedules(Weakening weakening);

/** Runs up to the given number of schedules from the seed, without shrinking and output. */
RunResult runSchedules(Weakening weakening, std::uint64_t seed, int schedules);

} // namespace godwitfall::guarantees
