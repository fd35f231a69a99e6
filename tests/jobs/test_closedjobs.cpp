// Jobs are closed as failed only for what certainly happened to their tasks; see
// docs/incidents/jobs-closed-without-cause.md.
#include <gtest/gtest.h>

#include "lostworkerfixture.h"

namespace godwitfall::jobtests {
namespace {

/** What is seen of a start before its worker is lost. */
enum class StartEnd {
    TimedOut,
    SeenAtWork,        ///< The worker took it, listed the run and was silent from then on.
    ClosedBeforeReply, ///< The worker closed its connections 10 ms later, without a reply.
    ClosedOnceTaken,   ///< The worker took it, and closed its connections 10 ms later.
};

class ClosedJobTest : public LostWorkerTest
{
protected:
    /** Adds a worker, and lets another incarnation reply in its place once the task's start was
     * sent there. Returns whether one was. */
    bool loseWorkerUnderStart(StartEnd end, std::int64_t longestMs = 3000)
    {
        const WorkerId worker = this->addWorker();
        if (!this->awaitStart(worker, longestMs)) {
            this->world.coordinator.removeWorker(worker, Instant(this->now));
            return false;
        }
        const bool taken = end == StartEnd::SeenAtWork || end == StartEnd::ClosedOnceTaken;
        if (taken) {
            this->answerStart(worker, OrderOutcome::Accepted);
        }
        if (end == StartEnd::SeenAtWork) {
            this->advance(500);
            this->reply(worker, {this->ref()});
        }
        if (end == StartEnd::ClosedOnceTaken || end == StartEnd::ClosedBeforeReply) {
            this->advance(10);
            this->endConnections(worker);
        }
        if (!taken) {
            this->advance(end == StartEnd::TimedOut ? orderTimeoutMs : 0);
            this->answerStart(worker, OrderOutcome::Unanswered);
        }
        this->advance(1400);
        this->answerOther(worker);
        return true;
    }

