// No start exceeds the bound of its step on a worker or the worker's capacity, or goes to a worker
// without the step's label or of another service, beside faults of each class.
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "jobsimulation.h"

namespace godwitfall::jobtests {
namespace {

constexpr std::size_t fleet = 8;
constexpr std::int64_t fullMilliCores = 6000;

/** A job whose first step takes so many workers at its bound. */
struct JobClass
{
    const char *name;
    std::uint32_t workers = fleet;
    std::int64_t longestRunMs = 2500;
    void (jobs::StepSpec::*mark)(bool) = nullptr;
    std::uint32_t occurrences = 0; ///< 0: its steps run at once.
    /** Of one in seven jobs; 0: as many as the workers take. More than 512 have records in parts.
     */
    std::uint32_t taskCount = 0;
    bool labelled = false;
    bool hasSecondStep = false;
    bool runsFail = false;
    bool cancelled = false; ///< As the next job is submitted; long-running ones are later anyway.
};

const std::vector<JobClass> jobClasses = {
    {"ShortLived"},
    {"SecondStep", fleet / 2, 800, nullptr, 0, 0, false, true},
    {"LongRunning", fleet, 600000, &jobs::StepSpec::set_long_running},
    {"Gang", fleet - 2, 2000, &jobs::StepSpec::set_gang},
    {"TightlyCoupled", fleet - 1, 2000, &jobs::StepSpec::set_tightly_coupled},
    {"BestEffort", fleet, 2500, &jobs::StepSpec::set_fills},
    {"Repeated", fleet, 1500, nullptr, 3},
    {"InParts", fleet, 300, nullptr, 0, 560},
    {"Labelled", fleet / 2, 2500, nullptr, 0, 0, true},
    {"Failing", fleet, 1000, nullptr, 0, 0, false, false, true},
    {"Cancelled", fleet, 2500, nullptr, 0, 0, false, false, false, true},
};

class BoundPlayer;

struct FaultClass
{
    const char *name;
    void (BoundPlayer::*inject)();
    FaultRates rates{};
    Duration evacuationTime{0};
};

/** Plays jobs of one class beside faults of another. */
class BoundPlayer
{
public:
    BoundPlayer(const JobClass &jobs, const FaultClass &faults, std::uint64_t seed)
        : jobs(jobs)
        , faults(faults)
        , random(seed)
        , simulation(seed, faults.rates, DisabledMechanism::None, faults.evacuationTime)
        , most(1 + static_cast<std::uint32_t>(seed % 2))
    {}

    /** Returns the violated guarantees. */
    std::vector<std::string> play()
    {
        this->simulation.makeHoldsWait();
        this->simulation.makeCrashesReset();
        while (this->simulation.workersEver() < fleet) {
            this->simulation.addWorker(this->simulation.workersEver() % 2 == 0 ? "a" : "b");
        }
        // Its workers count the processors of best-effort tasks, unlike those of the platform.
        if (this->jobs.mark != &jobs::StepSpec::set_fills) {
            this->simulation.trustCoordinator();
        }
        this->simulation.fails = [this](const TaskRef &task, std::uint32_t run) {
            return this->jobs.runsFail && (task.index + run) % 9 == 0;
        };
        this->simulation.run(2500);
        for (int round = 0; round < 20; ++round) {
            this->submit();
            (this->*this->faults.inject)();
            this->simulation.run(200 + this->upTo(1200));
        }
        this->simulation.heal();
        this->simulation.run(8000);
        return this->simulation.ledger().broken;
    }

    void killOwner() { this->simulation.killOwner(500 + this->upTo(2000)); }
    void freezeOwner() { this->simulation.freezeOwner(500 + this->upTo(7000)); }
    void cutOwner() { this->simulation.cutOwnerFromStore(500 + this->upTo(9000)); }
    void cutWorker() { this->simulation.cutWorker(this->worker(), 500 + this->upTo(9000)); }
    void loseOrders() { this->disturb(OrderDisturbance::Lost); }
    void delayOrders() { this->disturb(OrderDisturbance::Delayed); }
    void restartAsOtherKind() { this->restart(this->upTo(1) == 0 ? "a" : "b", fullMilliCores); }
    void restartWithOtherCapacity() { this->restart("a", 1000 * (1 + this->upTo(7))); }
    void restartAsOtherService()
    {
        const char *next = this->upTo(2) > 0 ? "orchard" : "vineyard";
        this->simulation.changeServiceOf(this->worker(), ServiceId(next));
    }
    void drain()
    {
        this->simulation.drainWorker(this->worker(), 500 + this->upTo(3000), this->upTo(2000));
    }
    void evacuate()
    {
        this->simulation.evacuateZone(this->worker(), 1000 + this->upTo(6000));
        this->simulation.stallOwnerRequestReads(this->upTo(6000));
    }
    void resize()
    {
        const std::size_t shrinking = this->worker();
        this->simulation.resizeWorker(shrinking, 1000 * this->upTo(8));
        this->simulation.resizeWorker((shrinking + 1) % fleet, fullMilliCores);
    }
    void combine();

private:
    jobs::StepSpec stepFor(std::uint32_t workers, std::int64_t longestRunMs)
    {
        const std::int64_t runMs = longestRunMs - this->upTo(longestRunMs / 2);
        jobs::StepSpec step = stepOf(workers * this->most, static_cast<std::uint32_t>(100 + runMs));
        step.set_max_per_worker(this->most);
        return step;
    }

