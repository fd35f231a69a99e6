// Records of crashes counted under tasks, as this version and earlier ones write and read them.
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <google/protobuf/text_format.h>
#include <gtest/gtest.h>

#include "coordinatorfixture.h"
#include "jobtable.h"

namespace godwitfall::jobtests {
namespace {

/** A job of one step with tasks that last for a second. */
Job jobOf(std::uint32_t tasks)
{
    jobs::JobSpec spec;
    spec.set_queue("plan");
    *spec.add_steps() = stepOf(tasks, 1000);
    return Job(jobId, std::move(spec));
}

/** Returns INDEX RUN WORKER@INCARNATION EPOCH SIGN EVIDENCE TIME of each crash of the task. */
std::vector<std::string> textsOf(std::uint32_t index, const std::vector<CrashedRun> &crashes)
{
    std::vector<std::string> texts;
    for (const CrashedRun &crash : crashes) {
        texts.push_back(std::to_string(index) + " " + std::to_string(crash.run) + " " +
                        crash.worker + "@" + std::to_string(crash.incarnationStartMs) + " " +
                        std::to_string(crash.epoch) + " " + jobs::CrashSign_Name(crash.sign) + " " +
                        jobs::CrashEvidence_Name(crash.evidence) + " " +
                        std::to_string(crash.countedMs));
    }
    return texts;
}

/** Returns the same of all tasks. */
std::vector<std::string> crashesIn(const Job &job)
{
    std::vector<std::string> crashes;
    const StepRun *run = job.findStepRun(0, 0);
    for (std::uint32_t index = 0; run && index < run->tasks.size(); ++index) {
        const std::vector<std::string> texts = textsOf(index, run->tasks[index].crashedRuns);
        crashes.insert(crashes.end(), texts.begin(), texts.end());
    }
    return crashes;
}

/** Returns INDEX RUN of each crash: what an earlier version knows of it. */
std::vector<std::string> numbersIn(const jobs::JobProgress &progress)
{
    std::vector<std::string> numbers;
    for (const jobs::StepProgress &step : progress.steps()) {
        for (const jobs::TaskRuns &crashed : step.crashed()) {
            for (const std::uint32_t run : crashed.runs()) {
                numbers.push_back(std::to_string(crashed.index()) + " " + std::to_string(run));
            }
        }
    }
    return numbers;
}

/** Returns the progress as it is after the store. */
jobs::JobProgress stored(const jobs::JobProgress &progress)
{
    jobs::JobProgress read;
    EXPECT_TRUE(read.ParseFromString(progress.SerializeAsString()));
    return read;
}

/** Returns the record as an earlier version writes it again: without what each count rests on. */
jobs::JobProgress rewrittenByEarlierVersion(jobs::JobProgress progress)
{
    for (jobs::StepProgress &step : *progress.mutable_steps()) {
        step.clear_crashes();
    }
    return progress;
}

/** Progress of the step of a job of three tasks, and the crashes that are read from it. */
struct RecordCase
{
    const char *name;
    const char *step; ///< Without runs, of which each task has had nine.
    std::vector<std::string> crashes;
};

class CrashRecordTest : public testing::TestWithParam<RecordCase>
{
protected:
    jobs::JobProgress progress() const
    {
        jobs::JobProgress progress;
        progress.set_state(jobs::RUNNING);
        EXPECT_TRUE(google::protobuf::TextFormat::ParseFromString(
            std::string("runs: [9, 9, 9] ") + this->GetParam().step, progress.add_steps()));
        return progress;
    }
};

// Guards against a successor that takes a count for more or for less than it rests on, or fails on
// a record of another version.
TEST_P(CrashRecordTest, IsReadAsTheVersionThatWroteItMeans)
{
    Job job = jobOf(3);
    job.applyProgress(stored(this->progress()), Instant(5));
    EXPECT_EQ(crashesIn(job), this->GetParam().crashes);
}

// Guards against counts that are lost or doubled by each change of the coordinator.
TEST_P(CrashRecordTest, IsTheSameAfterEachRewrite)
{
    Job job = jobOf(3);
    job.applyProgress(this->progress(), Instant(5));
    for (int rewrite = 0; rewrite < 3; ++rewrite) {
        Job next = jobOf(3);
        next.applyProgress(stored(job.toProgress()), Instant(5));
        EXPECT_EQ(crashesIn(next), this->GetParam().crashes) << rewrite;
        // The same on an instance that has read an earlier record.
        job.applyProgress(stored(job.toProgress()), Instant(5));
        EXPECT_EQ(crashesIn(job), this->GetParam().crashes) << rewrite;
    }
}

// Guards against a fleet of two versions in which crashes are counted anew, or a job is closed by
// counts of which nothing is known: an earlier version keeps the number of each run, and no more.
TEST_P(CrashRecordTest, AnEarlierVersionFindsTheNumbers)
{
    Job job = jobOf(3);
    job.applyProgress(this->progress(), Instant(5));
    std::vector<std::string> numbers;
    std::vector<std::string> possible;
    for (const std::string &crash : this->GetParam().crashes) {
        numbers.push_back(crash.substr(0, crash.find(' ', crash.find(' ') + 1)));
        possible.push_back(numbers.back() + " @0 0 OTHER_INCARNATION POSSIBLE 0");
    }
    const jobs::JobProgress written = stored(job.toProgress());
    EXPECT_EQ(numbersIn(written), numbers);
    Job next = jobOf(3);
    next.applyProgress(rewrittenByEarlierVersion(written), Instant(5));
    EXPECT_EQ(crashesIn(next), possible);
}

INSTANTIATE_TEST_SUITE_P(
    Records, CrashRecordTest,
    testing::Values(
        RecordCase{"none", "", {}},
        RecordCase{"everyField",
                   R"(crashed { index: 1 runs: 4 }
                      crashes { index: 1 run: 4 worker: "w7" epoch: 12 sign: LEASES_LAPSED
                                evidence: LIKELY worker_born_ms: 1764900000123
                                counted_ms: 1764900004567 })",
                   {"1 4 w7@1764900000123 12 LEASES_LAPSED LIKELY 1764900004567"}},
        RecordCase{
            "everyEvidence",
            R"(crashed { index: 0 runs: [1, 2, 3, 5] }
                      crashes { run: 1 worker: "w1" epoch: 1 evidence: POSSIBLE counted_ms: 10 }
                      crashes { run: 2 worker: "w2" epoch: 1 evidence: SILENT counted_ms: 20 }
                      crashes { run: 3 worker: "w3" epoch: 2 evidence: LIKELY counted_ms: 30 }
                      crashes { run: 5 worker: "w4" epoch: 2 evidence: CERTAIN counted_ms: 40 })",
            {"0 1 w1@0 1 OTHER_INCARNATION POSSIBLE 10", "0 2 w2@0 1 OTHER_INCARNATION SILENT 20",
             "0 3 w3@0 2 OTHER_INCARNATION LIKELY 30", "0 5 w4@0 2 OTHER_INCARNATION CERTAIN 40"}},
        RecordCase{"earlierVersion",
                   "crashed { index: 0 runs: [1, 3] } crashed { index: 2 runs: [2] }",
                   {"0 1 @0 0 OTHER_INCARNATION POSSIBLE 0",
                    "0 3 @0 0 OTHER_INCARNATION POSSIBLE 0",
                    "2 2 @0 0 OTHER_INCARNATION POSSIBLE 0"}},
        RecordCase{"bothVersions",
                   R"(crashed { index: 1 runs: [1, 2, 6] }
                      crashes { index: 1 run: 2 worker: "w2" epoch: 3 evidence: CERTAIN
                                worker_born_ms: 8 counted_ms: 9 })",
                   {"1 1 @0 0 OTHER_INCARNATION POSSIBLE 0",
                    "1 2 w2@8 3 OTHER_INCARNATION CERTAIN 9",
                    "1 6 @0 0 OTHER_INCARNATION POSSIBLE 0"}},
        RecordCase{
            "evidenceOfALaterVersion",
            R"(crashed { index: 1 runs: [1, 2] }
                      crashes { index: 1 run: 1 worker: "w1" epoch: 3 evidence: 4 counted_ms: 9 }
                      crashes { index: 1 run: 2 worker: "w1" epoch: 3 evidence: -1 })",
            {"1 1 w1@0 3 OTHER_INCARNATION POSSIBLE 9", "1 2 w1@0 3 OTHER_INCARNATION POSSIBLE 0"}},
        RecordCase{"detailsOfOtherRuns",
                   R"(crashed { index: 1 runs: [1] }
                      crashes { index: 1 run: 7 worker: "w2" evidence: CERTAIN }
                      crashes { index: 0 run: 1 worker: "w2" evidence: CERTAIN })",
                   {"1 1 @0 0 OTHER_INCARNATION POSSIBLE 0"}},
        RecordCase{
            "detailsOnly", R"(crashes { index: 1 run: 7 worker: "w2" evidence: CERTAIN })", {}},
        RecordCase{"tasksThatTheStepLacks",
                   R"(crashed { index: 3 runs: [1] } crashed { index: 4294967295 runs: [1] }
                      crashed { index: 2 runs: [1] }
                      crashes { index: 3 run: 1 evidence: CERTAIN }
                      crashes { index: 4294967295 run: 1 evidence: CERTAIN }
                      crashes { index: 2 run: 1 worker: "w2" epoch: 1 evidence: SILENT })",
                   {"2 1 w2@0 1 OTHER_INCARNATION SILENT 0"}}),
    [](const auto &info) { return info.param.name; });