    /** Loses workers until the task is not started for a second. */
    void loseWorkers(StartEnd end)
    {
        constexpr int more = 3;
        for (unsigned loss = 0; loss < mostStarts + more; ++loss) {
            this->loseWorkerUnderStart(end, 1000);
        }
    }
};

// Guards against a job that is closed as failed as workers were replaced to which its starts may
// never have come, as their paths were cut.
TEST_F(ClosedJobTest, UnansweredStartsCloseNoJob)
{
    this->submit(false);
    this->loseWorkers(StartEnd::TimedOut);
    EXPECT_NE(this->state(), jobs::FAILED) << this->evidence();
    EXPECT_LE(this->starts, mostStarts) << "held back, as each of them may be a crash";
}

// Guards against a job that is closed as failed as workers were cut off after they had taken its
// task, and replaced meanwhile: nobody has seen how the run ended.
TEST_F(ClosedJobTest, RunsThatEndUnseenCloseNoJob)
{
    this->submit(false);
    this->loseWorkers(StartEnd::SeenAtWork);
    EXPECT_NE(this->state(), jobs::FAILED) << this->evidence();
    EXPECT_LE(this->starts, mostStarts) << "held back, as each of them may be a crash";
}

// Guards against a task that crashes each worker before it replies, and is started on and on as
// none of the starts is known to have begun.
TEST_F(ClosedJobTest, TasksThatCrashWorkersBeforeTheyReplyAreGivenUp)
{
    this->submit(false);
    this->loseWorkers(StartEnd::ClosedBeforeReply);
    EXPECT_EQ(this->state(), jobs::FAILED) << this->evidence();
    EXPECT_LE(this->starts, mostStarts);
}

// The same of one whose starts are taken.
TEST_F(ClosedJobTest, TasksThatCertainlyCrashWorkersAreGivenUp)
{
    this->submit(false);
    this->loseWorkers(StartEnd::ClosedOnceTaken);
    EXPECT_EQ(this->state(), jobs::FAILED) << this->evidence();
    EXPECT_LE(this->starts, 3U);
}

// Guards against a failed job of which no log but that of the coordinator tells why it was closed:
// what followers and a successor read has to say so.
TEST_F(ClosedJobTest, RecordsTellWhyAJobFailed)
{
    this->submit(false);
    this->loseWorkers(StartEnd::ClosedOnceTaken);
    ASSERT_EQ(this->state(), jobs::FAILED) << this->evidence();
    ASSERT_TRUE(this->found().failure);
    ASSERT_FALSE(this->recorded.empty());
    const std::vector<JobRecord> statuses = this->world.coordinator.takeStatuses();
    ASSERT_EQ(statuses.size(), 1U);
    for (const JobRecord &read : {statuses.front(), this->recorded.front()}) {
        JobTable follower;
        Job *job = nullptr;
        follower.apply(
            record(JobTable::submissionKey(this->job), oneTask(false).SerializeAsString(), 0),
            Instant(1), job);
        follower.apply(record(read.key, read.value, 1), Instant(1), job);
        ASSERT_TRUE(job && job->failure) << read.key;
        EXPECT_EQ(job->failure->reason, JobEndReason::WorkersCrashed);
        EXPECT_EQ(job->failure->task, this->ref());
        ASSERT_EQ(job->failure->crashedRuns.size(), Coordinator::crashesToGiveUpAlone);
        for (const CrashedRun &crash : job->failure->crashedRuns) {
            EXPECT_EQ(crash.evidence, jobs::CERTAIN);
            EXPECT_EQ(crash.epoch, 1U);
            EXPECT_FALSE(crash.worker.empty());
        }
    }
}

// Guards against an instance that tells nothing of the end of a job that another one decided, or
// tells it of each record.
TEST(ClosedJobSimulationTest, FollowersAndSuccessorsTellOfTheEnd)
{
    JobSimulation simulation(1, FaultRates());
    simulation.fails = [](const TaskRef &, std::uint32_t) {
        return true;
    };
    simulation.run(1500);
    const JobId id = simulation.submit({stepOf(1, 100)});
    simulation.run(4000);
    ASSERT_EQ(simulation.shown(id), jobs::FAILED);
    EXPECT_EQ(simulation.endsRead(id), 2U) << "the third has decided it";
    EXPECT_EQ(simulation.adoptions(id), 0U);
    simulation.killOwner();
    simulation.run(8000);
    EXPECT_EQ(simulation.ownersNow(), 1U);
    EXPECT_EQ(simulation.endsRead(id), 3U) << "one of them has started again";
    EXPECT_EQ(simulation.adoptions(id), 1U);
}

// Guards against a job that is closed as failed as its task was on workers that were cut off,
// replied again later as the same incarnation, and had not crashed at all.
TEST_F(ClosedJobTest, WorkersCutOffUntilTheirLeasesLapseCloseNoJob)
{
    this->submit(false);
    for (int loss = 0; loss < 5; ++loss) {
        const WorkerId worker = this->addWorker();
        EXPECT_TRUE(this->awaitStart(worker, 3000)) << loss;
        this->answerStart(worker, OrderOutcome::Accepted);
        this->reply(worker, {this->ref()});
        this->advance(9000);
        EXPECT_FALSE(this->isPlaced()) << loss;
        this->reply(worker);
        this->world.coordinator.removeWorker(worker, Instant(this->now));
        EXPECT_EQ(this->evidence(), "") << loss << ": it has not crashed";
    }
    EXPECT_NE(this->state(), jobs::FAILED);
}

// Guards against tasks that count as crashed under as a new coordinator has not heard of their
// workers yet, when the leases of the former one have lapsed before it begins.
TEST_F(ClosedJobTest, ASuccessorCountsNoWorkerThatItHasNotAsked)
{
    this->job = this->world.submit(oneTask(false), beginMs);
    this->world.placedBefore(this->job, WorkerId("w1"), true, beginMs, beginMs - 6000);
    this->world.coordinator.begin(2, Instant(beginMs), beginMs, Instant(beginMs - 100));
    this->advance(100);
    EXPECT_FALSE(this->isPlaced());
    EXPECT_EQ(this->evidence(), "");
}

class LastingJobTest : public ClosedJobTest, public ::testing::WithParamInterface<StartEnd>
{};

// Guards against a task that lasts and runs no more, as its job was closed after crashes.
TEST_P(LastingJobTest, IsNeverClosed)
{
    this->submit(true);
    for (int loss = 0; loss < 5; ++loss) {
        this->loseWorkerUnderStart(GetParam());
    }
    EXPECT_NE(this->state(), jobs::FAILED);
    const WorkerId worker = this->addWorker();
    EXPECT_TRUE(this->awaitStart(worker, 5000)) << "it runs again soon once workers stay up";
}

INSTANTIATE_TEST_SUITE_P(Ends, LastingJobTest,
                         ::testing::Values(StartEnd::TimedOut, StartEnd::SeenAtWork,
                                           StartEnd::ClosedBeforeReply, StartEnd::ClosedOnceTaken));

} // namespace
} // namespace godwitfall::jobtests
