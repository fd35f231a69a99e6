// What a crash of a worker tells of the task that was on it: sequences in which counts are wrong,
// or of no use.
#include <map>
#include <random>
#include <set>
#include <utility>

#include <gtest/gtest.h>

#include "lostworkerfixture.h"

namespace godwitfall::jobtests {
namespace {

class CrashEvidenceTest : public LostWorkerTest
{};

// Guards against a task that crashes worker after worker and is never given up, as it does so more
// than a second after its start: each worker lists the run until it closes its connections.
TEST_F(CrashEvidenceTest, CrashesLongAfterTheStartAreCertainToo)
{
    this->submit(false);
    for (int loss = 0; loss < 8; ++loss) {
        const WorkerId worker = this->addWorker();
        if (!this->awaitStart(worker, 16000)) {
            break;
        }
        this->answerStart(worker, OrderOutcome::Accepted);
        for (int reply = 0; reply < 30; ++reply) {
            this->advance(50);
            this->reply(worker, {this->ref()});
        }
        this->advance(10);
        this->endConnections(worker);
        this->advance(2900);
        this->answerOther(worker);
    }
    EXPECT_EQ(this->state(), jobs::FAILED) << this->evidence();
    EXPECT_LE(this->starts, mostStarts);
}

// Guards against a task that crashes worker after worker 10 ms after its start and is never given
// up, as the machines are not back before the leases lapse.
TEST_F(CrashEvidenceTest, CrashesOfWorkersThatDoNotComeBackAreCertainToo)
{
    this->submit(false);
    for (int loss = 0; loss < 8; ++loss) {
        const WorkerId worker = this->addWorker();
        if (!this->awaitStart(worker, 16000)) {
            break;
        }
        this->answerStart(worker, OrderOutcome::Accepted);
        this->advance(10);
        for (int refused = 0; refused < 90; ++refused) {
            this->world.coordinator.connectionClosed(worker, Instant(this->now));
            if (refused == 45) {
                this->world.coordinator.removeWorker(worker, Instant(this->now));
            }
            this->advance(100);
        }
        this->world.coordinator.holdAnswered(worker, Instant(this->now), Instant(this->now),
                                             OrderOutcome::NotSent, {});
    }
    EXPECT_EQ(this->state(), jobs::FAILED) << this->evidence();
    EXPECT_LE(this->starts, mostStarts);
}

// Guards against a job that is closed as failed after three cuts, as a successor takes the watch of
// its predecessor for its own: each worker has replied to it for four seconds since.
TEST_F(CrashEvidenceTest, WatchesOfPredecessorsTellNothingOfLaterSilence)
{
    this->job = this->world.submit(oneTask(false), beginMs);
    for (std::uint32_t run = 1; run <= 5; ++run) {
        // The predecessor's record of the run: watched from the second count on, and confirmed.
        jobs::JobProgress progress;
        progress.set_state(jobs::RUNNING);
        jobs::StepProgress &recordedStep = *progress.add_steps();
        recordedStep.add_runs(run);
        jobs::Placement &placed = *recordedStep.add_placed();
        placed.set_worker("w" + std::to_string(run));
        placed.set_confirmed(true);
        placed.set_watched(run > 2);
        placed.set_placed_ms(this->now - 2000);
        jobs::TaskRuns &crashed = *recordedStep.add_crashed();
        for (const CrashedRun &crash : this->crashes()) {
            crashed.add_runs(crash.run);
            jobs::CrashedRun &detailed = *recordedStep.add_crashes();
            detailed.set_run(crash.run);
            detailed.set_worker(crash.worker);
            detailed.set_epoch(crash.epoch);
            detailed.set_sign(crash.sign);
            detailed.set_evidence(crash.evidence);
        }
        Job *job = nullptr;
        this->world.table.apply(record(JobTable::progressKey(this->job),
                                       progress.SerializeAsString(), ++this->world.offset),
                                Instant(this->now), job);
        this->world.coordinator.begin(run + 1, Instant(this->now), this->now,
                                      Instant(this->now + 6700));
        const WorkerId worker("w" + std::to_string(run));
        this->world.coordinator.setWorker(entryOf(worker.value()), Instant(this->now));
        for (int reply = 0; reply < 40; ++reply) {
            this->reply(worker, {this->ref()});
            this->advance(100);
        }
        ASSERT_TRUE(this->isPlaced());
        this->advance(1400);
        this->answerOther(worker);
        ASSERT_EQ(this->crashes().size(), run);
        EXPECT_EQ(this->crashes().back().evidence, jobs::POSSIBLE) << run;
    }
    EXPECT_NE(this->state(), jobs::FAILED) << this->evidence();
}

// Guards against a task that waits 15 s again though its start was rejected, and so cost nothing.
TEST_F(CrashEvidenceTest, ARejectedStartIsNoReasonToHoldBackAgain)
{
    this->submit(false);
    for (int loss = 0; loss < 5; ++loss) {
        ASSERT_TRUE(this->loseUnseen(3000)) << loss;
    }
    const WorkerId worker = this->addWorker();
    ASSERT_TRUE(this->awaitStart(worker, 16000));
    this->answerStart(worker, OrderOutcome::NoCapacity);
    EXPECT_TRUE(this->awaitStart(worker, 3000));
}

// Guards against a task that is held back anew, for up to two minutes, by each change of the
// coordinator.
TEST_F(CrashEvidenceTest, ATakeoverIsNoReasonToHoldBackAgain)
{
    this->submit(false);
    for (int loss = 0; loss < 5; ++loss) {
        ASSERT_TRUE(this->loseUnseen(3000)) << loss;
    }
    this->advance(14000);
    this->takeOver(2);
    const WorkerId worker = this->addWorker();
    EXPECT_TRUE(this->awaitStart(worker, 5000));
}

// Guards against a task that waits without a word, and against a line for each search for a worker:
// each coordinator tells once for how long it holds the task back.
TEST_F(CrashEvidenceTest, AHoldBackIsReportedOnce)
{
    this->submit(false);
    for (std::size_t loss = 1; loss <= Coordinator::crashesToHoldBack; ++loss) {
        EXPECT_TRUE(this->world.host.heldBack.empty()) << loss;
        ASSERT_TRUE(this->loseUnseen(3000)) << loss;
    }
    ASSERT_EQ(this->world.host.heldBack.size(), 1U);
    const HeldBackTask reported = this->world.host.heldBack.front();
    EXPECT_EQ(reported.task, this->ref());
    EXPECT_EQ(reported.crashes, Coordinator::crashesToHoldBack);
    EXPECT_EQ(reported.hold.length, Coordinator::holdBackOfPossibleCause);
    EXPECT_EQ(reported.hold.untilMs, this->now + Coordinator::holdBackOfPossibleCause.count());
    const WorkerId worker = this->addWorker();
    EXPECT_FALSE(this->awaitStart(worker, 2000));
    EXPECT_EQ(this->world.host.heldBack.size(), 1U);
    this->takeOver(2);
    ASSERT_EQ(this->world.host.heldBack.size(), 2U);
    EXPECT_EQ(this->world.host.heldBack.back().hold.untilMs, reported.hold.untilMs);
    ASSERT_TRUE(this->awaitStart(this->addWorker(), 16000));
    EXPECT_GE(this->now, reported.hold.untilMs);
    EXPECT_EQ(this->world.host.heldBack.size(), 2U);
    this->takeOver(3);
    EXPECT_EQ(this->world.host.heldBack.size(), 2U) << "its time is over";
}

// Guards against a task that lasts and is held back for a minute at once, the first time that the
// counts are enough: starts that may never have arrived double the time.
TEST_F(CrashEvidenceTest, PossibleCrashesDoNotProlongTheHoldBackOfTasksThatLast)
{
    this->submit(true);
    for (int loss = 0; loss < 5; ++loss) {
        const WorkerId worker = this->addWorker();
        ASSERT_TRUE(this->awaitStart(worker, 3000)) << loss;
        this->advance(orderTimeoutMs);
        this->answerStart(worker, OrderOutcome::Unanswered);
        this->advance(800);
        this->answerOther(worker);
    }
    const std::int64_t lostAt = this->now;
    const WorkerId worker = this->addWorker();
    EXPECT_TRUE(this->awaitStart(worker, 130000));
    EXPECT_LE(this->now - lostAt, 5000) << this->evidence();
}

// Guards against a sixth start soon after the fifth of a task that crashes its workers silently, as
// the coordinator is lost once on the way: the record has to tell which starts are watched.
TEST_F(CrashEvidenceTest, ATakeoverLosesNoWatch)
{
    this->submit(false);
    for (int loss = 0; loss < 7; ++loss) {
        const WorkerId worker = this->addWorker();
        if (!this->awaitStart(worker, 16000)) {
            break;
        }
        if (loss == 3) {
            this->advance(50);
            this->takeOver(2);
            this->world.coordinator.setWorker(entryOf(worker.value()), Instant(this->now));
        } else {
            this->advance(orderTimeoutMs);
            this->answerStart(worker, OrderOutcome::Unanswered);
        }
        this->advance(800);
        this->answerOther(worker);
    }
    EXPECT_LE(this->starts, mostStarts) << this->evidence();
    EXPECT_EQ(this->evidence(), "POSSIBLE POSSIBLE SILENT SILENT SILENT ");
    EXPECT_NE(this->state(), jobs::FAILED) << "silence alone closes no job";
}

// Guards against a start that counts as likely, though its worker was seen to close its connections
// before it was sent.
TEST_F(CrashEvidenceTest, AStartAfterTheCrashIsNotWatched)
{
    this->submit(false);
    for (int loss = 0; loss < 2; ++loss) {
        ASSERT_TRUE(this->loseUnseen(3000)) << loss;
    }
    const WorkerId worker = this->addWorker();
    this->world.coordinator.connectionClosed(worker, Instant(this->now));
    this->advance(50);
    if (!this->world.orders.starts.empty()) {
        this->answerOther(worker);
        ASSERT_LE(this->crashes().size(), 3U);
        EXPECT_TRUE(this->crashes().size() == 2 ||
                    this->crashes().back().evidence == jobs::POSSIBLE)
            << this->evidence();
    }
}

// Guards against a crash of which the order of two events takes the evidence: the end of the open
// hold is processed before the reply to the start, as both arrived while the coordinator was busy.
TEST_F(CrashEvidenceTest, TheReplyToAStartMayBeProcessedAfterTheEndOfTheHold)
{
    this->submit(false);
    const WorkerId worker = this->addWorker();
    ASSERT_TRUE(this->awaitStart(worker, 3000));
    this->advance(20);
    this->world.coordinator.connectionClosed(worker, Instant(this->now));
    this->world.coordinator.holdAnswered(worker, Instant(this->now - 30), Instant(this->now),
                                         OrderOutcome::Unanswered, {});
    this->answerStart(worker, OrderOutcome::Accepted);
    this->advance(310);
    this->world.coordinator.connectionClosed(worker, Instant(this->now));
    this->world.coordinator.holdAnswered(worker, Instant(this->now), Instant(this->now),
                                         OrderOutcome::NotSent, {});
    this->advance(3000);
    this->answerOther(worker);
    ASSERT_EQ(this->crashes().size(), 1U);
    EXPECT_NE(this->crashes().back().evidence, jobs::POSSIBLE);
}

/** A closing of a connection whose order was for the incarnation, and what it tells of a run that
 * the worker's incarnation of 2000 has taken. */
struct ClosingCase
{
    const char *name;
    std::int64_t incarnationStartMs;
    jobs::CrashEvidence evidence;
};

class ClosingTest : public CrashEvidenceTest, public testing::WithParamInterface<ClosingCase>
{};

// Guards against a job that is closed as failed as the calls to a former incarnation end late: the
// next one has replied and taken a start meanwhile, and is only cut off.
TEST_P(ClosingTest, CountsForItsIncarnationOnly)
{
    this->submit(false);
    const WorkerId worker("w1");
    const auto replyOf = [&](std::int64_t startMs, const std::vector<TaskRef> &running) {
        this->world.reply(worker, this->now, this->now - beginMs + 500, running, startMs);
    };
    WorkerEntry entry = entryOf(worker.value());
    entry.incarnationStartMs = 1000;
    this->world.coordinator.setWorker(entry, Instant(this->now));
    replyOf(1000, {});
    entry.incarnationStartMs = 2000;
    this->world.coordinator.setWorker(entry, Instant(this->now));
    replyOf(2000, {});
    this->advance(50);
    ASSERT_EQ(this->world.orders.starts.size(), 1U);
    EXPECT_EQ(this->world.orders.starts.front().target.incarnationStartMs, 2000);
    this->answerStart(worker, OrderOutcome::Accepted);
    this->advance(50);
    replyOf(2000, {this->ref()});
    this->advance(20);
    this->endConnections(worker, this->GetParam().incarnationStartMs);
    this->advance(400);
    replyOf(3000, {});
    ASSERT_EQ(this->crashes().size(), 1U);
    EXPECT_EQ(this->crashes().back().evidence, this->GetParam().evidence) << this->evidence();
}

INSTANTIATE_TEST_SUITE_P(Incarnations, ClosingTest,
                         testing::Values(ClosingCase{"former", 1000, jobs::POSSIBLE},
                                         ClosingCase{"present", 2000, jobs::CERTAIN},
                                         ClosingCase{"any", 0, jobs::CERTAIN}),
                         [](const auto &info) { return info.param.name; });

/** Jobs that were closed as failed though fewer than two workers crashed under a run of any task of
 * theirs that had begun. Some workers are cut off in turns, and restarted behind the cut. */
struct Storm
{
    std::int64_t gapMs = 1200;
    std::int64_t cutMs = 700;
    std::int64_t restartedAfterMs = 350;
    unsigned share = 30;
    std::uint32_t taskMs = 1500;
    bool losesOwners = true;