/** What is recorded of a run that its worker may crash under. */
struct PlacementCase
{
    const char *name;
    bool watched;
    jobs::CrashEvidence closing;
};

class PlacementRecordTest : public testing::TestWithParam<PlacementCase>
{};

// Guards against a crash of which the loss of the coordinator takes the evidence: the successor has
// to know that the start was watched, and that the worker had closed its connections.
TEST_P(PlacementRecordTest, KeepsWhatTellsOfACrash)
{
    Job job = jobOf(3);
    Task &task = job.stepRun(0, 0).tasks[1];
    task.phase = TaskPhase::Running;
    task.run = 4;
    task.worker = "w1";
    task.workerIncarnationStartMs = 1764900000123;
    task.placedMs = 1764900001000;
    task.startTaken = true;
    task.watched = this->GetParam().watched;
    task.closing = this->GetParam().closing;
    // A closed job keeps what is placed, too.
    for (const jobs::JobState state : {jobs::RUNNING, jobs::FAILED}) {
        job.state = state;
        Job next = jobOf(3);
        next.applyProgress(stored(job.toProgress()), Instant(5));
        const StepRun *run = next.findStepRun(0, 0);
        ASSERT_NE(run, nullptr) << state;
        EXPECT_EQ(run->tasks[1].watched, this->GetParam().watched) << state;
        EXPECT_EQ(run->tasks[1].closing, this->GetParam().closing) << state;
        EXPECT_EQ(run->tasks[1].workerIncarnationStartMs, 1764900000123) << state;
        EXPECT_EQ(run->tasks[1].placedMs, 1764900001000) << state;
        EXPECT_TRUE(run->tasks[1].startTaken) << state;
        EXPECT_FALSE(run->tasks[0].watched) << state;
        EXPECT_EQ(run->tasks[2].closing, jobs::POSSIBLE) << state;
    }
}

