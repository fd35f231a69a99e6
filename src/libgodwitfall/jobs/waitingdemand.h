#pragma once

#include <cstdint>
#include <vector>

#include "resources.h"

namespace godwitfall {

/** The waiting tasks of a service, and whether free capacity can take them all. */
class WaitingDemand
{
public:
    /** Adds waiting tasks that need the amounts each. */
    void add(std::int64_t count, const Resources &each);

    bool empty() const { return this->count == 0; }

    /** Returns whether the tasks certainly do not all fit into the free capacity, given by worker.
     * Capacity too small for the smallest task counts as used. */
    bool exceeds(const std::vector<Resources> &free) const;

private:
    std::int64_t count = 0;
    Resources total;
    Resources least; ///< Least amount of each resource that a task needs.
};

} // namespace godwitfall
