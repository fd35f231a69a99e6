// Starts on workers whose capacity shrinks while they run.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "coordinatorworld.h"

namespace godwitfall::jobtests {
namespace {

constexpr std::int64_t taskMilliCores = 1000;

class ShrinkingWorkerTest : public ::testing::Test
{
protected:
    ShrinkingWorkerTest()
    {
        this->world.coordinator.begin(1, Instant(1000), 1000, Instant(1000));
        this->setCapacity(2 * taskMilliCores, 1000);
        this->world.reply(this->worker, 1000, 500);
    }

    void setCapacity(std::int64_t milliCores, std::int64_t at)
    {
        WorkerEntry entry = entryOf("w1");
        entry.capacity.milliCores = milliCores;
        this->world.coordinator.setWorker(entry, Instant(at));
    }

    void answerStart(const JobId &job, std::int64_t at, OrderOutcome outcome)
    {
        this->world.coordinator.startAnswered(this->worker, TaskRef{job, 0, 0, 0},
                                              this->world.task(job).run, Instant(at), outcome);
    }

    const WorkerId worker{"w1"};
    CoordinatorWorld world;
};

// Guards against a start that was placed before the worker's capacity shrank and is sent after it.
TEST_F(ShrinkingWorkerTest, SendsNoPlacedStartThatNoLongerFits)
{
    const JobId running = this->world.submit(oneTask(false), 1000);
    this->world.commit(1010);
    this->answerStart(running, 1020, OrderOutcome::Accepted);
    const JobId placed = this->world.submit(oneTask(false), 1030);
    this->world.coordinator.plan(Instant(1040), 1040);
    this->world.coordinator.takeBatch();
    ASSERT_EQ(this->world.task(placed).phase, TaskPhase::Recording);
    this->world.orders.starts.clear();
    this->setCapacity(taskMilliCores, 1050);
    this->world.coordinator.committed(Instant(1060), true);
    EXPECT_TRUE(this->world.orders.starts.empty());
    EXPECT_EQ(this->world.task(placed).phase, TaskPhase::Waiting);
    EXPECT_EQ(this->world.task(running).phase, TaskPhase::Running);
    this->setCapacity(2 * taskMilliCores, 2000);
    this->world.reply(this->worker, 2000, 1500, {TaskRef{running, 0, 0, 0}});
    this->world.commit(2010);
    EXPECT_EQ(this->world.orders.starts.size(), 1U) << "the capacity has grown again";
}

// Guards against a start that is tried again after the worker's capacity has shrunk. A try without
// a reply may be carried out yet, so that its run is stopped.
TEST_F(ShrinkingWorkerTest, TriesNoStartAgainThatNoLongerFits)
{
    const JobId unsent = this->world.submit(oneTask(false), 1000);
    const JobId unanswered = this->world.submit(oneTask(false), 1000);
    this->world.commit(1010);
    ASSERT_EQ(std::exchange(this->world.orders.starts, {}).size(), 2U);
    this->answerStart(unsent, 1020, OrderOutcome::NotSent);
    this->answerStart(unanswered, 1020, OrderOutcome::Unanswered);
    this->setCapacity(taskMilliCores / 2, 1030);
    this->world.tick(1020 + Coordinator::orderRetry.count() + 10);
    EXPECT_TRUE(this->world.orders.starts.empty());
    EXPECT_EQ(this->world.task(unsent).phase, TaskPhase::Waiting);
    EXPECT_EQ(this->world.task(unanswered).phase, TaskPhase::Stopping);
}

// Guards against a start beside a run that a delayed order began: no record places it on the
// worker, but it takes its capacity until it has been stopped.
TEST_F(ShrinkingWorkerTest, RunsThatNoRecordPlacesOnTheWorkerCount)
{
    const JobId stray = this->world.submit(oneTask(false), 1000);
    this->world.commit(1010);
    this->answerStart(stray, 1020, OrderOutcome::Accepted);
    this->setCapacity(taskMilliCores, 1030);
    const TaskRef ref{stray, 0, 0, 0};
    this->world.coordinator.setWorker(entryOf("w2"), Instant(1030));
    // The other worker lists a run of the task beside the one that is placed on the first.
    WorkerEntry small = entryOf("w2");
    small.capacity.milliCores = taskMilliCores;
    this->world.coordinator.setWorker(small, Instant(1040));
    this->world.reply(WorkerId("w2"), 1040, 500, {ref});
    this->world.orders.starts.clear();
    const JobId waiting = this->world.submit(oneTask(false), 1050);
    this->world.commit(1060);
    EXPECT_TRUE(this->world.orders.starts.empty());
    this->world.reply(WorkerId("w2"), 1200, 700);
    this->world.commit(1210);
    EXPECT_EQ(this->world.orders.starts.size(), 1U) << "the run has been stopped";
    EXPECT_EQ(this->world.task(waiting).worker, "w2");
}

// Workers that don't guard their capacity, which shrinks and grows while coordinators are lost and
// orders are lost or delayed: no start exceeds it, and all jobs are completed.
RC_GTEST_PROP(ShrinkingWorkersProperty, NoStartExceedsTheCapacity, ())
{
    constexpr std::size_t workers = 4;
    constexpr std::int64_t fullMilliCores = 6000;
    FaultRates rates;
    rates.orderLost = *rc::gen::inRange(0, 20);
    rates.replyLost = *rc::gen::inRange(0, 20);
    rates.orderDelayed = *rc::gen::inRange(0, 10);
    JobSimulation simulation(*rc::gen::inRange<std::uint64_t>(0, 100000), rates);
    simulation.trustCoordinator();
    simulation.run(1500);
    const int losses = *rc::gen::inRange(0, 3);
    for (int round = 0; round < 40; ++round) {
        simulation.submit({stepOf(*rc::gen::inRange<std::uint32_t>(1, 8),
                                  *rc::gen::inRange<std::uint32_t>(300, 3000))});
        if (*rc::gen::inRange(0, 2) == 0) {
            simulation.resizeWorker(*rc::gen::inRange<std::size_t>(0, workers),
                                    *rc::gen::inRange<std::int64_t>(0, 7) * taskMilliCores);
        }
        if (losses > 0 && round % (40 / losses) == 7) {
            simulation.killOwner(1000);
        }
        simulation.run(*rc::gen::inRange(100, 900));
    }
    simulation.heal();
    for (std::size_t worker = 0; worker < workers; ++worker) {
        simulation.resizeWorker(worker, fullMilliCores);
    }
    simulation.run(90000);
    for (const std::string &violation : simulation.ledger().broken) {
        RC_LOG() << violation << std::endl;
    }
    RC_ASSERT(simulation.ledger().broken.empty());
    for (const JobId &id : simulation.accepted()) {
        RC_ASSERT(simulation.shown(id) == jobs::COMPLETED);
    }
}

} // namespace
} // namespace godwitfall::jobtests
