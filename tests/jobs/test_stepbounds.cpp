// No start puts a task on a worker of another service, without the label that its step requires, or
// beside more tasks of its step than the step allows there.
#include <algorithm>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "coordinatorworld.h"

namespace godwitfall::jobtests {
namespace {

struct DisabledCase
{
    const char *name;
    DisabledMechanism disabled;
    bool detected;
};

class RouteCheckTest : public testing::TestWithParam<DisabledCase>
{};

// Guards against a check that finds nothing: each condition that nodes are not told of is broken.
TEST_P(RouteCheckTest, NoticesStartsAgainstConditions)
{
    JobSimulation simulation(1, FaultRates(), GetParam().disabled);
    simulation.changeServiceOf(0, ServiceId("vineyard"));
    simulation.run(3000);
    jobs::StepSpec step = stepOf(12, 500);
    step.set_max_per_worker(2);
    const JobId id = simulation.submit({step});
    simulation.run(8000);
    EXPECT_EQ(!simulation.ledger().broken.empty(), GetParam().detected);
    EXPECT_EQ(simulation.shown(id), jobs::COMPLETED);
}

INSTANTIATE_TEST_SUITE_P(
    Mechanisms, RouteCheckTest,
    testing::Values(DisabledCase{"AllInForce", DisabledMechanism::None, false},
                    DisabledCase{"NoStepConditions", DisabledMechanism::StepConditions, true},
                    DisabledCase{"NoServices", DisabledMechanism::ServiceOfWorkers, true}),
    [](const auto &info) { return std::string(info.param.name); });

/** Two tasks, of which one may run on a worker, and a former coordinator's record of the first. */
class BoundedStepTest : public testing::Test
{
protected:
    /** Takes over after so many runs of the first task, which may be done. */
    void begin(std::uint32_t runs, bool done)
    {
        jobs::JobSpec spec = oneTask(false);
        spec.mutable_steps(0)->set_count(2);
        spec.mutable_steps(0)->set_max_per_worker(1);
        this->job = this->world.submit(spec, 1000);
        jobs::JobProgress progress;
        progress.set_state(jobs::RUNNING);
        progress.add_steps()->add_runs(runs);
        progress.mutable_steps(0)->add_runs(0);
        progress.mutable_steps(0)->set_done(done ? std::string(1, '\x01') : std::string());
        Job *found = nullptr;
        this->world.table.apply(record(JobTable::progressKey(this->job),
                                       progress.SerializeAsString(), ++this->world.offset),
                                Instant(1000), found);
        this->world.coordinator.begin(2, Instant(1000), 1000, Instant(1000));
    }

    void list(const WorkerId &worker, bool draining, std::int64_t at)
    {
        WorkerEntry entry = entryOf(worker.value());
        entry.draining = draining;
        this->world.coordinator.setWorker(entry, Instant(at));
    }

    void report(const WorkerId &worker, std::int64_t at, const std::vector<RunningTask> &running,
                const std::vector<EndedTask> &ended = {})
    {
        WorkerReport report;
        report.clockMs = at;
        report.running = running;
        report.ended = ended;
        this->world.coordinator.holdAnswered(worker, Instant(at - 5), Instant(at),
                                             OrderOutcome::Accepted, report);
    }

    TaskRef ref(std::uint32_t index) const { return TaskRef{this->job, 0, 0, index}; }
    Task &task(std::uint32_t index)
    {
        return *this->world.table.find(this->job)->task(this->ref(index));
    }

    /** Returns the starts of the task since the last call. */
    std::size_t startsOf(std::uint32_t index)
    {
        std::size_t count = 0;
        for (const StartOrder &order : std::exchange(this->world.orders.starts, {})) {
            count += order.task.index == index ? 1 : 0;
        }
        return count;
    }

    /** Returns whether a stop of the first task's run was sent. */
    bool stopSent(std::uint32_t run) const
    {
        return std::any_of(
            this->world.orders.stops.begin(), this->world.orders.stops.end(),
            [&](const StopOrder &order) { return order.task == this->ref(0) && order.run == run; });
    }

    void answerStart(std::uint32_t index, std::int64_t at, OrderOutcome outcome)
    {
        this->world.coordinator.startAnswered(this->worker, this->ref(index), this->task(index).run,
                                              Instant(at), outcome);
    }

    const WorkerId worker{"w1"};
    const WorkerId formerWorker{"w2"};
    JobId job{"0"};
    CoordinatorWorld world;
};

TEST_F(BoundedStepTest, ReportsWhatIsKnownAsAStartIsSent)
{
    this->begin(1, false);
    this->list(this->worker, false, 1010);
    this->report(this->worker, 1020, {});
    this->world.commit(1030);
    ASSERT_EQ(this->world.host.boundedStarts.size(), 1U);
    const BoundedStart &start = this->world.host.boundedStarts.front();
    EXPECT_EQ(start.task, this->ref(0));
    EXPECT_EQ(start.run, 2U);
    EXPECT_EQ(start.tries, 1U);
    EXPECT_EQ(start.most, 1U);
    EXPECT_EQ(start.placed, 1U);
    EXPECT_EQ(start.orphans, 0U);
    EXPECT_EQ(start.sinceReport, Duration(10));
}

TEST_F(BoundedStepTest, ReportsARunWhoseTaskIsDoneByAnEarlierRun)
{
    this->begin(1, false);
    this->list(this->worker, false, 1010);
    this->report(this->worker, 1020, {});
    this->world.commit(1030);
    this->list(this->formerWorker, true, 1060);
    this->report(this->formerWorker, 1070, {}, {EndedTask{1, this->ref(0), 1, RunEnd::Done, {}}});
    ASSERT_EQ(this->world.host.supersededRuns.size(), 1U);
    EXPECT_EQ(this->world.host.supersededRuns.front(), std::pair(this->ref(0), 2U));
}

TEST_F(BoundedStepTest, ReportsAnExceededBoundOnceForAsLongAsItIs)
{
    this->begin(1, false);
    this->list(this->worker, false, 1010);
    const std::vector<RunningTask> both = {{this->ref(0), 1, {}, 10, 0},
                                           {this->ref(1), 1, {}, 10, 0}};
    this->report(this->worker, 1020, both);
    this->report(this->worker, 1050, both);
    EXPECT_EQ(this->world.host.exceededBounds.size(), 1U);
    this->report(this->worker, 1080, {both.front()});
    this->report(this->worker, 1110, both);
    EXPECT_EQ(this->world.host.exceededBounds.size(), 2U);
}

} // namespace
} // namespace godwitfall::jobtests