INSTANTIATE_TEST_SUITE_P(Placements, PlacementRecordTest,
                         testing::Values(PlacementCase{"neither", false, jobs::POSSIBLE},
                                         PlacementCase{"watched", true, jobs::POSSIBLE},
                                         PlacementCase{"likely", true, jobs::LIKELY},
                                         PlacementCase{"certain", true, jobs::CERTAIN},
                                         PlacementCase{"notWatched", false, jobs::CERTAIN}),
                         [](const auto &info) { return info.param.name; });

/** Why a job was closed, and the records that have to say so. */
struct FailureCase
{
    const char *name;
    std::uint32_t tasks; ///< Above Job::wholeRecordTasks the progress is in parts.
    std::optional<JobEnd> failure;
};

class FailureRecordTest : public testing::TestWithParam<FailureCase>
{};

// Guards against a failed job of which only the log of the coordinator that closed it tells why.
TEST_P(FailureRecordTest, IsInTheStatusAndInTheProgress)
{
    const std::optional<JobEnd> &expected = this->GetParam().failure;
    Job closed = jobOf(this->GetParam().tasks);
    closed.state = jobs::FAILED;
    closed.failure = expected;
    const jobs::JobProgress progress = closed.inParts() ? closed.toSummary() : closed.toProgress();
    for (const auto &[key, value] :
         {std::pair(JobTable::statusKey(jobId), closed.toStatus().SerializeAsString()),
          std::pair(JobTable::progressKey(jobId), progress.SerializeAsString())}) {
        JobTable table;
        Job *job = nullptr;
        table.apply(record(JobTable::submissionKey(jobId), closed.spec().SerializeAsString(), 0),
                    Instant(1), job);
        table.apply(record(key, value, 1), Instant(1), job);
        ASSERT_NE(job, nullptr) << key;
        EXPECT_EQ(job->state, jobs::FAILED) << key;
        ASSERT_EQ(job->failure.has_value(), expected.has_value()) << key;
        if (!expected) {
            continue;
        }
        EXPECT_EQ(job->failure->reason, expected->reason) << key;
        EXPECT_EQ(job->failure->task, expected->task) << key;
        EXPECT_EQ(job->failure->failedRuns, expected->failedRuns) << key;
        EXPECT_EQ(textsOf(0, job->failure->crashedRuns), textsOf(0, expected->crashedRuns)) << key;
        // It is in what the reader writes in its turn.
        EXPECT_EQ(job->toStatus().SerializeAsString(), closed.toStatus().SerializeAsString());
    }
}

