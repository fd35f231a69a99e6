// No start reaches a worker of an evacuated zone too late, whatever else fails at the same time.
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "faultschedule.h"

namespace godwitfall::jobtests {

void showValue(const Fault &fault, std::ostream &stream)
{
    stream << fault;
}

namespace {

constexpr Duration evacuationTime{5000};
constexpr int mostFaults = 5;
/** Latest begin of a fault, and longest length. */
constexpr std::int64_t longestMs = 12000;
constexpr std::size_t mostTargets = 8;

/** Submits short-lived jobs for the time. */
void runWithJobs(JobSimulation &simulation, std::int64_t milliseconds)
{
    constexpr std::int64_t gapMs = 100;
    for (std::int64_t at = 0; at < milliseconds; at += gapMs) {
        simulation.submit({stepOf(2, 300)});
        simulation.run(gapMs);
    }
}

struct DisabledCase
{
    const char *name;
    DisabledMechanism disabled;
    std::int64_t stallMs; ///< For which the owner can't read the request.
    bool detected;
};

class EvacuationCheckTest : public testing::TestWithParam<DisabledCase>
{};

// Guards against a check that finds nothing: without each part, a start reaches the zone too late.
TEST_P(EvacuationCheckTest, NoticesLateStarts)
{
    JobSimulation simulation(1, FaultRates(), GetParam().disabled, evacuationTime);
    simulation.run(1500);
    simulation.stallOwnerRequestReads(GetParam().stallMs);
    runWithJobs(simulation, 300);
    simulation.evacuateZone(0, 8000);
    runWithJobs(simulation, 9000);
    simulation.run(5000);
    EXPECT_EQ(!simulation.ledger().broken.empty(), GetParam().detected);
    EXPECT_GT(simulation.startsInEvacuatedZones(), 0U) << "before the request is known";
    for (const JobId &id : simulation.accepted()) {
        EXPECT_EQ(simulation.shown(id), jobs::COMPLETED) << id.value();
    }
}

INSTANTIATE_TEST_SUITE_P(
    Mechanisms, EvacuationCheckTest,
    testing::Values(DisabledCase{"AllInForce", DisabledMechanism::None, 9000, false},
                    DisabledCase{"NoRequests", DisabledMechanism::EvacuationRequests, 0, true},
                    DisabledCase{"NoBound", DisabledMechanism::EvacuationBound, 9000, true}),
    [](const auto &info) { return std::string(info.param.name); });

TEST(EvacuatedZonesTest, AllZonesWaitAndContinue)
{
    JobSimulation simulation(2, FaultRates(), DisabledMechanism::None, evacuationTime);
    simulation.run(1500);
    simulation.evacuateZone(0, 8000);
    simulation.evacuateZone(1, 8000);
    simulation.run(200);
    const std::uint64_t before = simulation.ledger().starts;
    runWithJobs(simulation, 3000);
    EXPECT_EQ(simulation.ledger().starts, before);
    EXPECT_EQ(simulation.accepted().size(), 30U) << "submissions are accepted";
    simulation.run(15000);
    EXPECT_EQ(simulation.ledger().broken, std::vector<std::string>());
    for (const JobId &id : simulation.accepted()) {
        EXPECT_EQ(simulation.shown(id), jobs::COMPLETED) << id.value();
    }
}

struct ScheduleCase
{
    const char *name;
    std::vector<Fault> faults;
};

class EvacuationScheduleTest : public testing::TestWithParam<ScheduleCase>
{};

/** Plays the schedule; returns what is broken. Left out are long-running tasks that were late as
 * they had waited for an earlier run, as on schedules without evacuations (issue 26). */
std::vector<std::string> broken(const FaultSchedule &schedule)
{
    std::vector<std::string> violations = play(schedule);
    std::erase_if(violations, [](const std::string &violation) {
        return violation.find("lease") != std::string::npos &&
               violation.find(" did not run from ") != std::string::npos;
    });
    return violations;
}

TEST_P(EvacuationScheduleTest, NothingIsBroken)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        EXPECT_EQ(broken(FaultSchedule{seed, GetParam().faults}), std::vector<std::string>());
    }
}

