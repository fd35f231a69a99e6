#pragma once

#include <functional>
#include <string>
#include <vector>

#include "world.h"

namespace godwitfall::promises {

/** A failure that is brought about on purpose, at a moment that the turn shifts. */
struct Script
{
    const char *name;
    int turns; ///< Each turn has a seed and a moment of its own.
    void (*run)(World &world, int turn);
};

/** Returns all scripts. */
const std::vector<Script> &scripts();

/** Runs every turn of the script and returns the first promise seen broken, or an empty text. */
std::string runScript(const Script &script, Weakening weakening);

} // namespace godwitfall::promises
