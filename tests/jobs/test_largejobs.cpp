// Jobs whose progress does not fit into one record of the store.
#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "coordinatorworld.h"
#include "groupcommit.h"
#include "jobservice.h"

namespace godwitfall::jobtests {
namespace {

/** Tasks of the largest job that is accepted. */
constexpr std::uint32_t largestCount = 20000;
/** From the end of the traffic until every job that can run has to; set by the platform. */
constexpr std::int64_t finishMs = 14000;

jobs::StepSpec smallTasks(std::uint32_t count)
{
    // So long that all tasks of a job run at the same time.
    jobs::StepSpec step = stepOf(count, 8000);
    step.set_memory_mb(1);
    return step;
}

struct LargeJobCase
{
    const char *name;
    std::uint32_t count;
    void (*inject)(JobSimulation &);
};

class LargeJobTest : public testing::TestWithParam<LargeJobCase>
{};

// Guards against a job whose record is larger than the store takes, behind which nothing of any job
// starts any more.
TEST_P(LargeJobTest, HoldsUpNoOtherJob)
{
    JobSimulation simulation(11, FaultRates());
    simulation.makeHoldsWait();
    for (std::size_t worker = 0; worker < simulation.workersEver(); ++worker) {
        simulation.resizeWorker(worker, 6000000);
    }
    simulation.run(2000);
    const JobId large = simulation.submit({smallTasks(GetParam().count)});
    std::vector<JobId> small;
    for (int count = 0; count < 8; ++count) {
        simulation.run(500);
        small.push_back(simulation.submit({stepOf(4, 300)}));
        if (count == 1) {
            GetParam().inject(simulation);
        }
    }
    simulation.run(finishMs);
    for (const JobId &id : small) {
        EXPECT_EQ(simulation.shown(id), jobs::COMPLETED) << id.value();
    }
    simulation.run(20000);
    EXPECT_EQ(simulation.shown(large), jobs::COMPLETED);
    EXPECT_EQ(simulation.ledger().broken, std::vector<std::string>());
    EXPECT_GE(simulation.ledger().done, GetParam().count);
}

INSTANTIATE_TEST_SUITE_P(Jobs, LargeJobTest,
                         testing::Values(LargeJobCase{"Calm", 16000,
                                                      [](JobSimulation &) {
                                                      }},
                                         LargeJobCase{"OwnerKilled", 16000,
                                                      [](JobSimulation &simulation) {
                                                          simulation.killOwner();
                                                      }},
                                         LargeJobCase{"OwnerFrozen", 16000,
                                                      [](JobSimulation &simulation) {
                                                          simulation.freezeOwner(5000);
                                                      }},
                                         LargeJobCase{"Largest", largestCount,
                                                      [](JobSimulation &) {
                                                      }}),
                         [](const auto &info) { return std::string(info.param.name); });

jobs::JobSpec specOf(const std::vector<jobs::StepSpec> &steps, std::uint32_t repeats = 0)
{
    jobs::JobSpec spec = oneTask(false);
    spec.clear_steps();
    for (const jobs::StepSpec &step : steps) {
        *spec.add_steps() = step;
    }
    spec.set_repeat_count(repeats);
    return spec;
}

/** Returns the newest record of each key, in the order of the keys. */
std::vector<JobRecord> newestOf(const std::vector<JobRecord> &log)
{
    std::map<std::string, JobRecord> newest;
    std::uint64_t offset = 1;
    for (JobRecord entry : log) {
        entry.offset = offset++;
        newest[entry.key] = entry;
    }
    std::vector<JobRecord> result;
    for (auto &[key, entry] : newest) {
        if (!entry.value.empty()) {
            result.push_back(std::move(entry));
        }
    }
    return result;
}

/** What a successor knows of a task. */
std::string viewOf(const Job &job, std::uint32_t occurrence, std::uint32_t step,
                   std::uint32_t index)
{
    const StepRun *run = job.findStepRun(occurrence, step);
    if (!run) {
        return "untouched";
    }
    const Task &task = run->tasks[index];
    return std::to_string(static_cast<int>(task.phase)) + " " + task.worker + " " +
           std::to_string(task.run);
}

struct Layout
{
    const char *name;
    std::vector<jobs::StepSpec> steps;
    std::uint32_t repeats;
};

class PartsTest : public testing::TestWithParam<Layout>
{};

// Guards against a task that no part holds, or two: every task is recovered as it was recorded.
TEST_P(PartsTest, EveryTaskIsRecoveredFromItsPart)
{
    const jobs::JobSpec spec = specOf(GetParam().steps, GetParam().repeats);
    Job source(jobId, spec);
    ASSERT_TRUE(source.inParts());
    std::uint32_t number = 0;
    std::uint32_t parts = 0;
    for (std::uint32_t occurrence = 0; occurrence < source.occurrences(); ++occurrence) {
        for (int step = 0; step < spec.steps_size(); ++step) {
            StepRun &run = source.stepRun(occurrence, static_cast<std::uint32_t>(step));
            for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
                Task &task = run.tasks[index];
                task.run = ++number % 7 + 1;
                task.phase = number % 3 == 0 ? TaskPhase::Done : TaskPhase::Unconfirmed;
                run.done += number % 3 == 0 ? 1 : 0;
                task.worker = number % 3 == 0 ? "" : "w" + std::to_string(number % 11);
                parts = std::max(parts,
                                 source.partOf(TaskRef{jobId, occurrence,
                                                       static_cast<std::uint32_t>(step), index}) +
                                     1);
            }
        }
    }
    JobTable table;
    Job *job = nullptr;
    std::uint64_t offset = 0;
    const auto apply = [&](const std::string &key, const std::string &value) {
        return table.apply(record(key, value, ++offset), Instant(1), job);
    };
    // Parts may be read before their job.
    for (std::uint32_t part = 0; part < parts; ++part) {
        const std::string value = source.toPartProgress(part).SerializeAsString();
        EXPECT_LT(value.size(), 16384U);
        apply(JobTable::partKey(jobId, part), value);
    }
    apply(JobTable::progressKey(jobId), source.toSummary().SerializeAsString());
    EXPECT_EQ(apply(JobTable::submissionKey(jobId), spec.SerializeAsString()),
              JobTable::Change::Submitted);
    ASSERT_NE(job, nullptr);
    // A part that is read once more replaces what was known of its tasks.
    apply(JobTable::partKey(jobId, 0), source.toPartProgress(0).SerializeAsString());
    for (const auto &[key, run] : source.stepRuns()) {
        const StepRun *back = job->findStepRun(run.occurrence, run.step);
        ASSERT_NE(back, nullptr);
        EXPECT_EQ(back->done, run.done);
        for (std::uint32_t index = 0; index < run.tasks.size(); ++index) {
            ASSERT_EQ(viewOf(*job, run.occurrence, run.step, index),
                      viewOf(source, run.occurrence, run.step, index));
        }
    }
}

INSTANTIATE_TEST_SUITE_P(
    Layouts, PartsTest,
    testing::Values(Layout{"OneStep", {smallTasks(1000)}, 0},
                    Layout{"Steps", {smallTasks(63), smallTasks(1), smallTasks(600)}, 0},
                    Layout{"ManySteps", std::vector<jobs::StepSpec>(200, smallTasks(3)), 0},
                    Layout{"Occurrences", {smallTasks(5), smallTasks(8)}, 50},
                    Layout{"SingleTasks", {smallTasks(1)}, 700}),
    [](const auto &info) { return std::string(info.param.name); });

/** A coordinator that has placed all of a job in parts on one large worker. */
struct PlacedLargeJob
{
    explicit PlacedLargeJob(std::uint32_t count)
    {
        this->world.coordinator.begin(1, Instant(1000), 1000, Instant(1000));
        WorkerEntry entry = entryOf("w1");
        entry.capacity.milliCores = 100000000;
        this->world.coordinator.setWorker(entry, Instant(1000));
        this->world.reply(lostWorker, 1000, 100);
        this->id = this->world.submit(specOf({smallTasks(count)}), 1000);
        this->commit(1010);
    }

