// LOST, BUDGET: a worker that fails what it starts is left alone, and no longer than is good for
// the tasks that only it can run.
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "coordinatorworld.h"
#include "longrunningwatch.h"

namespace godwitfall::jobtests {
namespace {

constexpr std::int64_t beginMs = 1000;
const WorkerId worker("w1");

/** One worker and jobs of one task, all of which it has taken. Time is in ms. */
class EjectionTest : public testing::Test
{
protected:
    EjectionTest()
    {
        this->world.coordinator.begin(1, Instant(beginMs), beginMs, Instant(beginMs));
        this->world.coordinator.setWorker(entryOf(worker.value()), Instant(beginMs));
        this->world.reply(worker, beginMs, 0);
    }

    void submit(int count, bool longRunning = true)
    {
        for (int job = 0; job < count; ++job) {
            jobs::JobSpec spec = oneTask(longRunning);
            spec.set_max_attempts(10);
            spec.mutable_steps(0)->set_estimated_ms(20000);
            this->world.submit(spec, this->now);
        }
        this->advance(0);
    }

    /** Lets the time pass in which the worker replies, takes all starts and lists its runs. */
    void advance(std::int64_t milliseconds)
    {
        const std::int64_t until = this->now + milliseconds;
        do {
            this->now += 20;
            this->report({});
            this->world.tick(this->now);
            this->world.commit(this->now);
            for (const StartOrder &start : std::exchange(this->world.orders.starts, {})) {
                this->running[start.task] = {start.run, this->now};
                ++this->starts;
                this->world.coordinator.startAnswered(worker, start.task, start.run,
                                                      Instant(this->now), OrderOutcome::Accepted);
            }
        } while (this->now < until);
    }

    /** Ends so many of the runs, the first ones first, with one report. */
    void endRuns(std::size_t count, RunEnd how)
    {
        std::vector<EndedTask> ended;
        while (count-- > 0 && !this->running.empty()) {
            const auto first = this->running.begin();
            ended.push_back(EndedTask{++this->lastEnd, first->first, first->second.run, how, {}});
            this->running.erase(first);
        }
        this->report(ended);
    }

    void report(const std::vector<EndedTask> &ended)
    {
        WorkerReport report;
        report.clockMs = this->now;
        report.ended = ended;
        for (const auto &[task, run] : this->running) {
            const auto percent = static_cast<std::uint32_t>(
                this->standsStill ? 0 : 1 + (this->now - run.startedAt) / 20 % 98);
            report.running.push_back(RunningTask{task, run.run, {}, percent, 0});
        }
        this->world.coordinator.holdAnswered(worker, Instant(this->now), Instant(this->now),
                                             OrderOutcome::Accepted, report);
    }

    /** Returns after what time another task is started, up to the given one. */
    std::int64_t startsAfter(std::int64_t longestMs = 30000)
    {
        const std::int64_t from = this->now;
        const unsigned before = this->starts;
        while (this->starts == before && this->now - from < longestMs) {
            this->advance(20);
        }
        return this->now - from;
    }

    /** Fails the probes one after the other; returns after what times they were started. */
    std::vector<std::int64_t> failProbes(int count)
    {
        std::vector<std::int64_t> waits;
        for (int probe = 0; probe < count; ++probe) {
            waits.push_back(this->startsAfter());
            EXPECT_EQ(this->running.size(), 1U);
            this->endRuns(1, RunEnd::Failed);
        }
        return waits;
    }

    struct Run
    {
        std::uint32_t run = 0;
        std::int64_t startedAt = 0;
    };

