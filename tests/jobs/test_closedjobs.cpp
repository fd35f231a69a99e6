// Jobs are closed as failed only for what certainly happened to their tasks; see
// docs/incidents/jobs-closed-without-cause.md.
#include <gtest/gtest.h>

#include "coordinatorworld.h"

namespace godwitfall::jobtests {
namespace {

/** What is seen of a start before its worker is lost. */
enum class StartEnd {
    TimedOut,
    SeenAtWork,   ///< The worker took it, listed the run for 500 ms and was silent from then on.
    ClosedAtOnce, ///< The worker took it and closed its connections 10 ms later.
};

/** A coordinator with one job of one task, and workers that are lost under it one after the other.
 * Time is in ms. */
class ClosedJobTest : public ::testing::Test
{
protected:
    static constexpr std::int64_t beginMs = 1000000;

    void submit(bool longRunning)
    {
        this->world.coordinator.begin(1, Instant(beginMs), beginMs, Instant(beginMs));
        this->job = this->world.submit(oneTask(longRunning), beginMs);
    }

    TaskRef ref() const { return TaskRef{this->job, 0, 0, 0}; }
    const Job &found() { return *this->world.table.find(this->job); }
    std::size_t crashes() { return this->found().crashesUnder(this->ref()); }
    /** Returns whether the task is on a worker; a closed job has no tasks any more. */
    bool isPlaced()
    {
        const StepRun *run = this->found().findStepRun(0, 0);
        return run && !run->tasks.front().worker.empty();
    }
    /** Returns the number of the newest run. */
    std::uint32_t run()
    {
        const StepRun *run = this->found().findStepRun(0, 0);
        return run ? run->tasks.front().run : 0;
    }
    jobs::JobState state() { return this->found().state; }

    /** Adds a worker that replies. */
    WorkerId addWorker()
    {
        const WorkerId worker("w" + std::to_string(++this->workers));
        this->world.coordinator.setWorker(entryOf(worker.value()), Instant(this->now));
        this->reply(worker);
        return worker;
    }

    void reply(const WorkerId &worker, const std::vector<TaskRef> &running = {})
    {
        this->world.reply(worker, this->now, this->now - beginMs + 500,
                          this->isPlaced() ? running : std::vector<TaskRef>());
    }

    void advance(std::int64_t milliseconds)
    {
        for (const std::int64_t until = this->now + milliseconds; this->now < until;) {
            this->now += 10;
            this->world.tick(this->now);
            this->world.commitToTable(this->now);
        }
    }

    /** Has the worker reply every 50 ms until a start is sent to it; returns whether one was. */
    bool awaitStart(const WorkerId &worker, std::int64_t longestMs)
    {
        for (const std::int64_t until = this->now + longestMs; this->now < until;) {
            this->reply(worker);
            this->advance(50);
            if (!this->world.orders.starts.empty()) {
                ++this->starts;
                return true;
            }
        }
        return false;
    }

    void answerStart(const WorkerId &worker, OrderOutcome outcome)
    {
        this->world.orders.starts.clear();
        this->world.coordinator.startAnswered(worker, this->ref(), this->run(), Instant(this->now),
                                              outcome);
    }

    /** Adds a worker, and lets another incarnation reply in its place once the task's start was
     * sent there. Returns whether one was. */
    bool loseWorkerUnderStart(StartEnd end, std::int64_t longestMs = 3000)
    {
        const WorkerId worker = this->addWorker();
        if (!this->awaitStart(worker, longestMs)) {
            this->world.coordinator.removeWorker(worker, Instant(this->now));
            return false;
        }
        if (end == StartEnd::TimedOut) {
            this->advance(orderTimeoutMs);
            this->answerStart(worker, OrderOutcome::Unanswered);
            this->advance(800);
        } else {
            this->answerStart(worker, OrderOutcome::Accepted);
            if (end == StartEnd::ClosedAtOnce) {
                this->advance(10);
                this->world.coordinator.connectionClosed(worker, Instant(this->now));
            } else {
                this->advance(500);
                this->reply(worker, {this->ref()});
            }
            this->advance(1400);
        }
        this->world.coordinator.removeWorker(worker, Instant(this->now));
        this->world.coordinator.holdAnswered(worker, Instant(this->now), Instant(this->now),
                                             OrderOutcome::OtherIncarnation, {});
        this->world.orders.starts.clear();
        return true;
    }

    CoordinatorWorld world;
    JobId job{""};
    std::int64_t now = beginMs;
    unsigned workers = 0;
    unsigned starts = 0;
};

// Guards against a job that is closed as failed as workers were replaced to which its starts may
// never have come, as their paths were cut.
TEST_F(ClosedJobTest, UnansweredStartsCloseNoJob)
{
    this->submit(false);
    for (int loss = 0; loss < 4; ++loss) {
        EXPECT_TRUE(this->loseWorkerUnderStart(StartEnd::TimedOut)) << loss;
    }
    EXPECT_NE(this->state(), jobs::FAILED);
}

// Guards against a job that is closed as failed as workers were cut off seconds after they had
// taken its task, and replaced meanwhile: nobody has seen how the run ended.
TEST_F(ClosedJobTest, RunsThatEndUnseenCloseNoJob)
{
    this->submit(false);
    for (int loss = 0; loss < 8; ++loss) {
        this->loseWorkerUnderStart(StartEnd::SeenAtWork, 1000);
    }
    EXPECT_NE(this->state(), jobs::FAILED);
    EXPECT_LE(this->starts, 5U) << "held back, as each of them may be a crash";
}

// Guards against a task that crashes each worker before it replies, and is started on and on as
// none of the crashes is certain.
TEST_F(ClosedJobTest, TasksThatCrashWorkersBeforeTheyReplyAreGivenUp)
{
    this->submit(false);
    for (int loss = 0; loss < 8; ++loss) {
        this->loseWorkerUnderStart(StartEnd::TimedOut, 1000);
    }
    EXPECT_EQ(this->state(), jobs::FAILED);
    EXPECT_LE(this->starts, 5U);
}

// The same of one whose starts are taken; the worker closes its connections as it crashes.
TEST_F(ClosedJobTest, TasksThatCertainlyCrashWorkersAreGivenUp)
{
    this->submit(false);
    for (int loss = 0; loss < 8; ++loss) {
        this->loseWorkerUnderStart(StartEnd::ClosedAtOnce, 1000);
    }
    EXPECT_EQ(this->state(), jobs::FAILED);
    EXPECT_LE(this->starts, 3U);
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
        EXPECT_EQ(this->crashes(), 0U) << loss << ": it has not crashed";
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
    EXPECT_EQ(this->crashes(), 0U);
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
    EXPECT_TRUE(this->awaitStart(worker, 130000)) << "it runs again once workers stay up";
}

INSTANTIATE_TEST_SUITE_P(Ends, LastingJobTest,
                         ::testing::Values(StartEnd::TimedOut, StartEnd::SeenAtWork,
                                           StartEnd::ClosedAtOnce));

} // namespace
} // namespace godwitfall::jobtests
