#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "command/change.h"
#include "error.h"

namespace godwitfall {

/** A condition that rows of a listing must meet. */
struct Filter
{
    std::string column;
    std::string value;
};

/** Asks for the rows of a table. */
struct ListQuery
{
    std::string table;
    std::vector<Filter> filters;
    std::uint64_t limit = 1000;
};

/** Asks why a task is where it is, or does not run. */
struct WhyQuery
{
    std::string task;
};

/** Asks what became of a command. */
struct StatusQuery
{
    std::string id;
};

using Command = std::variant<ListQuery, WhyQuery, StatusQuery, std::shared_ptr<Change>>;

/**
 * Reads one command; the grammar stands in docs/operators/language.md.
 *
 * The error names the column and what was expected there.
 */
Result<Command> parseCommand(std::string_view text);

} // namespace godwitfall
