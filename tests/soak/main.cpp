#include <algorithm>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <tclap/CmdLine.h>

#include "callafter.h"
#include "closedcheck.h"
#include "closingplan.h"
#include "configcheck.h"
#include "connectionplan.h"
#include "faultplan.h"
#include "jobtable.h"
#include "keptcallers.h"
#include "lastingcheck.h"
#include "operationplan.h"
#include "platform/names.h"
#include "soakclients.h"

namespace godwitfall::soak {

namespace {

constexpr std::chrono::milliseconds tickEvery(5);
constexpr std::int64_t settleMs = 90000; ///< Longest that a recovered deployment may take.
/** Time in which the last tasks of a job cancelled just now have to be gone; the platform's bounds
 * on cancels and stops. */
constexpr std::int64_t lastStopsMs = 4400;
constexpr std::int64_t longestStopMs = 9000; ///< Above the grace of a planned stop.
/** Time that an instance surely had a request for when its connection broke after it. */
constexpr Duration surelyRead{300};
constexpr std::int64_t msPerSecond = 1000;
/** Time until a killed instance listens again, in which not all is calm yet. */
constexpr std::int64_t restartMs = 500;
/** Pause of this process itself that counts as one of the platform. */
constexpr std::int64_t longestPauseMs = 500;
constexpr std::int64_t withholdAfterMs = 3000; ///< See Weakening::newConfigs.
constexpr Duration workerRestart{30}; ///< Time in which a worker that restarts takes no order.
constexpr std::size_t slotsOfWorker = 4;
constexpr std::ptrdiff_t fewestOfKind = 2;  ///< Workers that stay of each kind.
constexpr std::size_t sparesOfExtended = 4; ///< Workers that may be lost.

/** What to leave out of the platform, to show that the checks notice. */
struct Weakening
{
    bool workerFence = false;
    bool workerLease = false;
    bool storeFence = false;
    bool newConfigs = false;
};

/** Plays one seed: the platform, its callers, the faults, and the verdict. */
class Soak
{
public:
    Soak(const SoakLayout &layout, std::uint64_t seed, std::int64_t faultMs,
         const Weakening &weakening);

    /** Returns whether every promise held. */
    bool run();

private:
    enum class Phase { Faults, Settling, LastStops, Stopping };

    static std::int64_t unixMs();
    std::int64_t nowMs() const;
    void callEnded(std::size_t instance, Duration waited, bool answered);
    std::unique_ptr<PlatformWorker> makeWorker(std::size_t index, const std::string &address,
                                               std::mt19937_64 &orderRandom);
    void listen();
    void publishWorker(const PlatformWorker &worker);
    void publishWorkerAfter(std::size_t worker, Duration time);
    void rebirthWorker(std::size_t worker, Duration listedAfter);
    void restartUnseen(std::size_t worker, Duration listedAfter);
    /** Draws the kind of the worker's next incarnation; some workers of each kind stay. */
    void drawKind(std::size_t worker);
    void writeSettings(std::size_t instance);
    /** Replaces the address in the record of an owner by the one of its proxy. */
    void showPeerProxy(JobRecord &record) const;
    std::vector<std::size_t> workersOf(const TaskRef &task) const;
    std::vector<TaskRef> runningTasks(bool lasting) const;
    void checkLasting(std::int64_t now);
    void scheduleTick();
    void tick();
    void beginStopping();
    bool allEnded() const;
    void checkEnds();
    void breakPromise(const std::string &what);

