#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "faultplan.h"

namespace godwitfall::soak {

/**
 * Draws faults of kept connections: those to workers, to the store or to both go silent together,
 * once or again while that is mended, and workers restart and take orders before the registry lists
 * them.
 */
class ConnectionPlan
{
public:
    ConnectionPlan(FaultPlan &faults, SoakTargets targets, std::uint64_t seed, std::int64_t endMs);

    /** Does what is due; the time is in ms since the run began. */
    void tick(std::int64_t nowMs);

private:
    using Kind = WeightedKind<ConnectionPlan>;

    static const std::vector<Kind> &kinds();

    void silenceWorker();
    void silenceWorkers();
    void silenceStore();
    void silenceAll();
    void restartWorker();

    std::uint64_t below(std::uint64_t bound) { return this->random() % bound; }

    FaultPlan &faults;
    SoakTargets targets;
    std::mt19937_64 random;
    const std::int64_t endMs;
    std::int64_t nextAt;
};

} // namespace godwitfall::soak