    void commit(std::int64_t at)
    {
        this->world.commitToTable(at);
        this->log.insert(this->log.end(), this->world.written.begin(), this->world.written.end());
    }

    CoordinatorWorld world;
    JobId id{"0000000000000000"};
    std::vector<JobRecord> log;
};

// Guards against records that grow with the job: a change of one task writes its part only.
TEST(LargeJobRecordsTest, OneChangeWritesOnePart)
{
    PlacedLargeJob given(600);
    EXPECT_EQ(given.log.size(), 600 / Job::partTasks + 2);
    for (const JobRecord &entry : given.log) {
        EXPECT_LT(entry.value.size(), 8192U) << entry.key;
    }
    given.world.coordinator.startAnswered(lostWorker, TaskRef{given.id, 0, 0, 70}, 1, Instant(1020),
                                          OrderOutcome::NoCapacity);
    given.world.written = given.world.coordinator.takeBatch();
    ASSERT_EQ(given.world.written.size(), 1U);
    EXPECT_EQ(given.world.written[0].key, JobTable::partKey(given.id, 1));
}

// Guards against a successor that takes a placed task for one that was never placed: whatever
// number of the records of a batch is stored, no start of the batch has been sent, and what was
// recorded before is there.
TEST(LargeJobRecordsTest, SuccessorReadsAnyPrefixOfABatch)
{
    PlacedLargeJob given(600);
    const std::vector<JobRecord> first = given.log;
    for (std::uint32_t index = 0; index < 600; index += 5) {
        given.world.coordinator.startAnswered(lostWorker, TaskRef{given.id, 0, 0, index}, 1,
                                              Instant(1020), OrderOutcome::NoCapacity);
    }
    const std::vector<JobRecord> second = given.world.coordinator.takeBatch();
    for (std::size_t stored = 0; stored <= second.size(); ++stored) {
        std::vector<JobRecord> log = first;
        log.insert(log.end(), second.begin(), second.begin() + static_cast<std::ptrdiff_t>(stored));
        CoordinatorWorld successor;
        const JobId id = successor.submit(specOf({smallTasks(600)}), 2000);
        Job *job = nullptr;
        for (const JobRecord &entry : newestOf(log)) {
            successor.table.apply(entry, Instant(2000), job);
        }
        ASSERT_EQ(id, given.id);
        for (std::uint32_t index = 0; index < 600; ++index) {
            const Task &task = *successor.table.find(id)->task(TaskRef{id, 0, 0, index});
            EXPECT_EQ(task.run, 1U) << index;
            EXPECT_TRUE(!task.worker.empty() || index % 5 == 0) << index;
        }
    }
}

/** Has all tasks end as done, in two reports; the last one closes the job. */
void finishAll(PlacedLargeJob &given, std::uint32_t count)
{
    for (std::uint32_t index = 0; index < count; ++index) {
        given.world.coordinator.startAnswered(lostWorker, TaskRef{given.id, 0, 0, index}, 1,
                                              Instant(1020), OrderOutcome::Accepted);
    }
    for (const auto &[from, to] : {std::pair(0U, count - 100), std::pair(count - 100, count)}) {
        WorkerReport report;
        report.clockMs = 200;
        for (std::uint32_t index = 0; index < count; ++index) {
            const TaskRef ref{given.id, 0, 0, index};
            if (index >= from && index < to) {
                report.ended.push_back(EndedTask{index + 1, ref, 1, RunEnd::Done, {}});
            } else if (index >= to) {
                report.running.push_back(RunningTask{ref, 1, {}, 10, 0});
            }
        }
        given.world.coordinator.holdAnswered(lostWorker, Instant(1000 + to), Instant(1000 + to),
                                             OrderOutcome::Accepted, report);
        if (to < count) {
            given.commit(1000 + to);
        }
    }
}

// Guards against parts that the store keeps after their job, as nobody knows of them any more.
TEST(LargeJobRecordsTest, PartsAreRemovedWithTheirJob)
{
    constexpr std::uint32_t count = 600;
    PlacedLargeJob given(count);
    finishAll(given, count);
    EXPECT_EQ(given.world.table.find(given.id)->state, jobs::COMPLETED);
    given.commit(2000);
    EXPECT_TRUE(given.world.coordinator.wantsCommit());
    given.commit(2010);
    const std::vector<JobRecord> left = newestOf(given.log);
    ASSERT_EQ(left.size(), 1U);
    EXPECT_EQ(left[0].key, JobTable::progressKey(given.id));
}

// Guards against tasks that run again after their job: whatever number of the records of the
// closing batch is stored, the job is closed or all its ends are known.
TEST(LargeJobRecordsTest, SuccessorReadsAnyPrefixOfTheClosingBatch)
{
    constexpr std::uint32_t count = 600;
    PlacedLargeJob given(count);
    finishAll(given, count);
    const std::vector<JobRecord> closing = given.world.coordinator.takeBatch();
    for (std::size_t stored = 0; stored <= closing.size(); ++stored) {
        std::vector<JobRecord> log = given.log;
        log.insert(log.end(), closing.begin(),
                   closing.begin() + static_cast<std::ptrdiff_t>(stored));
        CoordinatorWorld successor;
        const JobId id = successor.submit(specOf({smallTasks(count)}), 3000);
        Job *job = nullptr;
        for (const JobRecord &entry : newestOf(log)) {
            successor.table.apply(entry, Instant(3000), job);
        }
        job = successor.table.find(id);
        const StepRun *run = job->findStepRun(0, 0);
        EXPECT_TRUE(job->closed() || (run && run->done == count - 100)) << stored;
        EXPECT_TRUE(job->closed() || std::all_of(run->tasks.begin(), run->tasks.end(),
                                                 [](const Task &task) {
                                                     return task.phase == TaskPhase::Done ||
                                                            !task.worker.empty();
                                                 }))
            << stored;
    }
}

// Guards against a roll-out that loses placements: an earlier version has written one record of all
// tasks, and the parts that follow it may not all be stored.
TEST(LargeJobRecordsTest, RecordOfAnEarlierVersionCountsUntilItsPartsAreStored)
{
    PlacedLargeJob given(600);
    jobs::JobProgress whole = given.world.table.find(given.id)->toProgress();
    const std::string wholeValue = whole.SerializeAsString();
    CoordinatorWorld upgraded;
    const JobId id = upgraded.submit(specOf({smallTasks(600)}), 2000);
    Job *job = nullptr;
    upgraded.table.apply(record(JobTable::progressKey(id), wholeValue, 1), Instant(2000), job);
    upgraded.coordinator.begin(2, Instant(2000), 2000, Instant(9000));
    const std::vector<JobRecord> parts = upgraded.coordinator.takeBatch();
    ASSERT_EQ(parts.size(), 600 / Job::partTasks + 2);
    EXPECT_EQ(parts.back().key, JobTable::progressKey(id));
    for (std::size_t stored = 0; stored <= parts.size(); ++stored) {
        std::vector<JobRecord> log = {record(JobTable::progressKey(id), wholeValue, 1)};
        log.insert(log.end(), parts.begin(), parts.begin() + static_cast<std::ptrdiff_t>(stored));
        CoordinatorWorld successor;
        successor.submit(specOf({smallTasks(600)}), 3000);
        for (const JobRecord &entry : newestOf(log)) {
            successor.table.apply(entry, Instant(3000), job);
        }
        const StepRun *run = successor.table.find(id)->findStepRun(0, 0);
        ASSERT_NE(run, nullptr) << stored;
        EXPECT_TRUE(std::all_of(run->tasks.begin(), run->tasks.end(), [](const Task &task) {
            return task.worker == "w1" && task.run == 1;
        })) << stored;
    }
}

// Guards against a start for every task of a large job at once, which takes all descriptors.
TEST(LargeJobRecordsTest, OpenOrdersAreBounded)
{
    PlacedLargeJob given(largestCount);
    EXPECT_LE(given.world.orders.starts.size(), Coordinator::ordersPerWorker);
    std::size_t recorded = 0;
    for (std::uint32_t index = 0; index < largestCount; ++index) {
        recorded += given.world.table.find(given.id)->task(TaskRef{given.id, 0, 0, index})->run;
    }
    EXPECT_LE(recorded, WorkerBounds().openStarts);
    std::size_t answered = 0;
    for (std::int64_t at = 1020; at < 60000 && answered < largestCount; at += 10) {
        for (const StartOrder &order : std::exchange(given.world.orders.starts, {})) {
            given.world.coordinator.startAnswered(lostWorker, order.task, order.run, Instant(at),
                                                  OrderOutcome::Accepted);
            ++answered;
        }
        given.world.orders.holds.clear();
        WorkerReport report;
        report.clockMs = at;
        given.world.coordinator.tick(Instant(at), at, true);
        given.commit(at);
        if (at % 1000 == 0) {
            for (std::uint32_t index = 0; index < largestCount; ++index) {
                const Task &task =
                    *given.world.table.find(given.id)->task(TaskRef{given.id, 0, 0, index});
                if (task.phase == TaskPhase::Running) {
                    report.running.push_back(
                        RunningTask{TaskRef{given.id, 0, 0, index}, task.run, {}, 10, 0});
                }
            }
            given.world.coordinator.holdAnswered(lostWorker, Instant(at), Instant(at),
                                                 OrderOutcome::Accepted, report);
        }
    }
    EXPECT_EQ(answered, largestCount);
}

// Guards against starts of a small job that wait until all of a large job have been sent.
TEST(LargeJobRecordsTest, OpenStartsGoByPriorityAndAge)
{
    PlacedLargeJob given(600);
    JobConfig config;
    QueueConfig queue;
    queue.name = "bulk";
    queue.service = ServiceId("orchard");
    queue.priority = 2;
    config.queues.push_back(queue);
    queue.name = "plan";
    queue.priority = 0;
    config.queues.push_back(queue);
    given.world.coordinator.setConfig(config);
    const auto submit = [&](const char *name) {
        jobs::JobSpec spec = specOf({smallTasks(1)});
        spec.set_queue(name);
        return given.world.submit(spec, 1020);
    };
    const JobId late = submit("bulk");
    const JobId quick = submit("plan");
    given.commit(1020);
    std::vector<JobId> order;
    for (std::int64_t at = 1030; at < 2000 && !given.world.orders.starts.empty(); at += 10) {
        for (const StartOrder &start : std::exchange(given.world.orders.starts, {})) {
            if (start.task.job == late || start.task.job == quick) {
                order.push_back(start.task.job);
            }
            given.world.coordinator.startAnswered(lostWorker, start.task, start.run, Instant(at),
                                                  OrderOutcome::Accepted);
        }
        given.world.tick(at);
    }
    EXPECT_EQ(order, (std::vector<JobId>{quick, late}));
}

/** A store that rejects appends with a record of a certain key, and takes one append at a time. */
class RejectingLog : public JobLog
{
public:
    void append(LogStream, const std::vector<JobRecord> &records, const AppendIdentity &identity,
                std::optional<std::uint64_t>, Done done) override
    {
        std::size_t bytes = 0;
        AppendReply reply;
        reply.outcome = AppendOutcome::Stored;
        for (const JobRecord &entry : records) {
            bytes += storedBytes(entry);
            reply.outcome = entry.key == "bad" ? AppendOutcome::Rejected : reply.outcome;
        }
        this->largest = std::max(this->largest, bytes);
        if (reply.outcome == AppendOutcome::Stored) {
            EXPECT_EQ(identity.sequence, ++this->sequence);
            for (const JobRecord &entry : records) {
                this->keys.push_back(entry.key);
            }
        }
        done(reply);
    }