INSTANTIATE_TEST_SUITE_P(
    Failures, FailureRecordTest,
    testing::Values(
        FailureCase{"earlierVersion", 3, std::nullopt},
        FailureCase{"attempts", 3,
                    JobEnd{JobEndReason::AttemptsUsedUp, {jobId, 0, 0, 2}, {1, 2, 5}, {}}},
        FailureCase{"crashes", 3,
                    JobEnd{JobEndReason::WorkersCrashed,
                           {jobId, 0, 0, 1},
                           {},
                           {{1, jobs::CERTAIN, jobs::LEASES_LAPSED, "w1", 2, 3, 4},
                            {2, jobs::SILENT, jobs::OTHER_INCARNATION, "w2", 5, 6, 7}}}},
        FailureCase{"parts", 600,
                    JobEnd{JobEndReason::WorkersCrashed,
                           {jobId, 0, 0, 599},
                           {3},
                           {{1, jobs::LIKELY, jobs::OTHER_INCARNATION, "w1", 2, 3, 4}}}}),
    [](const auto &info) { return info.param.name; });

// Guards against a job that is closed by evidence that this version does not know.
TEST(JobRecordTest, ClosingOfALaterVersionIsPossible)
{
    jobs::JobProgress progress;
    ASSERT_TRUE(google::protobuf::TextFormat::ParseFromString(
        R"(steps { runs: 1 placed { worker: "w1" watched: true closing: 4 } })", &progress));
    Job job = jobOf(1);
    job.applyProgress(stored(progress), Instant(5));
    EXPECT_EQ(job.stepRun(0, 0).tasks[0].closing, jobs::POSSIBLE);
}

// Guards against counts of a large job that are lost, or get to another task, as some of its parts
// were written by an earlier version.
TEST(PartRecordTest, PartsOfTwoVersionsAreReadBesideEachOther)
{
    constexpr std::uint32_t tasks = 600;
    constexpr std::uint32_t partOfEarlierVersion = 1;
    Job job = jobOf(tasks);
    ASSERT_TRUE(job.inParts());
    std::uint32_t number = 0;
    for (const std::uint32_t index : {0U, 63U, 64U, 127U, 128U, 599U}) {
        Task &task = job.stepRun(0, 0).tasks[index];
        task.run = ++number;
        task.crashedRuns = {CrashedRun{number, jobs::CERTAIN, jobs::LEASES_LAPSED, "w1", 2, 3, 4}};
    }
    Job next = jobOf(tasks);
    next.applyProgress(stored(job.toSummary()), Instant(5));
    for (std::uint32_t part = 0; part * Job::partTasks < tasks; ++part) {
        const jobs::JobProgress written = stored(job.toPartProgress(part));
        next.applyPart(part,
                       part == partOfEarlierVersion ? rewrittenByEarlierVersion(written) : written,
                       Instant(5));
    }
    EXPECT_EQ(crashesIn(next), (std::vector<std::string>{
                                   "0 1 w1@3 2 LEASES_LAPSED CERTAIN 4",
                                   "63 2 w1@3 2 LEASES_LAPSED CERTAIN 4",
                                   "64 3 @0 0 OTHER_INCARNATION POSSIBLE 0",
                                   "127 4 @0 0 OTHER_INCARNATION POSSIBLE 0",
                                   "128 5 w1@3 2 LEASES_LAPSED CERTAIN 4",
                                   "599 6 w1@3 2 LEASES_LAPSED CERTAIN 4",
                               }));
    // A later record of one part replaces the counts of its tasks only.
    job.stepRun(0, 0).tasks[63].crashedRuns.clear();
    next.applyPart(0, stored(job.toPartProgress(0)), Instant(6));
    EXPECT_EQ(crashesIn(next).size(), 5U);
    EXPECT_EQ(crashesIn(next).at(1), "64 3 @0 0 OTHER_INCARNATION POSSIBLE 0");
}

} // namespace
} // namespace godwitfall::jobtests
