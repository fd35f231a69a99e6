// After a random schedule of faults no job of short-lived tasks stands still beyond the platform's
// bound while there is free capacity.
#include <iostream>
#include <string>
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

constexpr int mostFaults = 4;
/** Latest begin of a fault, and longest length. */
constexpr std::int64_t longestMs = 8000;
constexpr std::size_t mostTargets = 8;

rc::Gen<std::vector<Fault>> faults()
{
    const rc::Gen<Fault> one = rc::gen::build<Fault>(
        rc::gen::set(&Fault::kind,
                     rc::gen::element(FaultKind::OwnerLost, FaultKind::WorkerLost,
                                      FaultKind::OwnerKilled, FaultKind::OwnerFrozen,
                                      FaultKind::OwnerCutFromStore, FaultKind::OwnerReadsStalled,
                                      FaultKind::WorkerReplaced, FaultKind::WorkerRestarted,
                                      FaultKind::WorkerCut, FaultKind::WorkerRestartedInSeries,
                                      FaultKind::WorkerRestartedBehindCuts, FaultKind::OrdersLost,
                                      FaultKind::OrdersDelayed, FaultKind::InstancesKilled)),
        rc::gen::set(&Fault::atMs, rc::gen::inRange<std::int64_t>(0, longestMs)),
        rc::gen::set(&Fault::lengthMs, rc::gen::inRange<std::int64_t>(200, longestMs)),
        rc::gen::set(&Fault::target, rc::gen::inRange<std::size_t>(0, mostTargets)));
    // The size limits the number of faults, but not their times.
    return rc::gen::resize(
        mostFaults, rc::gen::container<std::vector<Fault>>(rc::gen::resize(rc::kNominalSize, one)));
}

/** Plays the schedule with jobs of short-lived tasks only; returns the violations. */
std::vector<std::string> playIdle(std::uint64_t seed, const std::vector<Fault> &faults)
{
    FaultSchedule schedule;
    schedule.seed = seed;
    schedule.faults = faults;
    schedule.shortLivedOnly = true;
    return play(schedule);
}

std::vector<std::string> playRandom()
{
    const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1000).as("seed");
    return playIdle(seed, *faults().as("faults"));
}

/** Prints the violations, a line each. */
void print(const std::vector<std::string> &violations)
{
    for (const std::string &violation : violations) {
        std::cout << "broken: " << violation << std::endl;
    }
}

/** A schedule on which a job stood still too long, by what the coordinator waited for. */
struct FoundSchedule
{
    const char *name;
    std::vector<Fault> faults;
    std::uint64_t seed = 0;
};

std::ostream &operator<<(std::ostream &stream, const FoundSchedule &found)
{
    stream << found.name;
    for (const Fault &fault : found.faults) {
        stream << ' ' << fault;
    }
    return stream;
}

class IdleScheduleTest : public testing::TestWithParam<FoundSchedule>
{};

TEST_P(IdleScheduleTest, NoJobStandsStillBeyondBound)
{
    const std::vector<std::string> violations = playIdle(GetParam().seed, GetParam().faults);
    print(violations);
    EXPECT_TRUE(violations.empty());
}

std::string nameOf(const testing::TestParamInfo<FoundSchedule> &info)
{
    return info.param.name;
}

INSTANTIATE_TEST_SUITE_P(
    Passing, IdleScheduleTest,
    testing::Values(
        // The start had no reply, and the owner that sent it was lost seconds later.
        FoundSchedule{"UnansweredStartThenOwnerCutFromStore",
                      {Fault{FaultKind::WorkerReplaced, 2119, 2353, 0},
                       Fault{FaultKind::OwnerCutFromStore, 4828, 3793, 0}},
                      627},
        FoundSchedule{"UnansweredStartThenInstancesKilled",
                      {Fault{FaultKind::WorkerLost, 1381, 0, 0},
                       Fault{FaultKind::InstancesKilled, 6814, 6283, 0}},
                      102},
        // The same at once.
        FoundSchedule{"WorkerAndInstancesLost",
                      {Fault{FaultKind::WorkerLost, 7868, 0, 6},
                       Fault{FaultKind::InstancesKilled, 7825, 4162, 0}},
                      470},
        // Orders to former incarnations of a worker that is lost then had no reply.
        FoundSchedule{"WorkerRestartedThenLost",
                      {Fault{FaultKind::WorkerRestartedInSeries, 934, 3000, 4},
                       Fault{FaultKind::InstancesKilled, 1217, 7677, 0},
                       Fault{FaultKind::WorkerReplaced, 7217, 2435, 1}},
                      729},
        FoundSchedule{"WorkerRestartedBehindCutsThenLost",
                      {Fault{FaultKind::WorkerRestartedBehindCuts, 89, 1499, 1},
                       Fault{FaultKind::WorkerLost, 1425, 0, 5},
                       Fault{FaultKind::InstancesKilled, 3374, 2081, 0},
                       Fault{FaultKind::WorkerRestartedBehindCuts, 3815, 1879, 1}},
                      605}),
    nameOf);

RC_GTEST_PROP(IdleScheduleProperty, NoJobStandsStillBeyondBound, ())
{
    const std::vector<std::string> violations = playRandom();
    for (const std::string &violation : violations) {
        RC_LOG() << violation << std::endl;
    }
    RC_ASSERT(violations.empty());
}

} // namespace
} // namespace godwitfall::jobtests