    CoordinatorWorld world;
    std::map<TaskRef, Run> running;
    std::uint64_t lastEnd = 0;
    unsigned starts = 0;
    std::int64_t now = beginMs;
    bool standsStill = false;
};

constexpr std::int64_t firstMs = Coordinator::firstEjection.count();
constexpr std::int64_t toleranceMs = 300;

// Guards against: ten failures of one moment count as ejections in a row, each twice as long, also
// those of runs that were started before the first one.
TEST_F(EjectionTest, FailuresOfOneMomentAreOnePieceOfEvidence)
{
    this->submit(10);
    ASSERT_EQ(this->running.size(), 10U);
    this->endRuns(3, RunEnd::Failed);
    this->advance(100);
    this->endRuns(7, RunEnd::Failed);
    const std::int64_t waited = this->startsAfter() + 100;
    EXPECT_GE(waited, firstMs);
    EXPECT_LE(waited, firstMs + toleranceMs);
}

// Guards against: all that waits is started at once on a worker that still fails it.
TEST_F(EjectionTest, OneTaskShowsWhetherTheWorkerIsSoundAgain)
{
    this->submit(10);
    this->endRuns(10, RunEnd::Failed);
    this->startsAfter();
    EXPECT_EQ(this->running.size(), 1U);
    this->advance(Coordinator::probeTime.count() - 200);
    EXPECT_EQ(this->running.size(), 1U);
    this->advance(400);
    EXPECT_EQ(this->running.size(), 10U);
}

// Guards against: a task that stands still is taken for one at work.
TEST_F(EjectionTest, AProbeThatStandsStillIsNoSuccess)
{
    this->submit(10);
    this->endRuns(10, RunEnd::Failed);
    this->startsAfter();
    this->standsStill = true;
    this->advance(Coordinator::probeTime.count() + 400);
    EXPECT_EQ(this->running.size(), 1U);
}

// Guards against: probes that fail keep the worker from the tasks that only it can run for longer
// than the platform allows.
TEST_F(EjectionTest, ProbesThatFailLengthenItUpToTheBound)
{
    this->submit(10);
    this->endRuns(10, RunEnd::Failed);
    const std::vector<std::int64_t> waits = this->failProbes(6);
    const std::int64_t longestMs = this->world.coordinator.longestEjection().count();
    EXPECT_LT(2 * longestMs + Coordinator::probeTime.count(), longestDelayMs);
    EXPECT_LE(waits.front(), firstMs + toleranceMs);
    for (std::size_t probe = 1; probe < waits.size(); ++probe) {
        EXPECT_GE(waits[probe], longestMs);
        EXPECT_LE(waits[probe], longestMs + toleranceMs);
    }
    this->startsAfter();
    this->advance(Coordinator::probeTime.count() + 200);
    EXPECT_EQ(this->running.size(), 10U) << "a success ends it";
    this->endRuns(10, RunEnd::Failed);
    EXPECT_LE(this->startsAfter(), firstMs + toleranceMs) << "the next one is a first one";
}

// Guards against: a run that was started before the ejection and is done ends it.
TEST_F(EjectionTest, RunsOfBeforeEndNoEjection)
{
    this->submit(10, false);
    this->endRuns(4, RunEnd::Failed);
    this->advance(100);
    this->endRuns(6, RunEnd::Done);
    const std::int64_t waited = this->startsAfter() + 100;
    EXPECT_GE(waited, firstMs);
    EXPECT_EQ(this->running.size(), 1U);
    this->endRuns(1, RunEnd::Done);
    this->advance(100);
    EXPECT_EQ(this->running.size(), 3U) << "the probe is done";
}

// Guards against: a probe that ends otherwise, here as its start is refused, is waited for for
// good.
TEST_F(EjectionTest, AProbeThatIsRefusedIsFollowedByAnother)
{
    this->submit(10);
    this->endRuns(10, RunEnd::Failed);
    while (this->world.orders.starts.empty()) {
        this->now += 20;
        this->report({});
        this->world.tick(this->now);
        this->world.commit(this->now);
    }
    ASSERT_EQ(this->world.orders.starts.size(), 1U);
    const StartOrder refused = this->world.orders.starts.front();
    this->world.orders.starts.clear();
    this->world.coordinator.startAnswered(worker, refused.task, refused.run, Instant(this->now),
                                          OrderOutcome::Unhealthy);
    EXPECT_LE(this->startsAfter(), Coordinator::refusalEjection.count() + toleranceMs);
    EXPECT_EQ(this->running.size(), 1U);
}

/** How long the only worker that some long-running tasks can use fails what it starts. */
class FailingWorkerTest : public testing::TestWithParam<std::int64_t>
{};

// LOST. Guards against: tasks stand still on a worker that is sound again, by the bound of the rule
// from the end of the fault on.
TEST_P(FailingWorkerTest, ItsTasksRunWithinTheBoundOnceItIsSound)
{
    constexpr std::uint64_t seeds = 10;
    constexpr std::uint32_t longRunMs = 600000;
    constexpr std::int64_t calmMs = 20000;
    for (std::uint64_t seed = 0; seed < seeds; ++seed) {
        JobSimulation simulation(seed, FaultRates());
        simulation.makeHoldsWait();
        simulation.addWorker("b");
        const std::size_t failing = simulation.workersEver() - 1;
        simulation.run(3000 + static_cast<std::int64_t>(seed) * 37);
        LongRunningWatch watch(simulation);
        const std::int64_t failsFrom = simulation.now();
        simulation.failStarts(failing, GetParam());
        for (int count = 0; count < 5; ++count) {
            jobs::StepSpec step = stepOf(1, longRunMs);
            step.set_long_running(true);
            step.set_required_label("b");
            watch.add(TaskRef{simulation.submit({step}), 0, 0, 0});
        }
        const std::int64_t soundFrom = failsFrom + GetParam();
        while (simulation.now() < soundFrom + calmMs) {
            simulation.run(50);
            watch.check(failsFrom, soundFrom);
        }
        EXPECT_EQ(watch.lateTasks(failsFrom), std::vector<std::string>()) << "seed " << seed;
        EXPECT_EQ(simulation.ledger().broken, std::vector<std::string>()) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(LengthsMs, FailingWorkerTest,
                         testing::Values(500, 1500, 2100, 3000, 4000, 5900, 6500, 9000, 15000));

} // namespace
} // namespace godwitfall::jobtests
