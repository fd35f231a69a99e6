#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "faultplan.h"

namespace godwitfall::soak {

/** What operations are done with, besides the fault plan. */
struct OperationTargets
{
    std::function<void()> publishConfig;
    std::function<void(std::size_t instance)> rewriteSettings;
    /** Loses for good the worker that the number draws. */
    std::function<void(std::uint64_t drawn, bool silent)> loseWorker;
    std::function<std::string()> ownerName;
};

/**
 * Draws operations in series and overlapping: planned stops, signals, changes of the configuration,
 * and workers lost for good together with the coordinating instance.
 */
class OperationPlan
{
public:
    OperationPlan(boost::asio::io_context &context, const SoakLayout &layout, FaultPlan &faults,
                  OperationTargets targets, std::uint64_t seed, std::int64_t endMs);

    /** Does what is due; the time is in ms since the run began. */
    void tick(std::int64_t nowMs);

    const std::map<std::string, unsigned> &counts() const { return this->done; }

private:
    struct Kind
    {
        const char *name;
        unsigned weight;
        void (OperationPlan::*act)();
    };

    static const std::vector<Kind> &kinds();

    void stopOwner();
    void stopTwo();
    void stopInTakeover();
    void stopSeries();
    void signalBurst();
    void configBurst();
    void loseWorkers();
    void loseWorkersAndOwner();

    void act(const Kind &kind);
    std::size_t anyInstance() { return this->below(this->layout.instances); }
    std::int64_t drawMs(std::uint64_t bound)
    {
        return static_cast<std::int64_t>(this->below(bound));
    }
    std::uint64_t below(std::uint64_t bound) { return this->random() % bound; }
    /** Does it after the time, unless the plan has ended by then. */
    void later(std::int64_t afterMs, const std::function<void()> &action);

    boost::asio::io_context &context;
    const SoakLayout layout;
    FaultPlan &faults;
    const OperationTargets targets;
    std::mt19937_64 random;
    const std::int64_t endMs;
    std::int64_t nowMs = 0;
    std::int64_t nextAt = 0;
    std::int64_t finalLossAt = 0;
    unsigned losable; ///< Workers that may still be lost.
    std::string
        formerOwner; ///< Whose successor is to be stopped as it takes over; empty: nobody's.
    std::map<std::string, unsigned> done;
};

} // namespace godwitfall::soak
