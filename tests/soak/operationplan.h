#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "faultplan.h"

namespace godwitfall::soak {

/**
 * Draws operations in series and overlapping: planned stops, signals, changes of the configuration,
 * and workers lost for good together with the coordinating instance.
 */
class OperationPlan
{
public:
    OperationPlan(boost::asio::io_context &context, const SoakLayout &layout, FaultPlan &faults,
                  SoakTargets targets, std::uint64_t seed, std::int64_t endMs);

    /** Does what is due; the time is in ms since the run began. */
    void tick(std::int64_t nowMs);

private:
    using Kind = WeightedKind<OperationPlan>;

    static const std::vector<Kind> &kinds();

    void stopTwo();
    void stopInTakeover();
    void stopSeries();
    void signalBurst();
    void configBurst();
    void loseWorkers();
    void loseWorker(std::uint64_t drawn, bool silent);
    void loseWorkersAndOwner();

    std::size_t anyInstance() { return this->below(this->layout.instances); }
    std::size_t ownerOrAny() { return this->below(2) ? this->anyInstance() : this->faults.owner(); }
    std::int64_t drawMs(std::uint64_t end) { return static_cast<std::int64_t>(this->below(end)); }
    std::uint64_t below(std::uint64_t bound) { return this->random() % bound; }
    /** Does it after the time, unless the plan has ended by then. */
    void later(std::int64_t afterMs, const std::function<void()> &action);

    boost::asio::io_context &context;
    const SoakLayout layout;
    FaultPlan &faults;
    SoakTargets targets;
    std::mt19937_64 random;
    const std::int64_t endMs;
    std::int64_t nowMs = 0;
    std::int64_t nextAt;
    std::int64_t finalLossAt;
    unsigned losable; ///< Workers that may still be lost.
    std::string
        formerOwner; ///< Whose successor is to be stopped as it takes over; empty: nobody's.
};

} // namespace godwitfall::soak
