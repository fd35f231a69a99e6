#pragma once

#include <cstddef>
#include <vector>

#include "placementpolicy.h"

namespace godwitfall {

/**
 * Chooses workers for tasks of one step, one after the other, each the best by PlacementPolicy.
 *
 * Best-first search with lazy evaluation: what is cheap to tell of a worker bounds its cost from
 * below, and only workers whose bound comes first are priced in full.
 */
class WorkerSearch
{
public:
    /** The policy and the workers have to outlive the search, the request's job too. */
    WorkerSearch(const PlacementPolicy &policy, const std::vector<WorkerState *> &candidates,
                 PlacementRequest request, Instant now);

    /** Returns the best worker as all are loaded now, or null when none can take a task. */
    WorkerState *next();

    /** Returns how many workers were priced in full. */
    std::size_t evaluated() const { return this->pricedWorkers; }

private:
    struct Entry
    {
        double cost = 0.0;
        bool exact = false;
        std::size_t order = 0; ///< Among the candidates; the first of equals wins.
        WorkerState *worker = nullptr;
    };

    static bool comesLater(const Entry &left, const Entry &right);
    void push(const Entry &entry);

    const PlacementPolicy &policy;
    const PlacementRequest request;
    const jobs::StepSpec &step;
    const Instant now;
    const bool cheap;
    std::vector<Entry> heap;
    Entry last; ///< What next() returned, to be looked at anew.
    std::size_t pricedWorkers = 0;
};

} // namespace godwitfall
