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
    void begin(std::uint32_t runs, bool done, std::uint32_t mostPerWorker = 1)
    {
        jobs::JobSpec spec = oneTask(false);
        spec.mutable_steps(0)->set_count(2);
        spec.mutable_steps(0)->set_max_per_worker(mostPerWorker);
        spec.mutable_steps(0)->set_required_label("a");
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
        entry.capacity.milliCores = this->milliCores;
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
    std::int64_t milliCores = 64000; ///< Of each worker.
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

/** When what is known of a worker changes, as to a start that is sent there. */
enum class Moment {
    BeforePlacement,
    BeforeStart, ///< The task is placed there; its record is not stored yet.
    AfterTryThatWasNotSent,
    AfterUnansweredTry,
};

struct OrphanCase
{
    const char *name;
    Moment listed;   ///< When the worker lists a run of the first task.
    TaskPhase phase; ///< Of the second task afterwards.
};

class OrphanRunTest : public BoundedStepTest, public testing::WithParamInterface<OrphanCase>
{};

// ROUTE. Guards against a start beside a run of the same step that no record places on the worker,
// however late the worker lists that run. Once it has ended, the start is sent.
TEST_P(OrphanRunTest, CountsAgainstTheBoundOfItsStep)
{
    this->begin(2, true);
    const RunningTask orphan{this->ref(0), 2, {}, 10, 0};
    const bool listedFirst = GetParam().listed == Moment::BeforePlacement;
    this->list(this->worker, false, 1010);
    this->report(this->worker, 1020,
                 listedFirst ? std::vector{orphan} : std::vector<RunningTask>());
    this->world.coordinator.plan(Instant(1030), 1030);
    if (!listedFirst) {
        ASSERT_EQ(this->task(1).phase, TaskPhase::Recording);
    }
    if (GetParam().listed == Moment::BeforeStart) {
        this->report(this->worker, 1040, {orphan});
    }
    this->world.coordinator.takeBatch();
    this->world.coordinator.committed(Instant(1050), true);
    if (GetParam().listed >= Moment::AfterTryThatWasNotSent) {
        ASSERT_EQ(this->startsOf(1), 1U);
        this->answerStart(1, 1060,
                          GetParam().listed == Moment::AfterUnansweredTry ? OrderOutcome::Unanswered
                                                                          : OrderOutcome::NotSent);
        this->report(this->worker, 1070, {orphan});
    }
    for (std::int64_t at = 1080; at < 1600; at += 20) {
        this->world.tick(at);
        this->world.commit(at);
    }
    EXPECT_EQ(this->startsOf(1), 0U);
    EXPECT_EQ(this->task(1).phase, GetParam().phase);
    this->world.coordinator.stopAnswered(this->worker, this->ref(1), this->task(1).run,
                                         Instant(1610), OrderOutcome::Accepted);
    this->report(this->worker, 1620, {}, {EndedTask{1, this->ref(0), 2, RunEnd::Stopped, {}}});
    this->report(this->worker, 1650, {}, {EndedTask{1, this->ref(0), 2, RunEnd::Stopped, {}}});
    this->world.commit(1660);
    EXPECT_EQ(this->startsOf(1), 1U) << "the run has ended";
}

/** What changes while a start waits for its record or for a reply. */
struct ChangeCase
{
    const char *name;
    DropReason reason;
    Moment moment; ///< When it changes.
};

class ChangedConditionTest : public BoundedStepTest, public testing::WithParamInterface<ChangeCase>
{
protected:
    void change(std::int64_t at)
    {
        WorkerEntry entry = entryOf(this->worker.value());
        switch (GetParam().reason) {
        case DropReason::Label:
            entry.kind = "b";
            break;
        case DropReason::Draining:
            entry.draining = true;
            break;
        case DropReason::Service:
            entry.service = ServiceId("vineyard");
            break;
        default:
            this->list(this->formerWorker, true, at);
            this->report(this->formerWorker, at, {RunningTask{this->ref(0), 1, {}, 10, 0}});
            return;
        }
        this->world.coordinator.setWorker(entry, Instant(at));
    }
};

// ROUTE, TWICE, DRAIN. Guards against a start that is sent, or sent again, by what was known of the
// worker when the task was placed. A try without a reply may be carried out yet, so its run is
// stopped.
TEST_P(ChangedConditionTest, DropsTheStart)
{
    const Moment moment = GetParam().moment;
    this->begin(1, false);
    this->list(this->worker, false, 1010);
    this->report(this->worker, 1020, {});
    this->world.coordinator.plan(Instant(1030), 1030);
    ASSERT_EQ(this->task(0).phase, TaskPhase::Recording);
    if (moment == Moment::BeforeStart) {
        this->change(1040);
    }
    this->world.coordinator.takeBatch();
    this->world.coordinator.committed(Instant(1050), true);
    if (moment != Moment::BeforeStart) {
        ASSERT_EQ(this->startsOf(0), 1U);
        this->answerStart(0, 1060,
                          moment == Moment::AfterUnansweredTry ? OrderOutcome::Unanswered
                                                               : OrderOutcome::NotSent);
        this->change(1070);
    }
    this->world.tick(1060 + Coordinator::orderRetry.count() + 10);
    EXPECT_EQ(this->startsOf(0), 0U);
    EXPECT_EQ(this->task(0).phase,
              moment == Moment::AfterUnansweredTry ? TaskPhase::Stopping : TaskPhase::Waiting);
    ASSERT_EQ(this->world.host.droppedStarts.size(), 1U);
    EXPECT_EQ(this->world.host.droppedStarts.front(), std::pair(this->ref(0), GetParam().reason));
}

INSTANTIATE_TEST_SUITE_P(
    Conditions, ChangedConditionTest,
    testing::Values(
        ChangeCase{"LabelBeforeStart", DropReason::Label, Moment::BeforeStart},
        ChangeCase{"LabelAfterUnsentTry", DropReason::Label, Moment::AfterTryThatWasNotSent},
        ChangeCase{"LabelAfterUnansweredTry", DropReason::Label, Moment::AfterUnansweredTry},
        ChangeCase{"ServiceBeforeStart", DropReason::Service, Moment::BeforeStart},
        ChangeCase{"ServiceAfterUnansweredTry", DropReason::Service, Moment::AfterUnansweredTry},
        ChangeCase{"DrainingBeforeStart", DropReason::Draining, Moment::BeforeStart},
        ChangeCase{"DrainingAfterUnsentTry", DropReason::Draining, Moment::AfterTryThatWasNotSent},
        ChangeCase{"DrainingAfterUnansweredTry", DropReason::Draining, Moment::AfterUnansweredTry},
        ChangeCase{"OtherRunBeforeStart", DropReason::OrphanRun, Moment::BeforeStart},
        ChangeCase{"OtherRunAfterUnsentTry", DropReason::OrphanRun, Moment::AfterTryThatWasNotSent},
        ChangeCase{"OtherRunAfterUnansweredTry", DropReason::OrphanRun,
                   Moment::AfterUnansweredTry}),
    [](const auto &info) { return std::string(info.param.name); });

/** How far the first task's second run has come when its first run's end arrives. */
enum class Progress { Sent, Unanswered, Taken, Listed };

struct SupersededCase
{
    const char *name;
    Progress progress;
    bool fullWorker = false; ///< The worker's capacity limits its tasks instead of their step.
};

class SupersededRunTest : public BoundedStepTest, public testing::WithParamInterface<SupersededCase>
{
protected:
    /** Has the second run placed, and the first run's end reported by another worker. */
    void supersede()
    {
        const Progress progress = GetParam().progress;
        if (GetParam().fullWorker) {
            this->milliCores = 1000;
        }
        this->begin(1, false, GetParam().fullWorker ? 0 : 1);
        this->list(this->worker, false, 1010);
        this->report(this->worker, 1020, {});
        this->world.commit(1030);
        ASSERT_EQ(this->startsOf(0), 1U);
        ASSERT_EQ(this->task(1).phase, TaskPhase::Waiting);
        if (progress == Progress::Unanswered) {
            this->answerStart(0, 1040, OrderOutcome::Unanswered);
        } else if (progress != Progress::Sent) {
            this->answerStart(0, 1040, OrderOutcome::Accepted);
        }
        if (progress == Progress::Listed) {
            this->report(this->worker, 1050, {this->secondRun()});
        }
        this->list(this->formerWorker, true, 1060);
        this->report(this->formerWorker, 1070, {},
                     {EndedTask{1, this->ref(0), 1, RunEnd::Done, {}}});
        ASSERT_EQ(this->task(0).phase, TaskPhase::Done);
    }

    RunningTask secondRun() const { return RunningTask{this->ref(0), 2, {}, 10, 0}; }
};

// ROUTE, LIMIT. Guards against a start in the place of a run that continues though an earlier run
// of its task has ended as done on another worker. The run is stopped, and counts until then.
TEST_P(SupersededRunTest, KeepsItsPlaceUntilItHasEnded)
{
    this->supersede();
    EXPECT_TRUE(this->stopSent(2));
    this->world.commit(1080);
    EXPECT_EQ(this->startsOf(1), 0U);
    this->report(this->worker, 1090, {this->secondRun()});
    this->world.commit(1100);
    EXPECT_EQ(this->startsOf(1), 0U);
    this->world.coordinator.stopAnswered(this->worker, this->ref(0), 2, Instant(1110),
                                         OrderOutcome::Accepted);
    this->report(this->worker, 1120, {this->secondRun()});
    this->world.commit(1130);
    EXPECT_EQ(this->startsOf(1), 0U) << "it is being stopped";
    this->report(this->worker, 1140, {}, {EndedTask{1, this->ref(0), 2, RunEnd::Stopped, {}}});
    this->world.commit(1150);
    EXPECT_EQ(this->startsOf(1), 1U) << "it has ended";
}

// LOST. Guards against a task that waits for a run that has ended, where no report listed it at
// work and its stop had no reply.
TEST_P(SupersededRunTest, FreesItsPlaceWithItsEnd)
{
    this->supersede();
    this->report(this->worker, 1090, {}, {EndedTask{1, this->ref(0), 2, RunEnd::Done, {}}});
    this->world.commit(1100);
    EXPECT_EQ(this->startsOf(1), 1U);
}

// LOST. Guards against a task that waits for ever for a run that never began: its worker does not
// reply to the stop.
TEST_P(SupersededRunTest, KeepsItsPlaceNoLongerThanItsLease)
{
    this->supersede();
    const std::int64_t endMs = 1070 + this->world.coordinator.longestLeasedRun().count() + 100;
    for (std::int64_t at = 1080; at < endMs; at += 20) {
        this->report(this->worker, at, {});
        this->world.tick(at);
        this->world.commit(at);
    }
    EXPECT_GE(this->startsOf(1), 1U);
}

/** The first task's second run is superseded by the end of its first one. */
class OrphanEndTest : public BoundedStepTest
{
protected:
    /** Has the second run placed, and its start sent. */
    void start()
    {
        this->begin(1, false);
        this->list(this->worker, false, 1010);
        this->report(this->worker, 1020, {});
        this->world.commit(1030);
        ASSERT_EQ(this->startsOf(0), 1U);
    }

    /** Has another worker report that the first run is done. */
    void finishFirstRun(std::int64_t at)
    {
        this->list(this->formerWorker, true, at);
        this->report(this->formerWorker, at, {}, {EndedTask{1, this->ref(0), 1, RunEnd::Done, {}}});
        ASSERT_EQ(this->task(0).phase, TaskPhase::Done);
    }

    RunningTask secondRun() const { return RunningTask{this->ref(0), 2, {}, 10, 0}; }
};

// ROUTE. Guards against a place that is free though the start of its run may still be carried out:
// a report that does not list the run tells nothing of later.
TEST_F(OrphanEndTest, EarlyReportDoesNotFreeThePlaceOfARunThatMayBegin)
{
    this->start();
    this->answerStart(0, 1040, OrderOutcome::Unanswered);
    this->finishFirstRun(1070);
    this->report(this->worker, 1090, {});
    this->world.commit(1100);
    EXPECT_EQ(this->startsOf(1), 0U);
}

// ROUTE. Guards against the same by a report that was asked for while it may be carried out, and
// arrives after that.
TEST_F(OrphanEndTest, LateReportDoesNotFreeThePlaceOfARunThatMayBegin)
{
    this->start();
    this->answerStart(0, 1040, OrderOutcome::Unanswered);
    this->finishFirstRun(1070);
    const std::int64_t until = 1070 + this->world.coordinator.longestLeasedRun().count();
    for (std::int64_t at = 1080; at < until - 700; at += 20) {
        this->report(this->worker, at, {});
        this->world.tick(at);
        this->world.commit(at);
    }
    ASSERT_EQ(this->startsOf(1), 0U);
    WorkerReport late;
    late.clockMs = until - 640;
    this->world.coordinator.holdAnswered(this->worker, Instant(until - 650), Instant(until + 1),
                                         OrderOutcome::Accepted, late);
    this->world.commit(until + 2);
    EXPECT_EQ(this->startsOf(1), 0U);
}

// ROUTE. Guards against a place that a report frees which was asked for before the run counted as
// superseded, and is older than its start.
TEST_F(OrphanEndTest, ReportAskedForBeforeDoesNotFreeThePlace)
{
    this->start();
    this->answerStart(0, 1069, OrderOutcome::Accepted);
    this->finishFirstRun(1070);
    WorkerReport report;
    report.clockMs = 1060;
    this->world.coordinator.holdAnswered(this->worker, Instant(1050), Instant(1080),
                                         OrderOutcome::Accepted, report);
    this->world.commit(1100);
    EXPECT_EQ(this->startsOf(1), 0U);
}

// ROUTE. Guards against the same by a report that is older than the confirmed stop.
TEST_F(OrphanEndTest, StopConfirmedBeforeTheReportWasAskedForFreesThePlace)
{
    this->start();
    this->answerStart(0, 1040, OrderOutcome::Unanswered);
    this->finishFirstRun(1070);
    this->world.coordinator.stopAnswered(this->worker, this->ref(0), 2, Instant(1090),
                                         OrderOutcome::Accepted);
    WorkerReport report;
    report.clockMs = 1080;
    this->world.coordinator.holdAnswered(this->worker, Instant(1080), Instant(1100),
                                         OrderOutcome::Accepted, report);
    this->world.commit(1110);
    EXPECT_EQ(this->startsOf(1), 0U);
    this->report(this->worker, 1130, {});
    this->world.commit(1140);
    EXPECT_EQ(this->startsOf(1), 1U);
}

// LOST. Guards against a place that is kept for a run of which nothing was sent.
TEST_F(OrphanEndTest, RunThatWasNeverSentFreesItsPlaceAtOnce)
{
    this->start();
    this->answerStart(0, 1040, OrderOutcome::NotSent);
    this->finishFirstRun(1070);
    this->world.commit(1080);
    EXPECT_EQ(this->startsOf(1), 1U);
}

// ROUTE. Guards against a place that the reply of another worker at its address frees.
TEST_F(OrphanEndTest, StopAnsweredByAnotherWorkerKeepsThePlaceUntilAReport)
{
    this->start();
    this->answerStart(0, 1040, OrderOutcome::Accepted);
    this->report(this->worker, 1050, {this->secondRun()});
    this->finishFirstRun(1070);
    this->world.coordinator.stopAnswered(this->worker, this->ref(0), 2, Instant(1080),
                                         OrderOutcome::OtherIncarnation);
    this->list(this->worker, false, 1085);
    this->world.commit(1090);
    EXPECT_EQ(this->startsOf(1), 0U);
}

// LOST. Guards against a worker that is asked for ever for a run that its lease has ended.
TEST_F(OrphanEndTest, WorkerThatHasLeftIsDiscarded)
{
    this->start();
    this->answerStart(0, 1040, OrderOutcome::Unanswered);
    this->finishFirstRun(1070);
    this->world.coordinator.removeWorker(this->worker, Instant(1080));
    this->world.coordinator.removeWorker(this->formerWorker, Instant(1080));
    std::size_t holds = 0;
    std::int64_t lastHold = 0;
    for (std::int64_t at = 1090; at < 30000; at += 10) {
        this->world.tick(at);
        this->world.commit(at);
        for (const HoldOrder &order : std::exchange(this->world.orders.holds, {})) {
            ++holds;
            lastHold = at;
            this->world.coordinator.holdAnswered(order.target.worker, Instant(at), Instant(at),
                                                 OrderOutcome::Unanswered, {});
        }
    }
    EXPECT_GT(holds, 0U);
    EXPECT_LT(lastHold, 10000);
    // It comes back, and takes the task after its first report.
    this->list(this->worker, false, 30000);
    this->world.commit(30010);
    EXPECT_EQ(this->startsOf(1), 0U);
    this->report(this->worker, 30020, {});
    this->world.commit(30030);
    EXPECT_EQ(this->startsOf(1), 1U);
}

// LOST. Guards against a task that waits for a run of a former incarnation.
TEST_F(OrphanEndTest, RestartEndsOrphanRuns)
{
    this->begin(1, false, 2);
    WorkerEntry entry = entryOf(this->formerWorker.value());
    entry.incarnationStartMs = 500;
    entry.draining = true;
    this->world.coordinator.setWorker(entry, Instant(1010));
    WorkerReport report;
    report.clockMs = 1010;
    report.incarnationStartMs = 500;
    report.running = {RunningTask{this->ref(0), 1, {}, 10, 0}};
    this->world.coordinator.holdAnswered(this->formerWorker, Instant(1010), Instant(1020),
                                         OrderOutcome::Accepted, report);
    this->list(this->worker, false, 1030);
    this->report(this->worker, 1040, {});
    this->world.commit(1050);
    ASSERT_EQ(this->startsOf(0), 0U);
    report.clockMs = 10;
    report.incarnationStartMs = 900;
    report.running.clear();
    this->world.coordinator.holdAnswered(this->formerWorker, Instant(1060), Instant(1070),
                                         OrderOutcome::Accepted, report);
    this->report(this->worker, 1080, {});
    this->world.commit(1090);
    EXPECT_EQ(this->startsOf(0), 1U);
}

// LOST. Guards against a task that waits for a run of a worker that has left and is back.
TEST_F(OrphanEndTest, LeavingEndsOrphanRuns)
{
    this->begin(1, false, 2);
    this->list(this->worker, false, 1010);
    this->report(this->worker, 1020, {RunningTask{this->ref(0), 1, {}, 10, 0}});
    this->world.coordinator.removeWorker(this->worker, Instant(1030));
    for (std::int64_t at = 1040; at < 12000; at += 10) {
        this->world.tick(at);
        this->world.commit(at);
        for (const HoldOrder &order : std::exchange(this->world.orders.holds, {})) {
            this->world.coordinator.holdAnswered(order.target.worker, Instant(at), Instant(at),
                                                 OrderOutcome::Unanswered, {});
        }
    }
    this->list(this->worker, false, 12000);
    this->report(this->worker, 12010, {});
    this->world.commit(12020);
    EXPECT_EQ(this->startsOf(0), 1U);
}

// Guards against a second task on a worker on probation, beside a probe that is superseded.
TEST_F(OrphanEndTest, WorkerOnProbationTakesNothingBesideASupersededProbe)
{
    this->begin(1, false, 0);
    WorkerEntry entry = entryOf(this->worker.value());
    entry.kind = "b";
    this->world.coordinator.setWorker(entry, Instant(1010));
    this->report(this->worker, 1020, {});
    std::vector<EndedTask> failed;
    for (int count = 0; count < 3; ++count) {
        const JobId id = this->world.submit(oneTask(false), 1025);
        failed.push_back(EndedTask{
            static_cast<std::uint64_t>(count + 1), TaskRef{id, 0, 0, 0}, 1, RunEnd::Failed, {}});
    }
    this->world.commit(1030);
    for (const StartOrder &order : std::exchange(this->world.orders.starts, {})) {
        this->world.coordinator.startAnswered(this->worker, order.task, order.run, Instant(1040),
                                              OrderOutcome::Accepted);
    }
    this->report(this->worker, 1060, {}, failed);
    this->list(this->worker, false, 1070);
    for (std::int64_t at = 1080; at < 3080; at += 100) {
        this->report(this->worker, at, {});
        this->world.commit(at);
    }
    ASSERT_EQ(this->world.orders.starts.size(), 0U) << "ejected";
    this->report(this->worker, 3200, {});
    this->world.commit(3210);
    ASSERT_EQ(this->world.orders.starts.size(), 1U) << "the probe";
    ASSERT_EQ(this->startsOf(0), 1U);
    this->answerStart(0, 3220, OrderOutcome::Accepted);
    this->report(this->worker, 3230, {this->secondRun()});
    this->world.commit(3240);
    ASSERT_EQ(this->startsOf(1), 0U);
    this->finishFirstRun(3250);
    this->report(this->worker, 3260, {this->secondRun()});
    this->world.commit(3270);
    EXPECT_EQ(this->startsOf(1), 0U) << "the probe may be at work";
}

// LIMIT. Guards against a start beside an orphan run whose job was not known when it was listed
// first.
TEST_F(OrphanEndTest, RunOfAJobThatIsReadLaterTakesItsCapacity)
{
    this->milliCores = 1000;
    this->world.coordinator.begin(2, Instant(1000), 1000, Instant(1000));
    this->list(this->worker, false, 1010);
    const TaskRef later{JobId("0000000000000001"), 0, 0, 0};
    this->report(this->worker, 1020, {RunningTask{later, 1, {}, 10, 0}});
    ASSERT_EQ(this->world.submit(oneTask(false), 1030), later.job);
    this->report(this->worker, 1040, {RunningTask{later, 1, {}, 10, 0}});
    this->world.submit(oneTask(false), 1050);
    this->world.commit(1060);
    EXPECT_EQ(this->world.orders.starts.size(), 0U);
}

// LIMIT. Guards against starts in the places of a gang that is done by an earlier run.
TEST_F(OrphanEndTest, MembersOfASupersededGangKeepTheirPlaces)
{
    jobs::JobSpec spec = oneTask(false);
    spec.mutable_steps(0)->set_count(2);
    spec.mutable_steps(0)->set_gang(true);
    spec.mutable_steps(0)->set_max_per_worker(1);
    this->milliCores = 1000;
    this->job = this->world.submit(spec, 1000);
    jobs::JobProgress progress;
    progress.set_state(jobs::RUNNING);
    progress.add_steps()->add_runs(1);
    progress.mutable_steps(0)->add_runs(1);
    Job *found = nullptr;
    this->world.table.apply(record(JobTable::progressKey(this->job), progress.SerializeAsString(),
                                   ++this->world.offset),
                            Instant(1000), found);
    this->world.coordinator.begin(2, Instant(1000), 1000, Instant(1000));
    const WorkerId second("w3");
    this->list(this->worker, false, 1010);
    this->list(second, false, 1010);
    this->report(this->worker, 1020, {});
    this->report(second, 1020, {});
    this->world.commit(1030);
    const std::vector<StartOrder> starts = std::exchange(this->world.orders.starts, {});
    ASSERT_EQ(starts.size(), 2U);
    this->list(this->formerWorker, true, 1060);
    this->report(this->formerWorker, 1070, {}, {EndedTask{1, this->ref(1), 1, RunEnd::Done, {}}});
    EXPECT_EQ(this->world.host.supersededRuns.size(), 2U);
    EXPECT_EQ(this->world.orders.stops.size(), 2U);
    this->world.submit(oneTask(false), 1080);
    this->world.commit(1090);
    EXPECT_EQ(this->world.orders.starts.size(), 0U);
    for (const StartOrder &order : starts) {
        this->report(order.target.worker, 1095, {RunningTask{order.task, 2, {}, 10, 0}});
    }
    this->world.commit(1100);
    EXPECT_EQ(this->world.orders.starts.size(), 0U);
    this->report(second, 1130, {});
    this->world.commit(1140);
    EXPECT_EQ(this->world.orders.starts.size(), 1U);
}

/** What is played beside jobs whose steps are as wide as their bounds allow. */
struct TightSchedule
{
    FaultRates rates;
    bool longRunning = false;
    std::uint32_t mostPerWorker = 1;
};

/** Plays jobs with one step that takes all workers at its bound, beside faults of all kinds;
 * returns the violated guarantees. */
std::vector<std::string> playTightBounds(std::uint64_t seed, const TightSchedule &schedule)
{
    constexpr std::size_t fleet = 8;
    constexpr int rounds = 24;
    constexpr std::int64_t cutMs = 9000;
    constexpr std::size_t mostLongRunning = 3;
    /** Runs until the end of any schedule. */
    constexpr std::int64_t longRunMs = 600000;
    std::mt19937_64 random(seed);
    const auto upTo = [&](std::int64_t most) {
        return static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(most + 1));
    };
    JobSimulation simulation(seed, schedule.rates);
    simulation.makeHoldsWait();
    while (simulation.workersEver() < fleet) {
        simulation.addWorker();
    }
    simulation.run(2500);
    std::vector<JobId> longRunning;
    for (int round = 0; round < rounds; ++round) {
        const auto width = static_cast<std::uint32_t>(fleet * schedule.mostPerWorker);
        const std::int64_t workMs = schedule.longRunning ? longRunMs : 300 + upTo(2500);
        jobs::StepSpec step = stepOf(width, static_cast<std::uint32_t>(workMs));
        step.set_max_per_worker(schedule.mostPerWorker);
        step.set_long_running(schedule.longRunning);
        const JobId id = simulation.submit({step});
        if (schedule.longRunning) {
            longRunning.push_back(id);
        }
        if (longRunning.size() > mostLongRunning) {
            simulation.cancel(longRunning.front());
            longRunning.erase(longRunning.begin());
        }
        if (round % 4 == 1) {
            simulation.cutWorker(random() % fleet, cutMs);
        }
        simulation.run(200 + upTo(1500));
    }
    simulation.heal();
    for (const JobId &id : longRunning) {
        simulation.cancel(id);
    }
    simulation.run(40000);
    std::vector<std::string> broken = simulation.ledger().broken;
    for (const JobId &id : simulation.accepted()) {
        if (!schedule.longRunning && simulation.shown(id) != jobs::COMPLETED) {
            broken.push_back("not completed: " + id.value() + "\n" + simulation.ownerView(id));
        }
    }
    return broken;
}

