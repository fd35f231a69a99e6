#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "resources.h"

namespace godwitfall {

/** What one task needs of a worker. */
struct RoomNeed
{
    std::string service;
    std::string label;        ///< That the worker must have; empty: none.
    std::string fillingImage; ///< Of filling work that minds what it slows; empty: no matter.
    bool fills = false;
    Resources amount;
};

/**
 * Remembers needs that found no worker, so that no need at least as great is searched for:
 * dominance pruning. Valid while room only shrinks, as within one plan.
 */
class UnmetNeeds
{
public:
    /** Notes that no worker has room for the need. */
    void note(const RoomNeed &need);

    /** Returns whether the need is at least as great as one that was noted. */
    bool covers(const RoomNeed &need) const;

private:
    using Kind = std::tuple<std::string, std::string, std::string, bool>;

    static Kind kindOf(const RoomNeed &need);

    std::map<Kind, std::vector<Resources>> unmet;
};

} // namespace godwitfall
