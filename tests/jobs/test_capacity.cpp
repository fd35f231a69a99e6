// Starts on workers whose capacity shrinks while they run.
#include <gtest/gtest.h>

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

} // namespace
} // namespace godwitfall::jobtests