    void submit()
    {
        jobs::JobSpec spec;
        jobs::StepSpec &first = *spec.add_steps();
        first = this->stepFor(this->jobs.workers, this->jobs.longestRunMs);
        if (this->jobs.mark) {
            (first.*this->jobs.mark)(true);
        }
        if (this->jobs.taskCount > 0 && this->submitted.size() % 7 == 0) {
            first.set_count(this->jobs.taskCount);
        }
        if (this->jobs.labelled) {
            first.set_required_label(this->upTo(1) == 0 ? "a" : "b");
        }
        if (this->jobs.hasSecondStep) {
            *spec.add_steps() = this->stepFor(fleet, this->jobs.longestRunMs);
            spec.mutable_steps(1)->add_after(0);
        }
        if (this->jobs.occurrences > 0) {
            spec.set_repeat_count(this->jobs.occurrences);
            spec.set_first_run_ms(this->simulation.now() + this->upTo(500));
            spec.set_interval_ms(500 + this->upTo(2000));
        }
        const std::size_t open = first.long_running() ? 2 : 1;
        if ((this->jobs.cancelled || first.long_running()) && this->submitted.size() >= open) {
            this->simulation.cancel(this->submitted[this->submitted.size() - open]);
        }
        this->submitted.push_back(this->simulation.submit(spec));
    }

    std::int64_t upTo(std::int64_t largest)
    {
        return static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(largest + 1));
    }

    std::size_t worker() { return this->random() % fleet; }

    void disturb(OrderDisturbance kind)
    {
        this->simulation.disturbOrders(this->worker(), kind, 1000 + this->upTo(5000));
    }

    void restart(const std::string &kind, std::int64_t milliCores)
    {
        this->simulation.crashWorkerAndChange(this->worker(), 20 + this->upTo(2000),
                                              this->upTo(2500), kind, milliCores);
    }

    const JobClass &jobs;
    const FaultClass &faults;
    std::mt19937_64 random;
    JobSimulation simulation;
    const std::uint32_t most; ///< Tasks of a step on one worker.
    std::vector<JobId> submitted;
};

const std::vector<FaultClass> faultClasses = {
    {"OrdersLost", &BoundPlayer::loseOrders},
    {"OrdersDelayed", &BoundPlayer::delayOrders},
    {"OwnersKilled", &BoundPlayer::killOwner},
    {"OwnersFrozen", &BoundPlayer::freezeOwner},
    {"OwnersCutOff", &BoundPlayer::cutOwner},
    {"WorkersCutOff", &BoundPlayer::cutWorker},
    {"OtherKind", &BoundPlayer::restartAsOtherKind},
    {"OtherCapacity", &BoundPlayer::restartWithOtherCapacity},
    {"OtherService", &BoundPlayer::restartAsOtherService},
    {"WorkersDrained", &BoundPlayer::drain},
    {"ZonesEvacuated", &BoundPlayer::evacuate, {}, Duration(5000)},
    {"CapacityChanged", &BoundPlayer::resize},
    // The last one; rates of orders lost, replies lost, orders delayed, stalls and other faults.
    {"Combined", &BoundPlayer::combine, {10, 10, 20, 20, 20}, Duration(5000)},
};

void BoundPlayer::combine()
{
    (this->*faultClasses[this->random() % (faultClasses.size() - 1)].inject)();
}

class BoundScheduleTest : public testing::TestWithParam<std::tuple<JobClass, FaultClass>>
{};

// ROUTE, LIMIT. Guards against a start in a place that is not free, or on a worker that may not run
// the step, whatever the class of its job.
TEST_P(BoundScheduleTest, NoStartExceedsABound)
{
    constexpr std::uint64_t schedules = 4;
    const auto &[jobs, faults] = GetParam();
    for (std::uint64_t seed = 0; seed < schedules; ++seed) {
        EXPECT_EQ(BoundPlayer(jobs, faults, seed).play(), std::vector<std::string>()) << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Classes, BoundScheduleTest,
                         testing::Combine(testing::ValuesIn(jobClasses),
                                          testing::ValuesIn(faultClasses)),
                         [](const auto &info) {
                             return std::string(std::get<0>(info.param).name) +
                                    std::get<1>(info.param).name;
                         });

RC_GTEST_PROP(BoundScheduleProperty, NoStartExceedsABound, ())
{
    const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1000000).as("seed");
    const JobClass &jobs = jobClasses[*rc::gen::inRange<std::size_t>(0, jobClasses.size())];
    const FaultClass &faults = faultClasses[*rc::gen::inRange<std::size_t>(0, faultClasses.size())];
    for (const std::string &violation : BoundPlayer(jobs, faults, seed).play()) {
        RC_FAIL(std::string(jobs.name) + " beside " + faults.name + ": " + violation);
    }
}

} // namespace
} // namespace godwitfall::jobtests
