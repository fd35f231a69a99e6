#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "resources.h"

namespace godwitfall {

/** What one task needs of a worker. */
struct ResourceDemand
{
    std::string service;
    std::string label;           ///< That the worker must have; empty: none.
    std::string bestEffortImage; ///< Of filling work that minds what it slows; empty: no matter.
    bool fills = false;
    Resources amount;
};

/**
 * Remembers needs that found no worker, so that no need at least as great is searched for:
 * dominance pruning. Valid while room only shrinks, as within one plan.
 */
class UnplaceableDemands
{
public:
    /** Notes that no worker has room for the need. */
    void add(const ResourceDemand &need);

    /** Returns whether the need is at least as great as one that was noted. */
    bool covers(const ResourceDemand &need) const;

private:
    using Kind = std::tuple<std::string, std::string, std::string, bool>;

    static Kind kindOf(const ResourceDemand &need);

    std::map<Kind, std::vector<Resources>> unmet;
};

} // namespace godwitfall