    const SoakLayout layout;
    const std::int64_t faultMs;
    const std::chrono::steady_clock::time_point began;
    boost::asio::io_context context;
    std::mt19937_64 random;
    std::mt19937_64 clientRandom;
    std::mt19937_64 faultRandom;
    std::mt19937_64 kindRandom; ///< Of workers; also of the orders of the other service.
    jobtests::FleetLedger ledger;
    PlatformStore store;
    ClosedCheck closed;
    std::unique_ptr<KeptCallers> kept; ///< Null without the extended or the closing plan.
    SoakClients clients;
    std::vector<std::unique_ptr<PlatformWorker>> workers;
    std::unique_ptr<PlatformWorker> otherWorker; ///< Of the other service; meets no faults.
    std::vector<std::unique_ptr<LinkProxy>> storeLinks;
    std::vector<std::unique_ptr<LinkProxy>> workerLinks;
    std::vector<std::unique_ptr<LinkProxy>> peerLinks;   ///< Empty without silence.
    std::vector<std::unique_ptr<LinkProxy>> clientLinks; ///< Empty without silence.
    std::unique_ptr<FaultPlan> plan;
    std::unique_ptr<ConfigCheck> configs;
    std::unique_ptr<OperationPlan> operations;
    std::unique_ptr<ConnectionPlan> connections;
    std::unique_ptr<ClosingPlan> closing;
    LastingCheck lasting;
    std::int64_t tickedAt = 0;
    unsigned answersInStops = 0; ///< Of instances that stopped as planned, undisturbed.
    bool withholdConfigs = false;
    unsigned pauses = 0; ///< Of this process itself; while it pauses, no worker answers.
    boost::asio::steady_timer timer;
    Phase phase = Phase::Faults;
    std::int64_t phaseAt = 0;
};

Soak::Soak(const SoakLayout &layout, std::uint64_t seed, std::int64_t faultMs,
           const Weakening &weakening)
    : layout(layout)
    , faultMs(faultMs)
    , began(std::chrono::steady_clock::now())
    , random(seed)
    , clientRandom(seed + 1)
    , faultRandom(seed + 2)
    , kindRandom(seed + 8)
    , store(this->context, this->random)
    , closed(this->ledger)
    , kept(layout.extended || layout.closing
               ? std::make_unique<KeptCallers>(this->context, layout, seed + 3)
               : nullptr)
    , clients(this->context, layout, this->clientRandom, this->ledger, this->closed,
              this->kept.get(), seed + 9)
    , timer(this->context)
{
    for (std::size_t index = 0; index < layout.workers; ++index) {
        this->workers.push_back(
            this->makeWorker(index, layout.workerProxyAddress(index), this->random));
        this->workers.back()->simulation().kind = SoakLayout::kindOf(index);
        this->workers.back()->simulation().checksFence = !weakening.workerFence;
        this->workers.back()->simulation().keepsLeases = !weakening.workerLease;
        this->workers.back()->orderLate = [this](const TaskRef &task, Duration delay) {
            this->lasting.orderLate(task, this->nowMs() + delay.count());
        };
        this->workerLinks.push_back(
            std::make_unique<LinkProxy>(this->context, layout.workerAddress(index)));
    }
    this->otherWorker =
        this->makeWorker(layout.workers, layout.workerAddress(layout.workers), this->kindRandom);
    this->otherWorker->simulation().service = ServiceId(SoakLayout::otherServiceName);
    if (weakening.storeFence) {
        this->store.dropFence();
    }
    this->withholdConfigs = weakening.newConfigs;
    for (std::size_t index = 0; index < layout.instances; ++index) {
        this->storeLinks.push_back(
            std::make_unique<LinkProxy>(this->context, layout.storeAddress()));
        if (layout.silence) {
            this->peerLinks.push_back(
                std::make_unique<LinkProxy>(this->context, layout.peerAddress(index)));
            this->clientLinks.push_back(
                std::make_unique<LinkProxy>(this->context, layout.entranceAddress(index)));
        }
    }
    if (layout.silence) {
        this->store.rewrite = [this](JobRecord &record) {
            this->showPeerProxy(record);
        };
    }
    const SoakTargets targets{this->store,
                              this->workers,
                              this->storeLinks,
                              this->workerLinks,
                              this->peerLinks,
                              this->clientLinks,
                              [this] { this->configs->publish(this->nowMs()); },
                              [this](std::size_t worker, Duration listedAfter) {
                                  this->rebirthWorker(worker, listedAfter);
                              },
                              [this](std::size_t worker, Duration listedAfter) {
                                  this->restartUnseen(worker, listedAfter);
                              },
                              [this](std::size_t instance) { this->writeSettings(instance); },
                              [this](const TaskRef &task) { return this->workersOf(task); },
                              [this](bool lasting) {
                                  return this->runningTasks(lasting);
                              }};
    this->plan = std::make_unique<FaultPlan>(this->context, layout, targets, this->faultRandom);
    this->configs =
        std::make_unique<ConfigCheck>(this->context, layout, *this->plan, this->store, seed + 5);
    this->configs->broken = [this](const std::string &what) {
        this->breakPromise(what);
    };
    this->clients.ended = [this](std::size_t instance, Duration waited, bool answered) {
        this->callEnded(instance, waited, answered);
    };
    this->clients.broken = [this](const std::string &what) {
        this->breakPromise(what);
    };
    if (layout.closing) {
        this->closing =
            std::make_unique<ClosingPlan>(this->context, *this->plan, targets, seed + 7, faultMs);
    }
    if (layout.connections) {
        this->connections = std::make_unique<ConnectionPlan>(*this->plan, targets, seed + 6,
                                                             faultMs, layout.silence);
    }
    if (layout.extended) {
        this->operations = std::make_unique<OperationPlan>(this->context, layout, *this->plan,
                                                           targets, seed + 4, faultMs);
    }
}

std::unique_ptr<PlatformWorker> Soak::makeWorker(std::size_t index, const std::string &address,
                                                 std::mt19937_64 &orderRandom)
{
    const auto number = static_cast<std::int64_t>(index);
    // A clock may be up to 2% slow.
    const PlatformWorker::Clock clock{number * 77777, number % 3 * 9};
    return std::make_unique<PlatformWorker>(
        this->context, "w" + std::to_string(index), address, clock, orderRandom, this->ledger,
        [this](const TaskRef &task, const std::string &payload) {
            return this->clients.judge(task, payload);
        });
}

void Soak::callEnded(std::size_t instance, Duration waited, bool answered)
{
    if (!this->plan->undisturbedSince(instance, this->nowMs() - waited.count())) {
        return;
    }
    const bool stops = this->plan->stopsAsPlanned(instance);
    this->answersInStops += answered && stops ? 1 : 0;
    if (!answered && waited >= surelyRead) {
        const std::string name = this->layout.instanceName(instance);
        this->breakPromise((stops ? "a planned stop of " + name : "undisturbed, " + name) +
                           " broke off a request that it had for " +
                           std::to_string(waited.count()) + " ms");
    }
}

std::int64_t Soak::unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::int64_t Soak::nowMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                                 this->began)
        .count();
}

