#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace godwitfall {

/** One named value of a log line. */
struct LogField
{
    std::string_view name;
    std::string value;
};

enum class LogLevel {
    Trace,
    Debug,
    Info,
    Warning,
    Error,
};

/** Sends log lines of the level and above to standard output as key=value; false for no such level.
 */
bool startLogging(const std::string &level, const std::string &instance);

/**
 * Writes one log line, or holds it back when too many of its kind came; a later line of the kind
 * tells how many.
 */
void logLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/** Returns the number of lines held back so far. */
std::uint64_t heldBackLogLines();

/** Returns how many lines were lost because nobody read them in time. */
std::uint64_t droppedLogLines();

} // namespace godwitfall
