// Runs that may be at work on a worker though no record places them there: they keep their place
// until they have ended, and no longer.
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "boundedstep.h"

namespace godwitfall::jobtests {
namespace {

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

} // namespace
} // namespace godwitfall::jobtests
