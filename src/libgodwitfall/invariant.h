#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace godwitfall {

/** Receives the name of a broken invariant and what was seen. */
using InvariantHandler = std::function<void(const std::string &name, const std::string &seen)>;

/**
 * Sets what happens when an invariant breaks and returns the previous handler.
 *
 * The initial handler writes to standard error and aborts the process.
 */
InvariantHandler setInvariantHandler(InvariantHandler handler);

/** Counts a check of the named invariant and reports it when it does not hold. */
void checkInvariant(bool holds, const char *name, const std::function<std::string()> &seen);

/** How often an invariant was checked and found broken. */
struct InvariantCount
{
    std::uint64_t checked = 0;
    std::uint64_t broken = 0;
};

/** Returns the counts of all invariants checked so far, by name. */
std::map<std::string, InvariantCount> invariantCounts();

} // namespace godwitfall
