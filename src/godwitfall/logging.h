#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace godwitfall {

/** One key and value of a log line. */
struct LogField
{
    std::string_view name;
    std::string value;
};

/** The kind of a log line. */
struct LogEvent
{
    /** Lines with the same name and group share a rate limit. */
    LogEvent(const char *name, std::string_view group = {})
        : name(name)
        , group(group)
    {}

    std::string_view name;
    std::string_view group;
};

enum class LogLevel {
    Trace,
    Debug,
    Info,
    Warning,
    Error,
};

/** Starts the log on standard output, from the level up; returns false for an unknown level. */
bool startLogging(const std::string &level, const std::string &instance);

/**
 * Writes one log line as key=value, or suppresses it if its kind exceeds the rate limit; the next
 * line of that kind then has the number of suppressed lines as held_back.
 */
void logLine(LogLevel level, const LogEvent &event, std::initializer_list<LogField> fields = {});

/** Returns the number of lines suppressed by the rate limit so far. */
std::uint64_t suppressedLogLines();

/** Returns the number of lines dropped because the reader was too slow or gone. */
std::uint64_t droppedLogLines();

} // namespace godwitfall
