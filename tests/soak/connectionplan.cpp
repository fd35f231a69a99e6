#include "connectionplan.h"

#include <utility>

namespace godwitfall::soak {

namespace {

constexpr std::int64_t firstMs = 5000; ///< Leaves instances time to start.
constexpr std::int64_t gapMs = 400;
constexpr std::uint64_t gapRangeMs = 3000;
/** Range of the time from a restart until the registry lists the worker; a heartbeat. */
constexpr std::uint64_t listedRangeMs = 1500;
/** Time for which silent connections may disturb an instance; its calls time out by then. */
constexpr std::int64_t disturbedMs = 5000;

} // namespace

const std::vector<ConnectionPlan::Kind> &ConnectionPlan::kinds()
{
    using Plan = ConnectionPlan;
    static const std::vector<Kind> table = {
        {"silence_worker", 3, &Plan::silenceWorker}, {"silence_workers", 3, &Plan::silenceWorkers},
        {"silence_store", 2, &Plan::silenceStore},   {"silence_all", 2, &Plan::silenceAll},
        {"restart_worker", 6, &Plan::restartWorker},
    };
    return table;
}

ConnectionPlan::ConnectionPlan(FaultPlan &faults, SoakTargets targets, std::uint64_t seed,
                               std::int64_t endMs)
    : faults(faults)
    , targets(std::move(targets))
    , random(seed)
    , endMs(endMs)
    , nextAt(firstMs)
{}

void ConnectionPlan::tick(std::int64_t now)
{
    if (now >= this->endMs || now < this->nextAt) {
        return;
    }
    this->nextAt = now + gapMs + static_cast<std::int64_t>(this->below(gapRangeMs));
    const Kind &kind = drawKind(kinds(), this->random);
    this->faults.begin(kind.name);
    kind.act(*this);
}

void ConnectionPlan::silenceWorker()
{
    this->targets.workerLinks[this->below(this->targets.workerLinks.size())]->silenceConnections();
}

void ConnectionPlan::silenceWorkers()
{
    for (const auto &link : this->targets.workerLinks) {
        link->silenceConnections();
    }
}

void ConnectionPlan::silenceStore()
{
    this->faults.disturbAll(disturbedMs);
    for (const auto &link : this->targets.storeLinks) {
        link->silenceConnections();
    }
}

void ConnectionPlan::silenceAll()
{
    this->silenceStore();
    this->silenceWorkers();
}

void ConnectionPlan::restartWorker()
{
    this->targets.rebirthWorker(this->below(this->targets.workers.size()),
                                Duration(static_cast<std::int64_t>(this->below(listedRangeMs))));
}

} // namespace godwitfall::soak
