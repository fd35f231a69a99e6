#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace godwitfall {

/** Receives the name of a violated invariant and the values that violate it. */
using InvariantHandler = std::function<void(const std::string &name, const std::string &seen)>;

/**
 * Sets the handler of violated invariants and returns the previous one.
 *
 * The default handler writes to standard error and aborts the process.
 */
InvariantHandler setInvariantHandler(InvariantHandler handler);

/** Counts a check of the invariant and calls the handler if it is violated. */
void checkInvariant(bool holds, const char *name, const std::function<std::string()> &seen);

/** Number of checks of an invariant, and of checks that found it violated. */
struct InvariantCount
{
    std::uint64_t checked = 0;
    std::uint64_t broken = 0;
};

/** Returns the counts of all invariants checked so far, by name. */
std::map<std::string, InvariantCount> invariantCounts();

} // namespace godwitfall