    std::uint64_t sequence = 0;
    std::size_t largest = 0;
    std::vector<std::string> keys;
};

// Guards against an append that is repeated without end, though the store will never take it, and
// against records behind it that wait.
TEST(GroupCommitTest, RejectedRecordsHoldUpNothing)
{
    RejectingLog log;
    Random random(1);
    GroupCommit commits(log, LogStream::Jobs, random);
    commits.open("p", 1, 1);
    std::vector<std::string> rejected;
    commits.onRejected = [&](const std::vector<JobRecord> &records) {
        rejected.push_back(records.front().key);
    };
    std::map<std::string, CommitResult> results;
    for (const char *key : {"a", "bad", "b", "c"}) {
        commits.add({record(key, "v", 0)}, GroupCommit::noDeadline,
                    [&results, key](CommitResult result, Instant) { results[key] = result; });
    }
    for (std::int64_t at = 1; at < 100; ++at) {
        commits.process(Instant(at));
    }
    EXPECT_EQ(log.keys, (std::vector<std::string>{"a", "b", "c"}));
    EXPECT_EQ(results["a"], CommitResult::Durable);
    EXPECT_EQ(results["bad"], CommitResult::Rejected);
    EXPECT_EQ(results["c"], CommitResult::Durable);
    EXPECT_EQ(rejected, std::vector<std::string>{"bad"});
    EXPECT_TRUE(commits.idle());
}

// Guards against an append that is larger than the store takes in one call.
TEST(GroupCommitTest, ALargeBatchTakesSeveralAppendsInOrder)
{
    RejectingLog log;
    Random random(1);
    StoreLimits limits;
    limits.callBytes = 1000;
    GroupCommit commits(log, LogStream::Jobs, random, limits);
    commits.open("p", 1, 1);
    std::vector<JobRecord> records;
    std::vector<std::string> keys;
    for (int number = 0; number < 40; ++number) {
        keys.push_back("key" + std::to_string(number));
        records.push_back(record(keys.back(), std::string(100, 'x'), 0));
    }
    int called = 0;
    commits.add(records, GroupCommit::noDeadline, [&](CommitResult result, Instant) {
        ++called;
        EXPECT_EQ(result, CommitResult::Durable);
        EXPECT_EQ(log.keys.size(), 40U);
    });
    commits.add({record("bad", "x", 0), record("after", std::string(990, 'x'), 0)},
                GroupCommit::noDeadline, [&](CommitResult result, Instant) {
                    ++called;
                    EXPECT_EQ(result, CommitResult::Rejected) << "of the first append";
                });
    for (std::int64_t at = 1; at < 200; ++at) {
        commits.process(Instant(at));
    }
    EXPECT_EQ(called, 2);
    EXPECT_LE(log.largest, limits.callBytes);
    keys.push_back("after");
    EXPECT_EQ(log.keys, keys);
}

// Guards against a job that is accepted although no record can hold it.
TEST(JobServiceTest, RefusesAJobThatTheStoreCannotTake)
{
    RejectingLog log;
    Random random(1);
    GroupCommit commits(log, LogStream::Jobs, random);
    commits.open("p", 1, 1);
    JobTable table;
    StoreLimits limits;
    limits.recordBytes = 500;
    JobService service(table, commits, limits);
    service.setViewTime(Instant(0));
    QueueConfig queue;
    queue.name = "plan";
    queue.service = ServiceId("orchard");
    for (const std::size_t payload : {100U, 600U}) {
        jobs::JobSpec spec = oneTask(false);
        spec.set_payload(std::string(payload, 'x'));
        std::optional<JobServiceResult> result;
        service.submit(JobId(std::to_string(payload)), queue, spec, Instant(1), 1, Duration(3000),
                       [&](const JobServiceReply &reply) { result = reply.answer; });
        commits.process(Instant(2));
        commits.process(Instant(3));
        EXPECT_EQ(result, payload < 500 ? JobServiceResult::Accepted : JobServiceResult::TooLarge);
    }
}

} // namespace
} // namespace godwitfall::jobtests
