#include "victimset.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <tuple>

namespace godwitfall {

bool VictimSet::costsLessThan(const VictimSet &other) const
{
    // A greater value is a less important task.
    return std::tuple(other.priority, this->lostWork, this->chosen.size()) <
           std::tuple(this->priority, other.lostWork, other.chosen.size());
}

std::optional<VictimSet> chooseVictims(const std::vector<PossibleVictim> &tasks,
                                       const Resources &missing)
{
    std::vector<std::size_t> order(tasks.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        const PossibleVictim &one = tasks[left];
        const PossibleVictim &other = tasks[right];
        return std::tuple(other.priority, one.lostWork) < std::tuple(one.priority, other.lostWork);
    });
    VictimSet set;
    Resources freed;
    for (const std::size_t index : order) {
        if (missing.fitsIn(freed)) {
            break;
        }
        freed += tasks[index].frees;
        set.chosen.push_back(index);
    }
    if (!missing.fitsIn(freed)) {
        return std::nullopt;
    }
    // Those that were added first may be too small to matter beside the last one.
    for (std::size_t position = set.chosen.size(); position-- > 0;) {
        const Resources without = freed - tasks[set.chosen[position]].frees;
        if (missing.fitsIn(without)) {
            freed = without;
            set.chosen.erase(set.chosen.begin() + static_cast<std::ptrdiff_t>(position));
        }
    }
    set.priority = std::numeric_limits<unsigned>::max();
    for (const std::size_t index : set.chosen) {
        set.priority = std::min(set.priority, tasks[index].priority);
        set.lostWork += tasks[index].lostWork;
    }
    return set;
}

} // namespace godwitfall
