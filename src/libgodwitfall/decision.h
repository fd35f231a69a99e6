#pragma once

#include <string>
#include <utility>

#include "ids.h"

namespace godwitfall {

/** Whether one record was accepted when it was applied in log order. */
struct Decision
{
    bool accepted = false;
    std::string reason; ///< Why the record was refused, or its effect.
    std::string winner; ///< The author or record that a refused record conflicts with.
    Offset offset;      ///< Position of the record in the log.

    static Decision accept(std::string what = {})
    {
        Decision decision;
        decision.accepted = true;
        decision.reason = std::move(what);
        return decision;
    }

    static Decision refuse(std::string why, std::string winner = {})
    {
        Decision decision;
        decision.reason = std::move(why);
        decision.winner = std::move(winner);
        return decision;
    }
};

} // namespace godwitfall
