#include "delaycost.h"

#include <algorithm>
#include <cmath>

namespace godwitfall {

namespace {

/** Multiple of its objective until which a late job still counts for its callers. */
constexpr std::int64_t lostAfter = 3;
/** Part of its worth that a job keeps when it is late. Not known; the measured ranking of orders is
 * the same for 0.2 to 0.6 (docs/design/overload.md). */
constexpr double lateWorth = 0.4;
/** Estimates are wrong by up to this part of them in either direction. */
constexpr double estimateError = 0.5;
/** Part of a job's worth that does not depend on its size. */
constexpr double fixedWorth = 0.3;
/** Exponent of the remaining work. With 1 the largest tenth of the jobs ends in time less than half
 * as often as the rest in a sustained overload; with 0.7 worth is lost. */
constexpr double workExponent = 0.8;
/** Least remaining work, as a part of the queue's mean; avoids a division by 0. */
constexpr double leastWork = 0.001;

/** Multiple of its objective from which a lost job has its turn. */
constexpr std::int64_t agedAfter = 6;
/** Lost jobs that have waited for so long go first for agedTurn of each agedPeriod: a sixteenth
 * of the starts. Unbounded they would take all capacity in a sustained overload. */
constexpr std::int64_t agedPeriod = 8000;
constexpr std::int64_t agedTurn = 500;

constexpr int agedGroup = -1;
constexpr int openGroup = 0;
constexpr int lastGroup = 1;

/** Returns the probability that the rest of the job ends within the time if it starts now. */
double chanceToEnd(const DelayFacts &facts, Duration left)
{
    const double path = static_cast<double>(std::max<std::int64_t>(1, facts.remainingPath.count()));
    const double needed = static_cast<double>(left.count()) / path;
    return std::clamp((needed - (1.0 - estimateError)) / (2.0 * estimateError), 0.0, 1.0);
}

} // namespace

DelayKey uncontendedKey(const DelayFacts &facts, Instant now)
{
    const Instant due = facts.knownSince + facts.objective;
    const bool late = now + facts.remainingPath > due;
    return DelayKey{facts.priority, facts.resumesNothing, late ? lastGroup : openGroup,
                    facts.priority == 0 ? 0.0 : facts.work, due};
}

double delayCost(const DelayFacts &facts, Instant now)
{
    if (facts.longRunning) {
        // As a job of mean size with time left, always.
        return 1.0;
    }
    const double mean = std::max(1.0, facts.meanWork);
    const double weight = fixedWorth + (1.0 - fixedWorth) * facts.work / mean;
    const double work = std::max(leastWork, facts.remainingWork / mean);
    const Duration age = now - facts.knownSince;
    const double inTime = chanceToEnd(facts, facts.objective - age);
    const double notLost = chanceToEnd(facts, facts.objective * lostAfter - age);
    return weight * ((1.0 - lateWorth) * inTime + lateWorth * notLost) /
           std::pow(work, workExponent);
}

DelayKey contendedKey(const DelayFacts &facts, Instant now)
{
    const double cost = delayCost(facts, now);
    const bool aged = now - facts.knownSince > facts.objective * agedAfter;
    const bool agedFirst = now.sinceStart() % agedPeriod < agedTurn;
    int group = cost > 0.0 ? openGroup : lastGroup;
    if (group == lastGroup && aged && agedFirst) {
        group = agedGroup;
    }
    return DelayKey{facts.priority, facts.resumesNothing, group, -cost,
                    facts.knownSince + facts.objective};
}

} // namespace godwitfall
