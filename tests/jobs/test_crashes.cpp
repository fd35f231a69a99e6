// Tasks that crash the workers that start them are given up; other tasks are not.
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "coordinatorworld.h"
#include "jobsimulation.h"

namespace godwitfall::jobtests {
namespace {

constexpr std::size_t addedWorkers = 12;

/** Jobs of which some have a task that crashes its workers. */
struct CrashingJobs
{
    explicit CrashingJobs(std::uint64_t seed, const FaultRates &rates = FaultRates())
        : simulation(seed, rates)
    {
        this->simulation.deadly = [this](const TaskRef &task) {
            return this->deadlyJobs.contains(task.job) && task.index == 0;
        };
        // Without it a crash can't be told from a cut, and no job is closed for one.
        this->simulation.makeCrashesReset();
        for (std::size_t count = 0; count < addedWorkers; ++count) {
            this->simulation.addWorker();
        }
        this->simulation.run(1500);
    }

    void submit(bool deadly, std::uint32_t tasks, std::uint32_t milliseconds)
    {
        const JobId id =
            this->simulation.submit({stepOf(tasks, milliseconds), stepOf(1, 300, {0})});
        if (deadly) {
            this->deadlyJobs.insert(id);
        }
    }

    /** Returns what is violated once the jobs have had time to end. */
    std::vector<std::string> violations()
    {
        std::vector<std::string> broken = this->simulation.ledger().broken;
        for (const JobId &id : this->simulation.accepted()) {
            const jobs::JobState state = this->simulation.shown(id);
            const bool deadly = this->deadlyJobs.contains(id);
            if (state != (deadly ? jobs::FAILED : jobs::COMPLETED)) {
                broken.push_back(id.value() + (deadly ? ", deadly, is " : " is ") +
                                 jobs::JobState_Name(state));
            }
        }
        return broken;
    }

    std::set<JobId> deadlyJobs;
    JobSimulation simulation;
};

// Guards against a task that crashes worker after worker, as a lost run cost it nothing.
TEST(CrashingTaskTest, IsGivenUpAndItsJobFails)
{
    CrashingJobs jobs(5);
    jobs.submit(true, 3, 700);
    jobs.submit(false, 8, 700);
    jobs.simulation.run(30000);
    EXPECT_EQ(jobs.violations(), std::vector<std::string>());
}

// The same when the coordinator is lost after each crash: the count has to outlive it.
TEST(CrashingTaskTest, IsGivenUpAcrossTakeovers)
{
    CrashingJobs jobs(6);
    jobs.submit(true, 3, 700);
    for (int loss = 0; loss < 5; ++loss) {
        jobs.simulation.run(4200);
        jobs.simulation.killOwner();
    }
    jobs.simulation.run(40000);
    EXPECT_EQ(jobs.violations(), std::vector<std::string>());
}

/** A coordinator with workers that reply, in which one worker crashes under a task. */
class CrashedWorkerTest : public ::testing::Test
{
protected:
    void addWorkers(std::initializer_list<const char *> names, std::int64_t at)
    {
        for (const char *name : names) {
            this->world.coordinator.setWorker(entryOf(name), Instant(at));
            this->world.reply(WorkerId(name), at, 500);
        }
    }

    /** Another incarnation answers at the worker's address. */
    void crash(const std::string &worker, std::int64_t at)
    {
        this->world.coordinator.holdAnswered(WorkerId(worker), Instant(at), Instant(at),
                                             OrderOutcome::OtherIncarnation, {});
    }

    /** Confirms all starts that were sent. */
    void acceptStarts(std::int64_t at)
    {
        for (const StartOrder &order : std::exchange(this->world.orders.starts, {})) {
            this->world.coordinator.startAnswered(order.target.worker, order.task, order.run,
                                                  Instant(at), OrderOutcome::Accepted);
        }
    }

    Task &task(const JobId &job, std::uint32_t index)
    {
        return *this->world.table.find(job)->task(TaskRef{job, 0, 0, index});
    }

