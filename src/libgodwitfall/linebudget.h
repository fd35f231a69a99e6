#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "clock.h"

namespace godwitfall {

/** Bounds log volume: a token bucket for each kind of line, which counts what it holds back. */
class LineBudget
{
public:
    /** Lines of one kind that may come at once; what an operator still reads in a burst. */
    static constexpr std::int64_t burst = 100;
    /** Lines of one kind a second, beyond the burst; a tenth of a core spends 2 % on them. */
    static constexpr std::int64_t linesPerSecond = 20;

    /** Says whether a line may be written, and how many of its kind were held back before it. */
    struct Verdict
    {
        bool write = false;
        std::uint64_t heldBack = 0;
    };

    Verdict admit(const std::string &kind, Instant now);

    /** Returns the number of lines held back so far, of all kinds. */
    std::uint64_t heldBack() const { return this->total; }

private:
    struct Bucket
    {
        std::int64_t milliTokens = burst * 1000;
        Instant filledAt;
        std::uint64_t heldBack = 0;
    };

    std::map<std::string, Bucket> buckets;
    std::uint64_t total = 0;
};

} // namespace godwitfall
