#include "logging.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <mutex>

#include <unistd.h>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>

#include "linewriter.h"
#include "logratelimiter.h"

namespace godwitfall {

namespace {

namespace logs = boost::log;

constexpr std::array<std::string_view, 5> levelNames = {"trace", "debug", "info", "warning",
                                                        "error"};

/** The rate limiter of this process's log, for use from any thread. */
struct GuardedRateLimiter
{
    std::mutex mutex;
    LogRateLimiter limiter;
};

GuardedRateLimiter &rateLimiter()
{
    static GuardedRateLimiter guarded;
    return guarded;
}

LogRateLimiter::Verdict admit(const LogEvent &event)
{
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    const Instant now(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
    std::string kind(event.name);
    kind += '/';
    kind += event.group;
    std::lock_guard lock(rateLimiter().mutex);
    return rateLimiter().limiter.admit(kind, now);
}

std::string &instanceName()
{
    static std::string name;
    return name;
}

/** Returns the writer of this process's log. */
LineWriter &standardOutput()
{
    static LineWriter writer(STDOUT_FILENO);
    return writer;
}

/** Passes formatted lines to the writer. */
class LineBackend
    : public logs::sinks::basic_formatted_sink_backend<char, logs::sinks::concurrent_feeding>
{
public:
    void consume(const logs::record_view &, const string_type &line)
    {
        standardOutput().write(line);
    }
};

/** Returns the value, in quotes if it is empty or has characters that need them. */
std::string quotedValue(const std::string &value)
{
    const bool plain = !value.empty() && value.find_first_of(" \"=\n\r\t\\") == std::string::npos;
    if (plain) {
        return value;
    }
    std::string text = "\"";
    for (const char character : value) {
        if (character == '\n' || character == '\r') {
            text += "\\n";
            continue;
        }
        if (character == '"' || character == '\\') {
            text += '\\';
        }
        text += character;
    }
    return text + "\"";
}

} // namespace

bool startLogging(const std::string &level, const std::string &instance)
{
    const auto found = std::find(levelNames.begin(), levelNames.end(), level);
    if (found == levelNames.end()) {
        return false;
    }
    instanceName() = instance;
    // The process must survive its log reader closing the pipe.
    std::signal(SIGPIPE, SIG_IGN);
    auto sink = boost::make_shared<logs::sinks::synchronous_sink<LineBackend>>();
    sink->set_formatter(logs::expressions::stream
                        << "time="
                        << logs::expressions::format_date_time<boost::posix_time::ptime>(
                               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                        << " " << logs::expressions::smessage);
    logs::core::get()->add_sink(sink);
    logs::add_common_attributes();
    const auto minimum = static_cast<int>(found - levelNames.begin());
    logs::core::get()->set_filter(logs::expressions::attr<int>("Severity") >= minimum);
    return true;
}

void logLine(LogLevel level, const LogEvent &event, std::initializer_list<LogField> fields)
{
    static logs::sources::severity_logger_mt<int> logger;
    const LogRateLimiter::Verdict verdict = admit(event);
    if (!verdict.write) {
        return;
    }
    const int severity = static_cast<int>(level);
    std::string line = "level=" + std::string(levelNames.at(static_cast<std::size_t>(severity))) +
                       " instance=" + quotedValue(instanceName()) +
                       " event=" + std::string(event.name);
    for (const LogField &field : fields) {
        line += " " + std::string(field.name) + "=" + quotedValue(field.value);
    }
    if (verdict.suppressed > 0) {
        line += " held_back=" + std::to_string(verdict.suppressed);
    }
    BOOST_LOG_SEV(logger, severity) << line;
}

std::uint64_t droppedLogLines()
{
    return standardOutput().dropped();
}

std::uint64_t suppressedLogLines()
{
    std::lock_guard lock(rateLimiter().mutex);
    return rateLimiter().limiter.suppressed();
}

} // namespace godwitfall
