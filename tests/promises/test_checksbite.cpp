#include "scenario.h"
#include "schedule.h"

#include <algorithm>
#include <iostream>

#include <gtest/gtest.h>

namespace godwitfall::guarantees {
namespace {

struct WeakeningCase
{
    const char *name;
    Weakening weakening;
    const char *scenario; ///< Name of a scenario; empty for random schedules.
    const char *expected; ///< Text that the reported violation must contain.
};

constexpr int maxSchedules = 600;
constexpr std::uint64_t seed = 11;

std::string firstViolation(const WeakeningCase &weakeningCase)
{
    if (std::string(weakeningCase.scenario).empty()) {
        return runSchedules(weakeningCase.weakening, seed, maxSchedules).firstViolation;
    }
    const auto scenario =
        std::find_if(scenarios().begin(), scenarios().end(), [&](const Scenario &each) {
            return std::string(each.name) == weakeningCase.scenario;
        });
    return runScenario(*scenario, weakeningCase.weakening);
}

class ChecksDetect : public testing::TestWithParam<WeakeningCase>
{};

/** Disables each mechanism in turn: the checks must report the violation that it prevents. */
TEST_P(ChecksDetect, DisabledMechanism)
{
    const std::string violation = firstViolation(GetParam());
    std::cout << GetParam().name << ": " << violation << "\n";
    EXPECT_NE(violation.find(GetParam().expected), std::string::npos) << "reported: " << violation;
}

INSTANTIATE_TEST_SUITE_P(
    Guarantees, ChecksDetect,
    testing::Values(
        WeakeningCase{"WorkerIgnoresEpochs", Weakening::WorkerIgnoresEpochs,
                      "OwnerDiesWithOrdersInFlight", "runs on"},
        WeakeningCase{"WorkerIgnoresTaskLeases", Weakening::WorkerIgnoresTaskLeases,
                      "DisconnectedWorkerPastLapse", "runs on"},
        WeakeningCase{"ClocksDriftBeyondBound", Weakening::ClocksDriftBeyondBound,
                      "DisconnectedWorkerPastLapse", "runs on"},
        WeakeningCase{"WorkerForgetsCalls", Weakening::WorkerForgetsCalls, "", "ran"},
        WeakeningCase{"OnceRequestsSentAsRepeatable", Weakening::OnceRequestsSentAsRepeatable,
                      "OnceRequestIsSentEverywhere", "times"},
        WeakeningCase{"LeavingIsNotListed", Weakening::LeavingIsNotListed, "", "leaving worker"},
        WeakeningCase{"RetriesTakeNewNumbers", Weakening::RetriesTakeNewNumbers,
                      "LogFailsDuringEviction", "t="},
        WeakeningCase{"StopWithoutDraining", Weakening::StopWithoutDraining, "StopUnderFullLoad",
                      "no answer"}),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace godwitfall::guarantees
