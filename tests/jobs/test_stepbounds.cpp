// No start puts a task on a worker of another service, without the label that its step requires, or
// beside more tasks of its step than the step allows there.
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "boundedstep.h"

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

INSTANTIATE_TEST_SUITE_P(
    Seeds, FoundBoundTest,
    testing::Values(ScheduleThatFailed{"AllFaults", {ratesOf(20, 20, 60)}, 67},
                    ScheduleThatFailed{"AllFaultsAgain", {ratesOf(20, 20, 60)}, 132},
                    ScheduleThatFailed{"OrdersDelayed", {ratesOf(0, 60, 0)}, 228},
                    ScheduleThatFailed{"OwnersKilled", {ratesOf(20, 0, 120)}, 163}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace
} // namespace godwitfall::jobtests
