// The bound on the memory of accepted jobs.
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <malloc.h>

#include <gtest/gtest.h>

#include "groupcommit.h"
#include "jobservice.h"

namespace godwitfall::jobtests {
namespace {

constexpr std::size_t mb = 1 << 20;

/** Returns a submission of like steps. */
jobs::JobSpec specOf(int steps, std::uint32_t tasksOfStep)
{
    jobs::JobSpec spec;
    for (int step = 0; step < steps; ++step) {
        jobs::StepSpec &added = *spec.add_steps();
        added.set_count(tasksOfStep);
        added.set_milli_cores(100);
        added.set_memory_mb(10);
    }
    return spec;
}

/** A store that keeps its replies until they are released. */
class HoldingLog : public JobLog
{
public:
    void append(LogStream, const std::vector<JobRecord> &, const AppendIdentity &,
                std::optional<std::uint64_t>, Done done) override
    {
        this->held.push_back(std::move(done));
        this->release();
    }

    void release()
    {
        while (!this->holds && !this->held.empty()) {
            const Done done = std::move(this->held.back());
            this->held.pop_back();
            AppendReply reply;
            reply.outcome = AppendOutcome::Stored;
            done(reply);
        }
    }

    bool holds = false;

private:
    std::vector<Done> held;
};

class JobMemoryTest : public testing::Test
{
protected:
    JobMemoryTest()
    {
        this->commits.open("p", 1, 1);
        this->service.setViewTime(Instant(0));
        this->service.onDurable = [this](const JobRecord &record, Instant at) {
            this->apply(record, at);
        };
        this->queue.name = "plan";
        this->queue.service = ServiceId("orchard");
    }

    void apply(const JobRecord &record, Instant at)
    {
        Job *job = nullptr;
        this->table.apply(record, at, job);
    }

    void submit(const std::string &id, jobs::JobSpec spec)
    {
        this->service.submit(
            JobId(id), this->queue, std::move(spec), Instant(1), 1, Duration(3000),
            [this, id](const JobServiceReply &reply) { this->replies[id] = reply; });
    }

    void process(std::int64_t at)
    {
        this->commits.process(Instant(at));
        this->commits.process(Instant(at + 1));
    }

    /** Returns the result of the newest submission of the id, or nothing before its outcome. */
    std::optional<JobServiceResult> resultOf(const std::string &id) const
    {
        const auto found = this->replies.find(id);
        return found == this->replies.end() ? std::nullopt : std::optional(found->second.answer);
    }

    void publishEnd(const std::string &id)
    {
        jobs::JobStatus status;
        status.set_state(jobs::COMPLETED);
        this->apply(JobRecord{JobTable::statusKey(JobId(id)), status.SerializeAsString(), 1},
                    Instant(5));
    }

