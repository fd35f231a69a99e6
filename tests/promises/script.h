#pragma once

#include <functional>
#include <string>
#include <vector>

#include "world.h"

namespace godwitfall::promises {

/** A deliberately caused failure, whose moment varies with the turn. */
struct Script
{
    const char *name;
    int turns; ///< Number of runs; each has its own seed and moment of the failure.
    void (*run)(World &world, int turn);
};

/** Returns all scripts. */
const std::vector<Script> &scripts();

/** Runs all turns of the script; returns the first violation, or an empty text. */
std::string runScript(const Script &script, Weakening weakening);

} // namespace godwitfall::promises