    std::vector<std::string> failedWithoutCause;

    void play(std::uint64_t seed)
    {
        JobSimulation simulation(seed, FaultRates());
        for (int count = 0; count < 8; ++count) {
            simulation.addWorker();
        }
        simulation.run(1500);
        std::mt19937_64 random(seed);
        std::map<TaskRef, unsigned> crashes;
        std::set<JobId> failed;
        for (int round = 0; round < 35; ++round) {
            if (round < 29) {
                simulation.submit({stepOf(6, this->taskMs), stepOf(1, 300, {0})});
            }
            std::vector<std::size_t> cut;
            for (std::size_t index = 0; round < 29 && index < simulation.workersEver(); ++index) {
                if (random() % 100 < this->share) {
                    cut.push_back(index);
                    simulation.cutWorker(index, this->cutMs);
                }
            }
            simulation.run(this->restartedAfterMs);
            for (const std::size_t index : cut) {
                const std::string name = "w" + std::to_string(index);
                for (const auto &[task, runs] : simulation.ledger().running) {
                    crashes[task] += std::any_of(runs.begin(), runs.end(), [&](const auto &run) {
                        return run.first == name;
                    });
                }
                simulation.crashWorker(index, 20, 900);
            }
            simulation.run(this->gapMs - this->restartedAfterMs);
            if (this->losesOwners && round % 8 == 5) {
                simulation.killOwner(1000);
            }
            for (const JobId &id : simulation.accepted()) {
                if (simulation.shown(id) == jobs::FAILED) {
                    failed.insert(id);
                }
            }
        }
        for (const JobId &id : failed) {
            unsigned most = 0;
            for (const auto &[task, count] : crashes) {
                most = std::max(most, task.job == id ? count : 0);
            }
            if (most < 2) {
                this->failedWithoutCause.push_back("seed " + std::to_string(seed) + ", gap " +
                                                   std::to_string(this->gapMs) + ": " + id.value() +
                                                   ", crashes " + std::to_string(most));
            }
        }
    }
};

// Guards against jobs that are closed as failed on days of cuts, for crashes that did not happen: a
// run of 300 ms ends as done behind the cut, before its worker is restarted, three times.
TEST(StormTest, CutsCloseNoJobWithoutCause)
{
    for (const auto &[seed, losesOwners] : std::vector<std::pair<std::uint64_t, bool>>{
             {1, false}, {101, false}, {1, true}, {35, true}}) {
        Storm storm;
        storm.losesOwners = losesOwners;
        storm.play(seed);
        EXPECT_EQ(storm.failedWithoutCause, std::vector<std::string>()) << seed;
    }
}

} // namespace
} // namespace godwitfall::jobtests