    HoldingLog log;
    Random random{1};
    GroupCommit commits{this->log, LogStream::Jobs, this->random};
    JobTable table;
    JobService service{this->table, this->commits, {}, mb};
    QueueConfig queue;
    std::map<std::string, JobServiceReply> replies;
};

/** More than half of the bound, so that two of them don't fit. */
jobs::JobSpec halfOfBound()
{
    constexpr std::uint32_t tasks = 1500;
    return specOf(1, tasks);
}

// Guards against accepted jobs that take all memory of the machine.
TEST_F(JobMemoryTest, RefusesBeyondTheBound)
{
    this->submit("a", halfOfBound());
    this->process(2);
    ASSERT_EQ(this->resultOf("a"), JobServiceResult::Accepted);
    this->submit("b", halfOfBound());
    this->process(4);
    ASSERT_EQ(this->resultOf("b"), JobServiceResult::Overloaded);
    EXPECT_STREQ(this->replies["b"].reason, "job_memory");
    EXPECT_GT(this->replies["b"].retryAfter, Duration(0));
    EXPECT_EQ(this->table.find(JobId("b")), nullptr);
    this->submit("small", specOf(1, 1));
    this->process(6);
    EXPECT_EQ(this->resultOf("small"), JobServiceResult::Accepted);
    this->submit("a", halfOfBound());
    EXPECT_EQ(this->resultOf("a"), JobServiceResult::Accepted) << "a known id";
}

// Guards against a Retry-After for a job that will never be taken.
TEST_F(JobMemoryTest, AJobBeyondTheWholeBoundIsTooLarge)
{
    this->submit("a", specOf(1, 20000));
    EXPECT_EQ(this->resultOf("a"), JobServiceResult::TooLarge);
    EXPECT_EQ(this->replies["a"].retryAfter, Duration(0));
}

// Guards against many submissions at once that each find the bound kept.
TEST_F(JobMemoryTest, CountsSubmissionsWithoutAnOutcome)
{
    this->log.holds = true;
    this->submit("a", halfOfBound());
    this->process(2);
    this->submit("b", halfOfBound());
    EXPECT_EQ(this->resultOf("b"), JobServiceResult::Overloaded);
    this->submit("a", halfOfBound());
    EXPECT_EQ(this->resultOf("a"), std::nullopt) << "refused though it may become durable";
    this->log.holds = false;
    this->log.release();
    this->process(4);
    this->process(6);
    EXPECT_EQ(this->resultOf("a"), JobServiceResult::Accepted);
}

// Guards against a refusal of an id whose earlier submission may still become durable, and against
// memory that it takes from others forever.
TEST_F(JobMemoryTest, AnUnknownOutcomeCountsForATime)
{
    this->log.holds = true;
    this->submit("a", halfOfBound());
    this->process(2);
    this->process(4000);
    ASSERT_EQ(this->resultOf("a"), JobServiceResult::Unknown);
    this->service.setViewTime(Instant(1));
    this->submit("b", halfOfBound());
    EXPECT_EQ(this->resultOf("b"), JobServiceResult::Overloaded);
    this->log.holds = false;
    this->log.release();
    this->process(4010);
    const Instant later = Instant(4010) + JobService::unknownKept;
    this->service.setViewTime(later);
    this->service.submit(JobId("c"), this->queue, halfOfBound(), later, 1, Duration(3000),
                         [this](const JobServiceReply &reply) { this->replies["c"] = reply; });
    this->process(4011 + JobService::unknownKept.count());
    EXPECT_EQ(this->resultOf("c"), JobServiceResult::Accepted);
}

// Guards against memory that stays counted after jobs have ended or are gone.
TEST_F(JobMemoryTest, EndedAndRemovedJobsReleaseTheirMemory)
{
    this->submit("a", halfOfBound());
    this->process(2);
    const std::size_t open = this->table.estimatedBytes();
    this->publishEnd("a");
    const std::size_t retained = this->table.estimatedBytes();
    EXPECT_LT(retained, open / 100);
    EXPECT_GT(retained, 0U);
    this->submit("b", halfOfBound());
    this->process(6);
    EXPECT_EQ(this->resultOf("b"), JobServiceResult::Accepted);
    this->table.erase(JobId("b"));
    EXPECT_EQ(this->table.estimatedBytes(), retained);
    this->table.clear();
    EXPECT_EQ(this->table.estimatedBytes(), 0U);
}

// Guards against tasks that are in memory and not counted, of an ended job whose progress is read.
TEST_F(JobMemoryTest, TasksOfAnEndedJobCountUntilTheyAreDropped)
{
    this->submit("a", specOf(2, 100));
    this->process(2);
    const std::size_t open = this->table.estimatedBytes();
    this->publishEnd("a");
    jobs::JobProgress progress;
    jobs::StepProgress &step = *progress.add_steps();
    step.mutable_runs()->Add(1);
    this->apply(JobRecord{JobTable::progressKey(JobId("a")), progress.SerializeAsString(), 2},
                Instant(6));
    EXPECT_EQ(this->table.estimatedBytes(), open);
    Job &job = *this->table.find(JobId("a"));
    job.dropTasks();
    this->table.recount(job);
    EXPECT_LT(this->table.estimatedBytes(), open / 2);
}

// Guards against a bound that refuses the largest jobs on the smallest machine though nothing else
// is there.
TEST(JobMemoryBoundTest, TheLargestJobsFitTheSmallestMachine)
{
    constexpr std::size_t boundOfSmallest = 40 * mb; // A quarter of 160 MB.
    constexpr int largest = 20000;
    jobs::JobSpec repeated = specOf(1, 1);
    repeated.set_repeat_count(largest);
    for (const jobs::JobSpec &spec : {specOf(1, largest), specOf(largest, 1), repeated}) {
        EXPECT_LT(Job::estimateBytes(spec), boundOfSmallest) << spec.steps_size() << " steps";
    }
}

struct LoadCase
{
    const char *name;
    int jobs;
    int steps;
    std::uint32_t tasksOfStep;
    bool placed;
};

class JobMemoryEstimateTest : public testing::TestWithParam<LoadCase>
{};

std::size_t allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

// Guards against an estimate that is below the memory that jobs take, or far above it.
TEST_P(JobMemoryEstimateTest, IsNearTheMemoryThatIsAllocated)
{
    const LoadCase &load = GetParam();
    const std::size_t before = allocatedBytes();
    JobTable table;
    for (int number = 0; number < load.jobs; ++number) {
        const JobId id("00000000000" + std::to_string(10000 + number));
        Job *job = nullptr;
        table.apply(JobRecord{JobTable::submissionKey(id),
                              specOf(load.steps, load.tasksOfStep).SerializeAsString(), 0},
                    Instant(1), job);
        for (std::uint32_t step = 0; step < static_cast<std::uint32_t>(load.steps); ++step) {
            job->waitOf(0, step).readySince = Instant(1);
            if (load.placed) {
                for (Task &task : job->stepRun(0, step).tasks) {
                    task.worker = "worker-with-a-long-name-17";
                }
            }
        }
    }
    const double allocated = static_cast<double>(allocatedBytes() - before);
    const double estimated = static_cast<double>(table.estimatedBytes());
    std::cout << "estimated " << estimated << " bytes, allocated " << allocated << ", ratio "
              << estimated / allocated << std::endl;
    EXPECT_GE(estimated, allocated);
    if (load.placed) {
        EXPECT_LE(estimated, 2.0 * allocated);
    }
}

INSTANTIATE_TEST_SUITE_P(Loads, JobMemoryEstimateTest,
                         testing::Values(LoadCase{"SmallJobs", 3000, 1, 1, true},
                                         LoadCase{"ManySteps", 50, 1500, 1, true},
                                         LoadCase{"ManyTasks", 3, 1, 20000, true},
                                         LoadCase{"ManyStepsWaiting", 50, 1500, 1, false}),
                         [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace godwitfall::jobtests