void Soak::breakPromise(const std::string &what)
{
    this->ledger.broken.push_back(what);
}

void Soak::listen()
{
    const auto require = [](const Result<void> &listening) {
        if (!listening) {
            throw std::runtime_error(listening.error().text());
        }
    };
    require(this->store.listen(this->layout.storeAddress()));
    for (std::size_t index = 0; index < this->storeLinks.size(); ++index) {
        require(this->storeLinks[index]->listen(this->layout.storeProxyAddress(index)));
        if (this->layout.silence) {
            require(this->peerLinks[index]->listen(this->layout.peerProxyAddress(index)));
            require(this->clientLinks[index]->listen(this->layout.clientAddress(index)));
        }
        this->writeSettings(index);
    }
    for (std::size_t index = 0; index < this->workers.size(); ++index) {
        require(this->workers[index]->listen(this->layout.workerAddress(index)));
        require(this->workerLinks[index]->listen(this->layout.workerProxyAddress(index)));
        this->workers[index]->restart(unixMs());
        this->publishWorker(*this->workers[index]);
    }
    require(this->otherWorker->listen(this->layout.workerAddress(this->workers.size())));
    this->otherWorker->restart(unixMs());
    this->publishWorker(*this->otherWorker);
    this->configs->publish(this->nowMs());
}

void Soak::publishWorker(const PlatformWorker &worker)
{
    this->store.put(platform::names::workerTopic, worker.name(), worker.registryEntry());
}

void Soak::writeSettings(std::size_t instance)
{
    // An instance that starts meanwhile reads the former file or the new one.
    const std::filesystem::path file = this->layout.settingsFile(instance);
    const std::filesystem::path written = file.string() + ".new";
    std::ofstream(written) << this->layout.settings(instance);
    std::filesystem::rename(written, file);
}

void Soak::showPeerProxy(JobRecord &record) const
{
    jobs::Ownership ownership;
    if (record.key != JobTable::ownerKey || !ownership.ParseFromString(record.value)) {
        return;
    }
    for (std::size_t index = 0; index < this->layout.instances; ++index) {
        if (ownership.address() == this->layout.peerAddress(index)) {
            ownership.set_address(this->layout.peerProxyAddress(index));
            record.value = ownership.SerializeAsString();
            return;
        }
    }
}

