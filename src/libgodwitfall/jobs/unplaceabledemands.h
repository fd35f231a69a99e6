#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "resources.h"

namespace godwitfall {

/** What one task demands of a worker. */
struct ResourceDemand
{
    std::string service;
    std::string label;           ///< Required of the worker; empty: none.
    std::string bestEffortImage; ///< Of a best-effort task that may not interfere; else empty.
    bool fills = false;          ///< Best-effort: reserves no processors.
    bool mayCrowd = false; ///< Not bound by the processors that are left for best-effort tasks.
    Resources amount;
};

/**
 * Remembers demands that no worker could meet, so that demands at least as great are not searched
 * for: dominance pruning.
 *
 * Valid while free capacity only shrinks, as within one planning round.
 */
class UnplaceableDemands
{
public:
    /** Records that no worker has the capacity for the demand. */
    void add(const ResourceDemand &demand);

    /** Returns whether the demand is at least as great as a recorded one of the same kind. */
    bool covers(const ResourceDemand &demand) const;

private:
    using Kind = std::tuple<std::string, std::string, std::string, bool, bool>;

    static Kind kindOf(const ResourceDemand &demand);

    std::map<Kind, std::vector<Resources>> amountsByKind;
};

} // namespace godwitfall