constexpr Fault evacuated(std::int64_t atMs, std::int64_t lengthMs, std::size_t zone)
{
    return Fault{FaultKind::ZoneEvacuated, atMs, lengthMs, zone};
}

INSTANTIATE_TEST_SUITE_P(
    Kinds, EvacuationScheduleTest,
    testing::Values(
        ScheduleCase{"OneZone", {evacuated(1000, 9000, 0)}},
        ScheduleCase{"TwoZones", {evacuated(1000, 9000, 0), evacuated(4000, 3000, 1)}},
        ScheduleCase{"WithdrawnWhileInProgress",
                     {evacuated(1000, 300, 0), evacuated(2000, 9000, 0)}},
        ScheduleCase{"OwnerFrozen",
                     {evacuated(1000, 12000, 0), Fault{FaultKind::OwnerFrozen, 900, 7000, 0}}},
        ScheduleCase{
            "OwnerCutFromStore",
            {evacuated(1000, 12000, 0), Fault{FaultKind::OwnerCutFromStore, 900, 9000, 0}}},
        ScheduleCase{"OwnerLost",
                     {evacuated(1000, 12000, 0), Fault{FaultKind::OwnerLost, 1010, 0, 0}}},
        ScheduleCase{"OwnerKilledTwice",
                     {evacuated(1000, 12000, 0), Fault{FaultKind::OwnerKilled, 990, 300, 0},
                      Fault{FaultKind::OwnerKilled, 4000, 300, 0}}},
        ScheduleCase{
            "RequestsUnread",
            {evacuated(1000, 12000, 0), Fault{FaultKind::RequestReadsStalled, 900, 8000, 0}}},
        ScheduleCase{"HistoryDroppedAfterTheReturn",
                     {evacuated(1000, 4000, 0),
                      Fault{FaultKind::RequestReadsStalled, 4900, 3000, 0},
                      Fault{FaultKind::RequestHistoryDropped, 5500, 0, 0}}},
        ScheduleCase{"OrdersDelayed",
                     {evacuated(1000, 12000, 0), Fault{FaultKind::OrdersDelayed, 500, 4000, 0},
                      Fault{FaultKind::OrdersLost, 500, 4000, 1}}}),
    [](const auto &info) { return std::string(info.param.name); });

RC_GTEST_PROP(EvacuationScheduleProperty, NothingIsBroken, ())
{
    const auto faultOf = [](rc::Gen<FaultKind> kind) {
        return rc::gen::build<Fault>(
            rc::gen::set(&Fault::kind, std::move(kind)),
            rc::gen::set(&Fault::atMs, rc::gen::inRange<std::int64_t>(0, longestMs)),
            rc::gen::set(&Fault::lengthMs, rc::gen::inRange<std::int64_t>(200, longestMs)),
            rc::gen::set(&Fault::target, rc::gen::inRange<std::size_t>(0, mostTargets)));
    };
    const rc::Gen<Fault> any = faultOf(rc::gen::element(
        FaultKind::ZoneEvacuated, FaultKind::RequestReadsStalled, FaultKind::RequestHistoryDropped,
        FaultKind::OwnerLost, FaultKind::WorkerLost, FaultKind::OwnerKilled, FaultKind::OwnerFrozen,
        FaultKind::OwnerCutFromStore, FaultKind::OwnerReadsStalled, FaultKind::WorkerReplaced,
        FaultKind::WorkerRestarted, FaultKind::WorkerCut, FaultKind::OrdersLost,
        FaultKind::OrdersDelayed));
    FaultSchedule schedule;
    schedule.seed = *rc::gen::inRange<std::uint64_t>(0, 1000).as("seed");
    // The size limits the number of faults, but not their times.
    schedule.faults = *rc::gen::resize(mostFaults, rc::gen::container<std::vector<Fault>>(
                                                       rc::gen::resize(rc::kNominalSize, any)))
                           .as("faults");
    schedule.faults.push_back(
        *rc::gen::resize(rc::kNominalSize, faultOf(rc::gen::just(FaultKind::ZoneEvacuated)))
             .as("evacuation"));
    const std::vector<std::string> violations = broken(schedule);
    for (const std::string &violation : violations) {
        RC_LOG() << violation << std::endl;
    }
    RC_ASSERT(violations.empty());
}

} // namespace
} // namespace godwitfall::jobtests
