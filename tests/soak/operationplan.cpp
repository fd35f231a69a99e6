#include "operationplan.h"

#include <csignal>
#include <numeric>
#include <utility>

#include "callafter.h"

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
/** Range by which two losses that belong together are apart. */
constexpr std::uint64_t apartMs = 1500;
/** Range after a claim in which a stop meets the takeover. */
constexpr std::uint64_t takeoverMs = 150;

} // namespace

const std::vector<OperationPlan::Kind> &OperationPlan::kinds()
{
    static const std::vector<Kind> table = {
        {"stop_owner", 3, &OperationPlan::stopOwner},
        {"stop_two", 2, &OperationPlan::stopTwo},
        {"stop_in_takeover", 3, &OperationPlan::stopInTakeover},
        {"stop_series", 1, &OperationPlan::stopSeries},
        {"signal_burst", 3, &OperationPlan::signalBurst},
        {"config_burst", 2, &OperationPlan::configBurst},
        {"lose_workers", 1, &OperationPlan::loseWorkers},
        {"lose_workers_and_owner", 1, &OperationPlan::loseWorkersAndOwner},
    };
    return table;
}

OperationPlan::OperationPlan(boost::asio::io_context &context, const SoakLayout &layout,
                             FaultPlan &faults, OperationTargets targets, std::uint64_t seed,
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
    if (!this->formerOwner.empty() && this->targets.ownerName() != this->formerOwner) {
        this->formerOwner.clear();
        this->later(this->drawMs(takeoverMs), [this] { this->faults.stop(this->faults.owner()); });
    }
    if (now >= this->finalLossAt) {
        this->finalLossAt = this->endMs;
        this->losable += losableAtEnd;
        this->act({"final_loss", 0, &OperationPlan::loseWorkersAndOwner});
    }
    if (now < this->nextAt) {
        return;
    }
    this->nextAt = now + gapMs + this->drawMs(gapRangeMs);
    const std::vector<Kind> &table = kinds();
    const unsigned total =
        std::accumulate(table.begin(), table.end(), 0U,
                        [](unsigned sum, const Kind &kind) { return sum + kind.weight; });
    std::uint64_t drawn = this->below(total);
    for (const Kind &kind : table) {
        if (drawn < kind.weight) {
            this->act(kind);
            return;
        }
        drawn -= kind.weight;
    }
}

void OperationPlan::act(const Kind &kind)
{
    ++this->done[kind.name];
    this->faults.note(kind.name);
    (this->*kind.act)();
}

void OperationPlan::later(std::int64_t afterMs, const std::function<void()> &action)
{
    callAfter(this->context, Duration(afterMs), [this, action] {
        if (this->nowMs < this->endMs) {
            action();
        }
    });
}

void OperationPlan::stopOwner()
{
    this->faults.stop(this->faults.owner());
}

void OperationPlan::stopTwo()
{
    const std::size_t first = this->below(2) == 0 ? this->faults.owner() : this->anyInstance();
    this->faults.stop(first);
    this->faults.stop((first + 1 + this->below(this->layout.instances - 1)) %
                      this->layout.instances);
}

void OperationPlan::stopInTakeover()
{
    this->formerOwner = this->targets.ownerName();
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
    const std::size_t instance = this->below(2) == 0 ? this->faults.owner() : this->anyInstance();
    std::int64_t after = 0;
    for (int round = 0; round < 3; ++round) {
        this->later(after, [this, instance] {
            this->targets.rewriteSettings(instance);
            this->faults.signal(instance, SIGHUP);
            this->targets.publishConfig();
        });
        after += this->drawMs(30);
    }
    if (this->below(2) == 0) {
        this->later(after, [this, instance] {
            this->faults.stop(instance);
            this->faults.signal(instance, SIGHUP);
        });
        this->later(after + this->drawMs(apartMs),
                    [this, instance] { this->faults.repeatStop(instance); });
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
        this->targets.loseWorker(drawn, this->below(2) == 0);
    }
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
