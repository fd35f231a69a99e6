#pragma once

#include <string_view>
#include <vector>

#include "ids.h"

namespace godwitfall {

/**
 * Returns the candidates ordered by their rendezvous weight for the key, highest first.
 *
 * Every instance that knows the same candidates gets the same order (Thaler and Ravishankar,
 * "Using name-based mappings to increase hit rates", 1998).
 */
std::vector<InstanceId> rendezvousOrder(std::string_view key, std::vector<InstanceId> candidates);

/** Returns the first of rendezvousOrder(), or an empty id if there is no candidate. */
InstanceId rendezvousOwner(std::string_view key, const std::vector<InstanceId> &candidates);

} // namespace godwitfall
