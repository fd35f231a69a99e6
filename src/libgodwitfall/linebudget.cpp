#include "linebudget.h"

#include <algorithm>
#include <utility>

namespace godwitfall {

LineBudget::Verdict LineBudget::admit(const std::string &kind, Instant now)
{
    constexpr std::int64_t oneLine = 1000;
    const auto [place, fresh] = this->buckets.try_emplace(kind);
    Bucket &bucket = place->second;
    if (!fresh) {
        // A rate of one line per second refills a thousandth of a token per millisecond.
        const std::int64_t gained = (now - bucket.filledAt).count() * linesPerSecond;
        bucket.milliTokens =
            std::clamp(bucket.milliTokens + gained, std::int64_t(0), burst * oneLine);
    }
    bucket.filledAt = now;
    if (bucket.milliTokens < oneLine) {
        ++bucket.heldBack;
        ++this->total;
        return {};
    }
    bucket.milliTokens -= oneLine;
    return Verdict{true, std::exchange(bucket.heldBack, 0)};
}

} // namespace godwitfall
