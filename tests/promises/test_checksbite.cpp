#include "schedule.h"
#include "script.h"

#include <algorithm>
#include <iostream>

#include <gtest/gtest.h>

namespace godwitfall::promises {
namespace {

struct Bite
{
    const char *name;
    Weakening weakening;
    const char *script; ///< Name of a scenario; empty for random schedules.
    const char *seen;   ///< Text that the reported violation must contain.
};

constexpr int mostSchedules = 600;
constexpr std::uint64_t seed = 11;

std::string firstBroken(const Bite &bite)
{
    if (std::string(bite.script).empty()) {
        return runSchedules(bite.weakening, seed, mostSchedules).firstBroken;
    }
    const auto script = std::find_if(scripts().begin(), scripts().end(), [&](const Script &each) {
        return std::string(each.name) == bite.script;
    });
    return runScript(*script, bite.weakening);
}

class ChecksBite : public testing::TestWithParam<Bite>
{};

/** Disables each mechanism in turn: the checks must report the violation that it prevents. */
TEST_P(ChecksBite, DisabledMechanism)
{
    const std::string broken = firstBroken(GetParam());
    std::cout << GetParam().name << ": " << broken << "\n";
    EXPECT_NE(broken.find(GetParam().seen), std::string::npos) << "seen: " << broken;
}

INSTANTIATE_TEST_SUITE_P(
    Promises, ChecksBite,
    testing::Values(Bite{"WorkerIgnoresEpochs", Weakening::WorkerIgnoresEpochs,
                         "OwnerDiesWithOrdersOnTheWay", "runs on"},
                    Bite{"WorkerIgnoresTaskLeases", Weakening::WorkerIgnoresTaskLeases,
                         "CutWorkerPastLapse", "runs on"},
                    Bite{"ClocksDriftBeyondBound", Weakening::ClocksDriftBeyondBound,
                         "CutWorkerPastLapse", "runs on"},
                    Bite{"WorkerForgetsCalls", Weakening::WorkerForgetsCalls, "", "ran"},
                    Bite{"OrdersSentAsRepeatable", Weakening::OrdersSentAsRepeatable,
                         "OrderIsSentEverywhere", "times"},
                    Bite{"LeavingIsNotTold", Weakening::LeavingIsNotTold, "", "leaving worker"},
                    Bite{"RetriesTakeNewNumbers", Weakening::RetriesTakeNewNumbers,
                         "LogFailsDuringEviction", "t="},
                    Bite{"StopWithoutDraining", Weakening::StopWithoutDraining, "StopUnderFullLoad",
                         "no answer"}),
    [](const auto &info) { return info.param.name; });

} // namespace
} // namespace godwitfall::promises