std::vector<std::size_t> Soak::workersOf(const TaskRef &task) const
{
    std::vector<std::size_t> found;
    const auto runs = this->ledger.running.find(task);
    for (std::size_t index = 0; index < this->workers.size(); ++index) {
        const auto isThere = [&](const auto &run) {
            return run.first == this->workers[index]->name();
        };
        if (runs != this->ledger.running.end() &&
            std::any_of(runs->second.begin(), runs->second.end(), isThere)) {
            found.push_back(index);
        }
    }
    return found;
}

std::vector<TaskRef> Soak::runningTasks(bool lasting) const
{
    const std::vector<TaskRef> lastingTasks = this->clients.lastingTasks();
    std::vector<TaskRef> found;
    for (const auto &[task, runs] : this->ledger.running) {
        const bool lasts =
            std::find(lastingTasks.begin(), lastingTasks.end(), task) != lastingTasks.end();
        if (!runs.empty() && (lasts || !lasting)) {
            found.push_back(task);
        }
    }
    return found;
}

void Soak::rebirthWorker(std::size_t worker, Duration listedAfter)
{
    if (this->workers[worker]->lost()) {
        return;
    }
    this->workerLinks[worker]->breakConnections();
    if (this->layout.closing) {
        this->restartUnseen(worker, listedAfter);
        return;
    }
    this->drawKind(worker);
    this->workers[worker]->restart(unixMs());
    this->publishWorkerAfter(worker, listedAfter);
}

void Soak::drawKind(std::size_t worker)
{
    jobtests::SimWorker &changed = this->workers[worker]->simulation();
    const auto same = std::count_if(this->workers.begin(), this->workers.end(), [&](auto &other) {
        return other->simulation().kind == changed.kind;
    });
    const bool changes = this->kindRandom() % 2 == 0;
    // Workers that may be lost for good are not counted on.
    if (changes && same > fewestOfKind && !this->layout.extended) {
        changed.changeAtRestart(SoakLayout::kindOf(changed.kind == SoakLayout::kindOf(0) ? 1 : 0),
                                changed.entry().capacity.milliCores);
    }
}

void Soak::restartUnseen(std::size_t worker, Duration listedAfter)
{
    this->workerLinks[worker]->breakTargets();
    this->workers[worker]->crash();
    // The server still reads what had arrived on connections of the former incarnation.
    callAfter(this->context, workerRestart, [this, worker, listedAfter] {
        this->drawKind(worker);
        this->workers[worker]->restart(unixMs());
        this->publishWorkerAfter(worker, listedAfter);
    });
}

void Soak::publishWorkerAfter(std::size_t worker, Duration time)
{
    if (time == Duration(0)) {
        this->publishWorker(*this->workers[worker]);
        return;
    }
    callAfter(this->context, time, [this, worker] {
        if (!this->workers[worker]->lost()) {
            this->publishWorker(*this->workers[worker]);
        }
    });
}

void Soak::scheduleTick()
{
    this->timer.expires_after(tickEvery);
    this->timer.async_wait([this](const boost::system::error_code &failure) {
        if (!failure) {
            this->tick();
        }
    });
}

void Soak::tick()
{
    const std::int64_t now = this->nowMs();
    this->clients.tick(now);
    this->plan->tick(now);
    if (this->phase != Phase::Stopping) {
        this->configs->tick(now);
    }
    if (this->withholdConfigs && now >= withholdAfterMs) {
        this->store.withheldTopic = platform::names::configTopic;
    }
    if (this->operations) {
        this->operations->tick(now);
    }
    if (this->connections) {
        this->connections->tick(now);
        if (this->phase != Phase::Faults && this->connections->lastSilence()) {
            this->lasting.calmSince(*this->connections->lastSilence());
        }
    }
    if (this->closing) {
        this->closing->tick(now);
    }
    this->store.tick(std::chrono::steady_clock::now());
    for (const auto &worker : this->workers) {
        worker->tick(unixMs());
    }
    this->otherWorker->tick(unixMs());
    this->checkLasting(now);
    switch (this->phase) {
    case Phase::Faults:
        if (now >= this->faultMs) {
            if (this->closing) {
                this->closing->heal();
            }
            this->plan->heal();
            this->plan->note("all healed");
            this->lasting.calmSince(now + restartMs);
            this->clients.finish();
            this->phase = Phase::Settling;
            this->phaseAt = now;
        }
        break;
    case Phase::Settling:
        if ((this->clients.settled() && !(this->connections && this->connections->pending(now))) ||
            now >= this->phaseAt + settleMs) {
            std::cout << "settled after ms: " << now - this->phaseAt << std::endl;
            this->phase = Phase::LastStops;
            this->phaseAt = now;
        }
        break;
    case Phase::LastStops:
        if (now >= this->phaseAt + lastStopsMs) {
            for (const std::string &fault : this->clients.faults()) {
                this->breakPromise(fault);
            }
            this->beginStopping();
        }
        break;
    case Phase::Stopping:
        if (this->allEnded() || now >= this->phaseAt + longestStopMs) {
            this->checkEnds();
            this->context.stop();
            return;
        }
        break;
    }
    this->scheduleTick();
}