    CoordinatorWorld world;
};

// Guards against a task that is placed beside one of its step under which a worker has crashed,
// more of them than the step allows on one worker.
TEST_F(CrashedWorkerTest, SuspectsCountForAntiAffinity)
{
    this->world.coordinator.begin(1, Instant(1000), 1000, Instant(1000));
    this->addWorkers({"w1", "w2"}, 1000);
    jobs::JobSpec spec = oneTask(false);
    spec.mutable_steps(0)->set_count(3);
    spec.mutable_steps(0)->set_max_per_worker(1);
    const JobId job = this->world.submit(spec, 1000);
    this->world.commit(1010);
    this->acceptStarts(1020);
    ASSERT_TRUE(this->task(job, 2).worker.empty());
    this->crash(this->task(job, 0).worker, 1100);
    EXPECT_EQ(this->task(job, 0).crashedRuns.size(), 1U);
    this->addWorkers({"w3", "w4"}, 1200);
    this->world.commit(1300);
    EXPECT_FALSE(this->task(job, 0).worker.empty());
    EXPECT_FALSE(this->task(job, 2).worker.empty());
    EXPECT_NE(this->task(job, 0).worker, this->task(job, 2).worker);
}

// Guards against innocent tasks that are counted as the cause of crashes again and again: one that
// has been at work for a while is not blamed, and clears itself of earlier crashes.
TEST_F(CrashedWorkerTest, BlamesNoTaskThatHasBeenAtWork)
{
    this->world.coordinator.begin(1, Instant(1000), 1000, Instant(1000));
    this->addWorkers({"w1"}, 1000);
    const JobId job = this->world.submit(oneTask(true), 1000);
    this->world.commit(1010);
    this->acceptStarts(1020);
    this->crash("w1", 1100);
    EXPECT_EQ(this->task(job, 0).crashedRuns.size(), 1U);
    this->addWorkers({"w2"}, 1200);
    this->world.commit(1300);
    this->acceptStarts(1310);
    const TaskRef ref{job, 0, 0, 0};
    this->world.reply(WorkerId("w2"), 1400, 700, {ref});
    EXPECT_EQ(this->task(job, 0).crashedRuns.size(), 1U);
    const std::int64_t harmless = 1310 + Coordinator::harmlessAge.count();
    this->world.reply(WorkerId("w2"), harmless, harmless - 700, {ref});
    EXPECT_TRUE(this->task(job, 0).crashedRuns.empty());
    this->crash("w2", harmless + 100);
    EXPECT_TRUE(this->task(job, 0).crashedRuns.empty());
    EXPECT_TRUE(this->task(job, 0).worker.empty());
    // Also right after its next start, which is beside the task that is the cause.
    this->addWorkers({"w3"}, harmless + 200);
    this->world.commitToTable(harmless + 300);
    this->acceptStarts(harmless + 310);
    ASSERT_EQ(this->task(job, 0).worker, "w3");
    this->crash("w3", harmless + 400);
    EXPECT_TRUE(this->task(job, 0).crashedRuns.empty());
    jobs::JobProgress progress;
    ASSERT_TRUE(progress.ParseFromString(this->world.written.back().value));
    Job successors(job, oneTask(true));
    successors.applyProgress(progress, Instant(1));
    EXPECT_TRUE(successors.task(TaskRef{job, 0, 0, 0})->harmless) << "the record tells it";
}

// Guards against innocent tasks that are blamed beside the one that crashed the worker: those that
// began before it.
TEST_F(CrashedWorkerTest, BlamesTheTasksThatBeganLast)
{
    this->world.coordinator.begin(1, Instant(1000), 1000, Instant(1000));
    this->addWorkers({"w1"}, 1000);
    const auto start = [&](std::int64_t at) {
        const JobId job = this->world.submit(oneTask(true), at);
        this->world.coordinator.tick(Instant(at), at, true);
        this->world.commitToTable(at);
        this->acceptStarts(at + 5);
        return job;
    };
    const JobId earlier = start(1010);
    this->world.reply(WorkerId("w1"), 2500, 2000, {TaskRef{earlier, 0, 0, 0}});
    const JobId last = start(2600);
    this->crash("w1", 6000);
    EXPECT_EQ(this->task(earlier, 0).crashedRuns.size(), 0U);
    EXPECT_EQ(this->task(last, 0).crashedRuns.size(), 1U);
}

// The same for a successor, which knows of the tasks by their records only.
TEST_F(CrashedWorkerTest, SuccessorsBlameTheTasksThatBeganLast)
{
    const auto placed = [&](std::int64_t placedMs) {
        const JobId job = this->world.submit(oneTask(true), 1000);
        jobs::JobProgress progress;
        progress.set_state(jobs::RUNNING);
        jobs::StepProgress &step = *progress.add_steps();
        step.add_runs(1);
        step.add_placed()->set_worker("w1");
        step.mutable_placed(0)->set_confirmed(true);
        step.mutable_placed(0)->set_placed_ms(placedMs);
        Job *found = nullptr;
        this->world.table.apply(
            record(JobTable::progressKey(job), progress.SerializeAsString(), ++this->world.offset),
            Instant(1000), found);
        return job;
    };
    constexpr std::int64_t nowMs = 1700000000000;
    const JobId old = placed(nowMs - 3600000);
    const JobId earlier = placed(nowMs - 5000);
    const JobId last = placed(nowMs - 3000);
    this->world.coordinator.begin(2, Instant(1000), nowMs, Instant(1000));
    this->world.coordinator.setWorker(entryOf("w1"), Instant(1000));
    this->crash("w1", 1100);
    EXPECT_EQ(this->task(old, 0).crashedRuns.size(), 0U);
    EXPECT_EQ(this->task(earlier, 0).crashedRuns.size(), 0U);
    EXPECT_EQ(this->task(last, 0).crashedRuns.size(), 1U);
}

// Guards against crashes that are not counted, as the answer to another order than a hold tells of
// the next incarnation first.
TEST_F(CrashedWorkerTest, CountsCrashesThatAnyOrderTellsOf)
{
    this->world.coordinator.begin(1, Instant(1000), 1000, Instant(1000));
    this->addWorkers({"w1"}, 1000);
    const JobId lost = this->world.submit(oneTask(false), 1000);
    const JobId beside = this->world.submit(oneTask(false), 1000);
    this->world.commit(1010);
    const WorkerId worker("w1");
    const auto answerStart = [&](const JobId &job, std::int64_t at, OrderOutcome outcome) {
        this->world.coordinator.startAnswered(worker, TaskRef{job, 0, 0, 0}, 1, Instant(at),
                                              outcome);
    };
    answerStart(beside, 1020, OrderOutcome::Accepted);
    // The worker crashes before its reply arrives; another incarnation answers the next try.
    answerStart(lost, 1020, OrderOutcome::Unanswered);
    answerStart(lost, 1300, OrderOutcome::OtherIncarnation);
    EXPECT_EQ(this->task(lost, 0).crashedRuns.size(), 1U);
    EXPECT_EQ(this->task(beside, 0).crashedRuns.size(), 1U);
    this->world.coordinator.stopAnswered(worker, TaskRef{lost, 0, 0, 0}, 1, Instant(1400),
                                         OrderOutcome::OtherIncarnation);
    EXPECT_EQ(this->task(lost, 0).crashedRuns.size(), 1U) << "counted once";
    EXPECT_TRUE(this->task(lost, 0).worker.empty());
}

// Guards against tasks that are blamed when their leases lapse though the worker replies, as in an
// outage of the store; the loss of a worker that goes without a word counts.
TEST_F(CrashedWorkerTest, BlamesTasksForLapsedLeasesOnlyIfTheWorkerIsSilent)
{
    // Shorter than the time at work after which a task is harmless.
    WorkerBounds bounds;
    bounds.longestLease = Coordinator::harmlessAge / 2;
    for (const bool replies : {true, false}) {
        CoordinatorWorld lapsing(bounds);
        lapsing.coordinator.begin(1, Instant(1000), 1000, Instant(1000));
        lapsing.coordinator.setWorker(entryOf("w1"), Instant(1000));
        lapsing.reply(WorkerId("w1"), 1000, 500);
        const JobId job = lapsing.submit(oneTask(false), 1000);
        lapsing.commit(1010);
        lapsing.coordinator.startAnswered(WorkerId("w1"), TaskRef{job, 0, 0, 0}, 1, Instant(1020),
                                          OrderOutcome::Accepted);
        for (std::int64_t at = 1020; !lapsing.task(job).worker.empty() && at < 20000; at += 100) {
            if (replies || at == 1020) {
                lapsing.reply(WorkerId("w1"), at, 500 + at - 1000, {TaskRef{job, 0, 0, 0}});
            }
            lapsing.coordinator.tick(Instant(at), at, false);
        }
        EXPECT_TRUE(lapsing.task(job).worker.empty());
        EXPECT_EQ(lapsing.task(job).crashedRuns.size(), replies ? 0U : 1U) << replies;
    }
}

// Many jobs, some deadly, while coordinators are lost and orders are lost or delayed.
RC_GTEST_PROP(CrashingTaskProperty, OnlyDeadlyJobsAreGivenUp, ())
{
    FaultRates rates;
    rates.orderLost = *rc::gen::inRange(0, 10);
    rates.replyLost = *rc::gen::inRange(0, 10);
    rates.orderDelayed = *rc::gen::inRange(0, 5);
    CrashingJobs jobs(*rc::gen::inRange<std::uint64_t>(0, 100000), rates);
    const int losses = *rc::gen::inRange(0, 3);
    const int deadlyOneIn = *rc::gen::inRange(3, 12);
    for (int round = 0; round < 24; ++round) {
        const bool deadly = *rc::gen::inRange(0, deadlyOneIn) == 0 && jobs.deadlyJobs.size() < 6;
        jobs.submit(deadly, *rc::gen::inRange<std::uint32_t>(1, 6), 800);
        jobs.simulation.run(*rc::gen::inRange(100, 600));
        if (losses > 0 && round % (24 / losses) == 5) {
            jobs.simulation.killOwner(1000);
        }
    }
    jobs.simulation.heal();
    jobs.simulation.run(60000);
    const std::vector<std::string> violations = jobs.violations();
    for (const std::string &violation : violations) {
        RC_LOG() << violation << std::endl;
    }
    RC_ASSERT(violations.empty());
}

} // namespace
} // namespace godwitfall::jobtests
