#pragma once

#include <string>
#include <vector>

#include "queueconfig.h"

namespace godwitfall {

/** Returns what is wrong with a configuration that can be read: entries that never match, and
 * values that contradict each other. */
std::vector<std::string> configFindings(const JobConfig &config);

/** Returns what the newer configuration changes, one line for each field. */
std::vector<std::string> configChanges(const JobConfig &inForce, const JobConfig &newer);

} // namespace godwitfall