void Soak::checkLasting(std::int64_t now)
{
    const bool paused = now > this->tickedAt + longestPauseMs;
    this->tickedAt = now;
    this->pauses += paused ? 1 : 0;
    if (paused) {
        this->configs->notePause(now);
    }
    if (this->phase == Phase::Stopping) {
        return;
    }
    // A pause is a fault like any other; late appends may still fence the owner.
    if (this->phase != Phase::Faults && (paused || this->store.hasLateAppends())) {
        this->lasting.calmSince(now);
    }
    std::map<std::string, std::size_t> taken;
    for (const auto &[task, runs] : this->ledger.running) {
        for (const auto &[worker, run] : runs) {
            ++taken[worker];
        }
    }
    const std::vector<TaskRef> tasks = this->clients.lastingTasks();
    const auto freeSlotsFor = [&](const TaskRef &task) {
        std::set<std::size_t> excluded;
        for (const TaskRef &other : tasks) {
            if (other.job == task.job && other != task && this->clients.keepsApart(task)) {
                const std::vector<std::size_t> there = this->workersOf(other);
                excluded.insert(there.begin(), there.end());
            }
        }
        std::size_t freeSlots = 0;
        for (std::size_t index = 0; index < this->workers.size(); ++index) {
            const std::size_t used = std::min(slotsOfWorker, taken[this->workers[index]->name()]);
            const bool usable = !this->workers[index]->lost() && !excluded.contains(index);
            freeSlots += usable ? slotsOfWorker - used : 0;
        }
        return freeSlots;
    };
    for (const std::string &broken : this->lasting.check(now, tasks, this->ledger, freeSlotsFor)) {
        this->breakPromise(broken);
    }
}

void Soak::beginStopping()
{
    this->phase = Phase::Stopping;
    this->phaseAt = this->nowMs();
    std::ofstream(this->layout.stopFile()) << "stop\n";
    for (std::size_t instance = 0; instance < this->layout.instances; ++instance) {
        this->plan->signal(instance, SIGTERM);
    }
}

bool Soak::allEnded() const
{
    for (std::size_t instance = 0; instance < this->layout.instances; ++instance) {
        if (std::filesystem::exists(this->layout.processFile(instance))) {
            return false;
        }
    }
    return true;
}

void Soak::checkEnds()
{
    for (std::size_t instance = 0; instance < this->layout.instances; ++instance) {
        const std::string name = this->layout.instanceName(instance);
        if (std::filesystem::exists(this->layout.processFile(instance))) {
            this->breakPromise(name + " did not end within its grace");
            continue;
        }
        std::ifstream file(this->layout.endsFile(instance));
        constexpr int killed = 128 + SIGKILL;
        unsigned ends = 0;
        for (int status = 0; file >> status;) {
            ++ends;
            if (status != 0 && status != killed) {
                this->breakPromise(name + " ended with status " + std::to_string(status));
            }
        }
        // The last end is the one of beginStopping(). A signal may meet a process that is ending.
        if (ends > this->plan->endsCaused(instance) + 1) {
            this->breakPromise(name + " ended by itself: " + std::to_string(ends) + " ends, " +
                               std::to_string(this->plan->endsCaused(instance) + 1) + " caused");
        }
    }
}

