#pragma once

#include <functional>
#include <string>
#include <vector>

#include "simulation.h"

namespace godwitfall::guarantees {

/** A deliberately caused failure, whose moment depends on the variant. */
struct Scenario
{
    const char *name;
    int variants; ///< Number of variants; each has its own seed and moment of the failure.
    void (*run)(Simulation &simulation, int variant);
};

const std::vector<Scenario> &scenarios();

/** Runs all variants of the scenario; returns the first violation, or an empty text. */
std::string runScenario(const Scenario &scenario, Weakening weakening);

} // namespace godwitfall::guarantees