FaultRates ratesOf(int lost, int delayed, int kill)
{
    FaultRates rates;
    rates.orderLost = lost;
    rates.replyLost = lost;
    rates.orderDelayed = delayed;
    rates.perSecondKill = kill;
    return rates;
}

struct ScheduleThatFailed
{
    const char *name;
    TightSchedule schedule;
    std::uint64_t seed;
};

class FoundBoundTest : public testing::TestWithParam<ScheduleThatFailed>
{};

// ROUTE. Guards against a start beside a superseded or orphan run on whole schedules: orders are
// late or lost, workers are cut off, and coordinators are lost.
TEST_P(FoundBoundTest, NoStartExceedsTheBound)
{
    EXPECT_EQ(playTightBounds(GetParam().seed, GetParam().schedule), std::vector<std::string>());
}

// ROUTE, LOST. The same on random schedules, on which all short-lived jobs are completed.
RC_GTEST_PROP(TightBoundProperty, NoStartExceedsTheBound, ())
{
    const auto seed = *rc::gen::inRange<std::uint64_t>(0, 100000).as("seed");
    TightSchedule schedule;
    schedule.rates =
        ratesOf(*rc::gen::inRange(0, 30).as("lost"), *rc::gen::inRange(0, 60).as("delayed"),
                *rc::gen::inRange(0, 120).as("kills"));
    schedule.longRunning = *rc::gen::inRange(0, 4) == 0;
    schedule.mostPerWorker = *rc::gen::inRange<std::uint32_t>(1, 3);
    const std::vector<std::string> broken = playTightBounds(seed, schedule);
    for (const std::string &violation : broken) {
        RC_LOG() << violation << std::endl;
    }
    RC_ASSERT(broken.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Moments, OrphanRunTest,
    testing::Values(
        OrphanCase{"BeforePlacement", Moment::BeforePlacement, TaskPhase::Waiting},
        OrphanCase{"BeforeStart", Moment::BeforeStart, TaskPhase::Waiting},
        OrphanCase{"AfterTryThatWasNotSent", Moment::AfterTryThatWasNotSent, TaskPhase::Waiting},
        OrphanCase{"AfterUnansweredTry", Moment::AfterUnansweredTry, TaskPhase::Stopping}),
    [](const auto &info) { return std::string(info.param.name); });

INSTANTIATE_TEST_SUITE_P(States, SupersededRunTest,
                         testing::Values(SupersededCase{"Sent", Progress::Sent},
                                         SupersededCase{"Unanswered", Progress::Unanswered},
                                         SupersededCase{"Taken", Progress::Taken},
                                         SupersededCase{"Listed", Progress::Listed},
                                         SupersededCase{"SentToFullWorker", Progress::Sent, true},
                                         SupersededCase{"TakenByFullWorker", Progress::Taken, true},
                                         SupersededCase{"ListedByFullWorker", Progress::Listed,
                                                        true}),
                         [](const auto &info) { return std::string(info.param.name); });

INSTANTIATE_TEST_SUITE_P(
    Seeds, FoundBoundTest,
    testing::Values(ScheduleThatFailed{"AllFaults", {ratesOf(20, 20, 60)}, 67},
                    ScheduleThatFailed{"AllFaultsAgain", {ratesOf(20, 20, 60)}, 132},
                    ScheduleThatFailed{"OrdersDelayed", {ratesOf(0, 60, 0)}, 228},
                    ScheduleThatFailed{"OwnersKilled", {ratesOf(20, 0, 120)}, 163}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace godwitfall::jobtests
