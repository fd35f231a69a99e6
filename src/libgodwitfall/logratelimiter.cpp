#include "logratelimiter.h"

#include <algorithm>
#include <utility>

namespace godwitfall {

LogRateLimiter::Verdict LogRateLimiter::admit(const std::string &kind, Instant now)
{
    constexpr std::int64_t oneLine = 1000;
    const auto [entry, isNew] = this->buckets.try_emplace(kind);
    Bucket &bucket = entry->second;
    if (!isNew) {
        // A rate of one line per second refills a thousandth of a token per millisecond.
        const std::int64_t refill = (now - bucket.refilledAt).count() * linesPerSecond;
        bucket.milliTokens =
            std::clamp(bucket.milliTokens + refill, std::int64_t(0), burst * oneLine);
    }
    bucket.refilledAt = now;
    if (bucket.milliTokens < oneLine) {
        ++bucket.suppressed;
        ++this->totalSuppressed;
        return {};
    }
    bucket.milliTokens -= oneLine;
    return Verdict{true, std::exchange(bucket.suppressed, 0)};
}

} // namespace godwitfall