bool Soak::run()
{
    this->listen();
    std::cout << "platform is up" << std::endl;
    this->scheduleTick();
    this->context.run();
    std::cout << "jobs " << this->clients.jobCount() << ", accepted "
              << this->clients.acceptedCount() << ", rejections " << this->clients.rejections()
              << ", unknown " << this->clients.unknowns() << ", starts " << this->ledger.starts
              << ", checked for a label " << this->ledger.labelChecks << ", for a bound "
              << this->ledger.boundChecks << ", done " << this->ledger.done
              << ", answers on kept connections " << this->clients.keptAnswers()
              << ", in planned stops " << this->answersInStops
              << ", longest gap of a lasting task ms " << this->lasting.longestGap()
              << ", answers on new and removed queues " << this->configs->answers()
              << ", jobs shown as failed " << this->clients.failedCount() << ", pauses of the soak "
              << this->pauses << "\nfaults:";
    for (const auto &[name, count] : this->plan->counts()) {
        std::cout << " " << name << " " << count;
    }
    std::cout << "\n";
    for (const std::string &broken : this->ledger.broken) {
        std::cout << "broken: " << broken << "\n";
    }
    return this->ledger.broken.empty() && this->ledger.done > 0;
}

int playSoak(int argc, char **argv)
{
    TCLAP::CmdLine flags("Plays the platform, its callers and its faults for instances that "
                         "scripts/soak-processes starts, and checks what they promise.",
                         ' ', GODWITFALL_VERSION);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "draws load and faults", false, 1, "number",
                                        flags);
    TCLAP::ValueArg<std::int64_t> seconds("", "seconds", "length of the faults, s", false, 30,
                                          "seconds", flags);
    TCLAP::ValueArg<unsigned> network("", "network", "second number of the loopback addresses",
                                      false, 20, "20 to 250", flags);
    TCLAP::ValueArg<std::size_t> instances("", "instances", "entry instances", false, 5, "number",
                                           flags);
    TCLAP::SwitchArg extended("", "extended",
                              "also operations in series and overlapping, callers on kept "
                              "connections, workers lost for good",
                              flags);
    TCLAP::SwitchArg connections(
        "", "connections",
        "also connections that go silent, and workers that are back before "
        "the registry lists them",
        flags);
    TCLAP::SwitchArg silence("", "silence",
                             "--connections with silence between all components, also among "
                             "instances and of their callers, in series and during takeovers",
                             flags);
    TCLAP::SwitchArg closing("", "closing",
                             "also cuts, restarts and crashes of workers in series, beside a store "
                             "that rejects calls and lost coordinators",
                             flags);
    TCLAP::ValueArg<std::string> folder("", "folder", "settings, logs and process ids", true, "",
                                        "path", flags);
    TCLAP::SwitchArg workerFence("", "without-worker-fence", "workers take any token", flags);
    TCLAP::SwitchArg workerLease("", "without-worker-lease", "workers run on past a lease", flags);
    TCLAP::SwitchArg newConfigs("", "without-new-configs",
                                "the store hides new configurations after some seconds", flags);
    TCLAP::SwitchArg conditions("", "without-conditions",
                                "instances are not told which workers a step requires", flags);
    TCLAP::SwitchArg storeFence("", "without-store-fence", "the store takes any epoch", flags);
    flags.parse(argc, argv);
    SoakLayout layout;
    layout.network = network.getValue();
    layout.instances = instances.getValue();
    layout.extended = extended.getValue();
    layout.silence = silence.getValue();
    layout.connections = connections.getValue() || layout.silence;
    layout.closing = closing.getValue();
    layout.workers += layout.extended ? sparesOfExtended : 0;
    layout.tellsConditions = !conditions.getValue();
    layout.folder = folder.getValue();
    const Weakening weakening{workerFence.getValue(), workerLease.getValue(), storeFence.getValue(),
                              newConfigs.getValue()};
    try {
        Soak soak(layout, seed.getValue(), seconds.getValue() * msPerSecond, weakening);
        return soak.run() ? 0 : 1;
    } catch (const std::exception &failure) {
        std::cerr << "godwitfall-soak: " << failure.what() << "\n";
        return 2;
    }
}

} // namespace

} // namespace godwitfall::soak

int main(int argc, char **argv)
{
    return godwitfall::soak::playSoak(argc, argv);
}
