#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "clock.h"

namespace godwitfall {

/** What the calls of one kind have put on the link; bytes of HTTP messages. */
struct CallFigures
{
    std::uint64_t calls = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t timedOut = 0;
    Duration longestDelay{0}; ///< Of a response, beyond the time that its server may wait.
};

/** Bytes and delays of an instance's calls, by kind of call. Single-threaded. */
class CallTraffic
{
public:
    void countCall(const std::string &kind, std::size_t bytes);
    void countResponse(const std::string &kind, std::size_t bytes, Duration delay);
    void countTimeout(const std::string &kind, std::size_t bytes);

    /** Returns the figures since the last call of this function, by kind. */
    std::map<std::string, CallFigures> takeRecent();

    /** Returns the totals in the text exposition format. */
    std::string metricLines() const;

private:
    std::map<std::string, CallFigures> totals;
    std::map<std::string, CallFigures> recent;
};

} // namespace godwitfall
