#include "workersearch.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace godwitfall {

WorkerSearch::WorkerSearch(const PlacementPolicy &policy,
                           const std::vector<WorkerState *> &candidates, PlacementRequest request,
                           Instant now)
    : policy(policy)
    , request(std::move(request))
    , step(this->request.job.stepSpec(this->request.step))
    , now(now)
    , boundsAreExact(PlacementPolicy::lowerBoundIsExact(this->step))
{
    for (std::size_t order = 0; order < candidates.size(); ++order) {
        if (policy.admits(*candidates[order], this->request, now)) {
            this->heap.push_back(Entry{this->lowerBound(*candidates[order]),
                                       this->isCold(*candidates[order]), this->boundsAreExact,
                                       order, candidates[order]});
        }
    }
    std::make_heap(this->heap.begin(), this->heap.end(), comesLater);
}

double WorkerSearch::lowerBound(const WorkerState &worker) const
{
    return this->policy.costLowerBound(worker, this->step) +
           PlacementPolicy::separationCost(worker, this->request);
}

bool WorkerSearch::comesLater(const Entry &left, const Entry &right)
{
    return std::tie(left.cost, left.cold, left.order) >
           std::tie(right.cost, right.cold, right.order);
}

void WorkerSearch::push(const Entry &entry)
{
    this->heap.push_back(entry);
    std::push_heap(this->heap.begin(), this->heap.end(), comesLater);
}

WorkerState *WorkerSearch::next()
{
    if (WorkerState *previous = std::exchange(this->last.worker, nullptr)) {
        if (this->policy.admits(*previous, this->request, this->now)) {
            this->push(Entry{this->lowerBound(*previous), this->last.cold, this->boundsAreExact,
                             this->last.order, previous});
        }
    }
    while (!this->heap.empty()) {
        std::pop_heap(this->heap.begin(), this->heap.end(), comesLater);
        Entry best = this->heap.back();
        this->heap.pop_back();
        if (best.exact) {
            this->last = best;
            return best.worker;
        }
        ++this->evaluations;
        if (this->policy.tolerates(*best.worker, this->request, this->now)) {
            best.cost = this->policy.cost(*best.worker, this->step, this->now) +
                        PlacementPolicy::separationCost(*best.worker, this->request);
            best.exact = true;
            this->push(best);
        }
    }
    return nullptr;
}

} // namespace godwitfall
