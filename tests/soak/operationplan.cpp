#include "operationplan.h"

#include <csignal>
#include <utility>

#include "callafter.h"
#include "platform/names.h"

namespace godwitfall::soak {

namespace {

constexpr std::int64_t firstMs = 5000; ///< Leaves instances time to start.
constexpr std::int64_t gapMs = 700;
constexpr std::uint64_t gapRangeMs = 2300;
/** Range before the end in which workers and their coordinator are lost once more. */
constexpr std::int64_t finalFromMs = 1500;
constexpr std::uint64_t finalRangeMs = 3000;
constexpr unsigned losableBefore = 2;
constexpr unsigned losableAtEnd = 2;
/** Time from the last word of a lost worker until the registry drops it. */
constexpr Duration registryMemory{3000};
/** Range by which two losses that belong together are apart. */
constexpr std::uint64_t apartMs = 1500;
/** Range after a claim in which a stop meets the takeover. */
constexpr std::uint64_t takeoverMs = 150;

} // namespace

const std::vector<OperationPlan::Kind> &OperationPlan::kinds()
{
    using Plan = OperationPlan;
    static const std::vector<Kind> table = {
        {"stop_owner", 3,
         [](Plan &plan) {
             plan.faults.stop(plan.faults.owner());
         }},
        {"stop_two", 2, &Plan::stopTwo},
        {"stop_in_takeover", 3, &Plan::stopInTakeover},
        {"stop_series", 1, &Plan::stopSeries},
        {"signal_burst", 3, &Plan::signalBurst},
        {"config_burst", 2, &Plan::configBurst},
        {"lose_workers", 1, &Plan::loseWorkers},
        {"lose_workers_and_owner", 1, &Plan::loseWorkersAndOwner},
    };
    return table;
}

OperationPlan::OperationPlan(boost::asio::io_context &context, const SoakLayout &layout,
                             FaultPlan &faults, SoakTargets targets, std::uint64_t seed,
                             std::int64_t endMs)
    : context(context)
    , layout(layout)
    , faults(faults)
    , targets(std::move(targets))
    , random(seed)
    , endMs(endMs)
    , nextAt(firstMs)
    , finalLossAt(endMs - finalFromMs - this->drawMs(finalRangeMs))
    , losable(losableBefore)
{}

void OperationPlan::tick(std::int64_t now)
{
    this->nowMs = now;
    if (now >= this->endMs) {
        return;
    }
    if (!this->formerOwner.empty() && this->targets.store.owner() != this->formerOwner) {
        this->formerOwner.clear();
        this->later(this->drawMs(takeoverMs), [this] { this->faults.stop(this->faults.owner()); });
    }
    if (now >= this->finalLossAt) {
        this->finalLossAt = this->endMs;
        this->losable += losableAtEnd;
        this->faults.begin("final_loss");
        this->loseWorkersAndOwner();
    }
    if (now < this->nextAt) {
        return;
    }
    this->nextAt = now + gapMs + this->drawMs(gapRangeMs);
    const Kind &kind = drawKind(kinds(), this->random);
    this->faults.begin(kind.name);
    kind.act(*this);
}

void OperationPlan::later(std::int64_t afterMs, const std::function<void()> &action)
{
    callAfter(this->context, Duration(afterMs), [this, action] {
        if (this->nowMs < this->endMs) {
            action();
        }
    });
}

void OperationPlan::stopTwo()
{
    const std::size_t first = this->ownerOrAny();
    this->faults.stop(first);
    this->faults.stop((first + 1 + this->below(this->layout.instances - 1)) %
                      this->layout.instances);
}

void OperationPlan::stopInTakeover()
{
    this->formerOwner = this->targets.store.owner();
    this->faults.kill(this->faults.owner());
}

void OperationPlan::stopSeries()
{
    const std::size_t first = this->anyInstance();
    std::int64_t after = 0;
    for (std::size_t index = 0; index < 3; ++index) {
        const std::size_t instance = (first + index) % this->layout.instances;
        this->later(after, [this, instance] { this->faults.stop(instance); });
        after += 200 + this->drawMs(apartMs);
    }
}

void OperationPlan::signalBurst()
{
    const std::size_t instance = this->ownerOrAny();
    std::int64_t after = 0;
    for (int round = 0; round < 3; ++round) {
        this->later(after, [this, instance] {
            this->targets.writeSettings(instance);
            this->faults.signal(instance, SIGHUP);
            this->targets.publishConfig();
        });
        after += this->drawMs(30);
    }
    if (this->below(2) == 0) {
        this->later(after, [this, instance] {
            this->faults.stop(instance);
            this->faults.signal(instance, SIGHUP);
            this->faults.signal(instance, SIGTERM);
        });
    }
}

void OperationPlan::configBurst()
{
    for (int change = 0; change < 4; ++change) {
        this->later(this->drawMs(100), [this] { this->targets.publishConfig(); });
    }
}

void OperationPlan::loseWorkers()
{
    const std::uint64_t count = 1 + this->below(2);
    for (std::uint64_t index = 0; index<count &&this->losable> 0; ++index) {
        --this->losable;
        const std::uint64_t drawn = this->random();
        this->loseWorker(drawn, this->below(2) == 0);
    }
}

void OperationPlan::loseWorker(std::uint64_t drawn, bool silent)
{
    std::size_t index = drawn % this->targets.workers.size();
    while (this->targets.workers[index]->lost()) {
        index = (index + 1) % this->targets.workers.size();
    }
    PlatformWorker &worker = *this->targets.workers[index];
    this->faults.note("worker lost for good: " + worker.name() + (silent ? ", silent" : ""));
    this->targets.workerLinks[index]->breakConnections();
    worker.lose(silent);
    callAfter(this->context, registryMemory, [this, &worker] {
        this->targets.store.put(platform::names::workerTopic, worker.name(), {});
    });
}

void OperationPlan::loseWorkersAndOwner()
{
    this->later(this->drawMs(apartMs), [this] { this->loseWorkers(); });
    const bool killed = this->below(3) != 0;
    this->later(this->drawMs(apartMs), [this, killed] {
        const std::size_t owner = this->faults.owner();
        killed ? this->faults.kill(owner) : this->faults.stop(owner);
    });
}

} // namespace godwitfall::soak
