#pragma once

#include <cstddef>
#include <vector>

#include "placementpolicy.h"

namespace godwitfall {

/**
 * Chooses workers for the tasks of one step, one after the other, each of least cost by
 * PlacementPolicy; of equal cost, warm ones first.
 *
 * Best-first search with lazy evaluation: workers are ordered by an inexpensive lower bound, and
 * the full cost is computed only of a worker whose bound is the lowest.
 */
class WorkerSearch
{
public:
    /** The policy, the workers and the request's job have to outlive the search. */
    WorkerSearch(const PlacementPolicy &policy, const std::vector<WorkerState *> &candidates,
                 PlacementRequest request, Instant now);

    /** Returns the worker of least cost at its present load, or null when none can take a task. */
    WorkerState *next();

    /** Returns how many times a worker was evaluated in full. */
    std::size_t evaluated() const { return this->evaluations; }

private:
    struct Entry
    {
        double cost = 0.0;
        bool cold = false; ///< Comes after warm workers of equal cost.
        bool exact = false;
        std::size_t order = 0; ///< Position among the candidates; breaks ties.
        WorkerState *worker = nullptr;
    };

    double lowerBound(const WorkerState &worker) const;
    bool isCold(const WorkerState &worker) const { return this->now < worker.coldUntil; }
    static bool comesLater(const Entry &left, const Entry &right);
    void push(const Entry &entry);

    const PlacementPolicy &policy;
    const PlacementRequest request;
    const jobs::StepSpec &step;
    const Instant now;
    const bool boundsAreExact;
    std::vector<Entry> heap;
    Entry last; ///< Returned by next(), to be evaluated anew.
    std::size_t evaluations = 0;
};

} // namespace godwitfall
