#pragma once

#include <string>
#include <utility>

#include "ids.h"

namespace godwitfall {

/** What the log's order made of one record. */
struct Decision
{
    bool accepted = false;
    std::string reason; ///< Why it was refused, or what it did.
    std::string winner; ///< The author or record that stands in the way of a refused one.
    Offset offset;      ///< Where the record stands in the log.

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
