#include "faultplan.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <iostream>
#include <utility>

#include "callafter.h"

namespace godwitfall::soak {

namespace {

constexpr std::int64_t firstFaultMs = 4000; ///< Leaves instances time to start.
constexpr std::int64_t gapMs = 200;
constexpr std::int64_t gapRangeMs = 1300;
/** Beside the closing plan faults are rarer: crashes are counted only where the coordinator works.
 */
constexpr std::int64_t gapsBesideClosing = 4;
constexpr std::int64_t longestFaultMs = 9000;
/** Above the time after which the tasks of a worker that is not heard go on elsewhere. */
constexpr std::int64_t longestWorkerCutMs = 16000;
/** Time after a fault within which a broken connection is laid to it; the platform's contact_ms. */
constexpr std::int64_t nearMs = 4000;
/** Time from a planned stop to the end of the process at the latest; the platform's grace. */
constexpr std::int64_t graceMs = 6000;
/** Time after the grace in which a planned stop still counts. */
constexpr std::int64_t afterGraceMs = 1000;
/** Time from a kill until the process that replaces the killed one listens. */
constexpr std::int64_t startMs = 1000;
constexpr std::int64_t longAgoMs = -1000000;

} // namespace

const std::vector<WeightedKind<FaultPlan>> &FaultPlan::kinds()
{
    using Plan = FaultPlan;
    static const std::vector<WeightedKind<Plan>> table = {
        {"kill", 2,
         [](Plan &plan) {
             plan.kill(plan.anyInstance());
         }},
        {"kill_owner", 3,
         [](Plan &plan) {
             plan.kill(plan.owner());
         }},
        {"freeze", 2,
         [](Plan &plan) {
             plan.freeze(plan.anyInstance());
         }},
        {"freeze_owner", 3,
         [](Plan &plan) {
             plan.freeze(plan.owner());
         }},
        {"stop", 2,
         [](Plan &plan) {
             plan.stop(plan.anyInstance());
         }},
        {"reread_settings", 1,
         [](Plan &plan) {
             plan.signal(plan.anyInstance(), SIGHUP);
         }},
        {"store", 2, &Plan::troubleStore},
        {"store_answers_lost", 2,
         [](Plan &plan) {
             plan.troubleAppends(plan.targets.store.answersLost, 30);
         }},
        {"store_late", 2,
         [](Plan &plan) {
             plan.troubleAppends(plan.targets.store.appendsLate, 20);
         }},
        {"store_history", 1,
         [](Plan &plan) {
             plan.targets.store.dropHistory();
         }},
        {"store_link", 2,
         [](Plan &plan) {
             plan.troubleStoreLink(plan.anyInstance());
         }},
        {"store_link_owner", 3,
         [](Plan &plan) {
             plan.troubleStoreLink(plan.owner());
         }},
        {"worker_link", 4,
         [](Plan &plan) {
             plan.trouble(*plan.targets.workerLinks[plan.anyWorker()], longestWorkerCutMs);
         }},
        {"worker_reborn", 3,
         [](Plan &plan) {
             plan.targets.rebirthWorker(plan.anyWorker(), Duration(0));
         }},
        {"orders", 3, &Plan::troubleOrders},
        {"config", 1,
         [](Plan &plan) {
             plan.targets.publishConfig();
         }},
    };
    return table;
}

FaultPlan::FaultPlan(boost::asio::io_context &context, const SoakLayout &layout,
                     SoakTargets targets, std::mt19937_64 &random)
    : context(context)
    , layout(layout)
    , targets(std::move(targets))
    , random(random)
    , nextAt(firstFaultMs)
    , ends(layout.instances)
    , stoppedAtMs(layout.instances, longAgoMs)
    , disturbedUntilMs(layout.instances, longAgoMs)
    , frozen(layout.instances)
{}

void FaultPlan::tick(std::int64_t now)
{
    this->nowMs = now;
    if (this->healed || now < this->nextAt) {
        return;
    }
    const std::int64_t gap = gapMs + static_cast<std::int64_t>(this->below(gapRangeMs));
    this->nextAt = now + (this->layout.closing ? gapsBesideClosing * gap : gap);
    const WeightedKind<FaultPlan> &kind = drawKind(kinds(), this->random);
    this->begin(kind.name);
    kind.act(*this);
}

void FaultPlan::begin(const std::string &kind)
{
    ++this->done[kind];
    this->note(kind);
}

void FaultPlan::heal()
{
    this->healed = true;
    this->targets.store.mood = PlatformStore::Mood::Well;
    this->targets.store.answersLost = 0;
    this->targets.store.appendsLate = 0;
    for (const auto &worker : this->targets.workers) {
        worker->troubleOrders(0);
    }
    for (const auto *links : {&this->targets.storeLinks, &this->targets.workerLinks}) {
        for (const auto &link : *links) {
            link->setMode(LinkProxy::Mode::Pass);
        }
    }
    for (std::size_t instance = 0; instance < this->layout.instances; ++instance) {
        this->signal(instance, SIGCONT);
        this->frozen[instance] = false;
        this->disturbedUntilMs[instance] = std::min(this->disturbedUntilMs[instance], this->nowMs);
    }
}

bool FaultPlan::stopsAsPlanned(std::size_t instance) const
{
    const std::int64_t stopped = this->stoppedAtMs[instance];
    return this->nowMs < stopped + graceMs + afterGraceMs;
}

bool FaultPlan::undisturbedSince(std::size_t instance, std::int64_t sinceMs) const
{
    const std::int64_t stopped = this->stopsAsPlanned(instance) ? this->stoppedAtMs[instance] : 0;
    return this->disturbedUntilMs[instance] + nearMs < std::max(sinceMs, stopped);
}

void FaultPlan::note(const std::string &fault) const
{
    const auto unixMs = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    std::cout << unixMs.count() << " at " << this->nowMs << " fault " << fault << "\n";
}

bool FaultPlan::signal(std::size_t instance, int number)
{
    std::ifstream file(this->layout.processFile(instance));
    pid_t process = 0;
    return file >> process && process > 1 && ::kill(process, number) == 0;
}

void FaultPlan::disturb(std::size_t instance, std::int64_t lengthMs)
{
    std::int64_t &until = this->disturbedUntilMs[instance];
    until = std::max(until, this->nowMs + lengthMs);
    this->note("of " + this->layout.instanceName(instance) +
               " for ms: " + std::to_string(lengthMs));
}

void FaultPlan::disturbAll(std::int64_t lengthMs)
{
    for (std::size_t instance = 0; instance < this->layout.instances; ++instance) {
        this->disturb(instance, lengthMs);
    }
}

std::size_t FaultPlan::owner()
{
    const std::string name = this->targets.store.owner();
    for (std::size_t instance = 0; instance < this->layout.instances; ++instance) {
        if (this->layout.instanceName(instance) == name) {
            return instance;
        }
    }
    return this->anyInstance();
}

void FaultPlan::kill(std::size_t instance)
{
    this->disturb(instance, startMs);
    this->ends[instance] += this->signal(instance, SIGKILL) ? 1 : 0;
}

void FaultPlan::freeze(std::size_t instance)
{
    if (this->frozen[instance] || !this->signal(instance, SIGSTOP)) {
        return;
    }
    this->frozen[instance] = true;
    const std::int64_t length = 300 + static_cast<std::int64_t>(this->below(longestFaultMs));
    this->disturb(instance, length);
    callAfter(this->context, Duration(length), [this, instance] {
        if (this->frozen[instance]) {
            this->signal(instance, SIGCONT);
            this->frozen[instance] = false;
            this->disturb(instance, 0);
        }
    });
}

std::int64_t FaultPlan::trouble(LinkProxy &link, std::int64_t longestMs)
{
    constexpr LinkProxy::Mode modes[] = {LinkProxy::Mode::Delay, LinkProxy::Mode::Hold,
                                         LinkProxy::Mode::HoldReply, LinkProxy::Mode::Reset};
    link.delay = Duration(static_cast<std::int64_t>(20 + this->below(400)));
    link.setMode(modes[this->below(std::size(modes))]);
    const std::int64_t length = 200 + static_cast<std::int64_t>(this->below(longestMs));
    callAfter(this->context, Duration(length), [&link] { link.setMode(LinkProxy::Mode::Pass); });
    return length;
}

bool FaultPlan::stop(std::size_t instance)
{
    const bool stopping = this->nowMs < this->stoppedAtMs[instance] + graceMs;
    if (stopping || this->frozen[instance] || !this->signal(instance, SIGTERM)) {
        return false;
    }
    ++this->ends[instance];
    this->stoppedAtMs[instance] = this->nowMs;
    this->note("planned stop of " + this->layout.instanceName(instance));
    return true;
}

void FaultPlan::troubleStore()
{
    constexpr PlatformStore::Mood moods[] = {
        PlatformStore::Mood::Refusing, PlatformStore::Mood::Silent, PlatformStore::Mood::Resetting};
    this->targets.store.mood = moods[this->below(std::size(moods))];
    callAfter(this->context, Duration(300 + static_cast<std::int64_t>(this->below(7000))),
              [this] { this->targets.store.mood = PlatformStore::Mood::Well; });
}

void FaultPlan::troubleAppends(unsigned &percentage, unsigned percent)
{
    percentage = percent;
    callAfter(this->context, Duration(2000), [&percentage] { percentage = 0; });
}

void FaultPlan::troubleStoreLink(std::size_t instance)
{
    const std::int64_t length = this->trouble(*this->targets.storeLinks[instance], longestFaultMs);
    this->disturb(instance, std::min(length, longestFaultMs));
}

void FaultPlan::troubleOrders()
{
    PlatformWorker &worker = *this->targets.workers[this->anyWorker()];
    worker.troubleOrders(15);
    callAfter(this->context, Duration(3000), [&worker] { worker.troubleOrders(0); });
}

} // namespace godwitfall::soak
