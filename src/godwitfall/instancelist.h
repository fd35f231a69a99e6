#pragma once

#include <string>
#include <vector>

#include "error.h"
#include "godwitfall.pb.h"

namespace godwitfall {

/** A list of workers and instances, and what was left out of it. */
struct ParsedInstanceList
{
    wire::InstanceList list;
    std::vector<std::string> unusable; ///< Why entries were left out, one text each.
};

/**
 * Parses the list of workers and instances.
 *
 * An entry that is odd (nested too deeply, a number or port out of range, a field of another type)
 * is left out; it does not affect the others. Fails if the body as a whole is not such a list.
 */
Result<ParsedInstanceList> parseInstanceList(const std::string &json, const std::string &peer);

} // namespace godwitfall
