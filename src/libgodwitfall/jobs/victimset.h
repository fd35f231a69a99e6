#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "resources.h"

namespace godwitfall {

/** A task that may be stopped to free capacity. */
struct PossibleVictim
{
    unsigned priority = 0; ///< Lower values are more important.
    Resources frees;
    double lostWork = 0.0; ///< Work that is done again after the stop, in milli-core ms.
};

/** Tasks of one worker to stop, and what that costs callers. */
struct VictimSet
{
    std::vector<std::size_t> chosen; ///< Indices of the tasks.
    unsigned priority = 0;           ///< Of the most important one; greatest if there is none.
    double lostWork = 0.0;

    /** Returns whether stopping these tasks costs less than stopping the others. */
    bool costsLessThan(const VictimSet &other) const;
};

/** Returns tasks that together free what is missing, of least importance and with least work lost,
 * none of which can be left out; nothing if all of them free too little. */
std::optional<VictimSet> chooseVictims(const std::vector<PossibleVictim> &tasks,
                                       const Resources &missing);

} // namespace godwitfall
