#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "clock.h"

namespace godwitfall {

/** Limits the rate of log lines: one token bucket per kind of line; counts suppressed lines. */
class LogRateLimiter
{
public:
    /** Lines of one kind that may be written at once; as many as an operator still reads. */
    static constexpr std::int64_t burst = 100;
    /** Lines of one kind per second beyond the burst; they take 2 % of a tenth of a core. */
    static constexpr std::int64_t linesPerSecond = 20;

    /** Whether to write a line, and how many of its kind were suppressed since the last one. */
    struct Verdict
    {
        bool write = false;
        std::uint64_t suppressed = 0;
    };

    Verdict admit(const std::string &kind, Instant now);

    /** Returns the number of lines of all kinds suppressed so far. */
    std::uint64_t suppressed() const { return this->totalSuppressed; }

private:
    struct Bucket
    {
        std::int64_t milliTokens = burst * 1000;
        Instant refilledAt;
        std::uint64_t suppressed = 0;
    };

    std::map<std::string, Bucket> buckets;
    std::uint64_t totalSuppressed = 0;
};

} // namespace godwitfall
