#include <gtest/gtest.h>

#include "fakes/nodeworld.h"

namespace godwitfall {
namespace {

using fakes::FakeWorker;
using fakes::NodeWorld;

constexpr Resources roomy{4000, 4000, 0, 4};
constexpr std::int64_t settleMs = 3000;

/** What happens while a worker with a running task is gone for good. */
struct GoneCase
{
    const char *name;
    bool restart;           ///< Every instance of the zone restarts.
    std::int64_t logOutage; ///< The log can't be reached for that long.
};

class GoneWorker : public testing::TestWithParam<GoneCase>
{};

// Guards against: a task stayed claimed for ever once no instance listed its worker any more, as
// instances fenced only workers of their list.
TEST_P(GoneWorker, TaskRunsElsewhere)
{
    NodeWorld world;
    FakeWorker &gone = world.addWorker("w1", roomy);
    world.start("a");
    world.run(settleMs);
    world.command("a", "submit task t team x milli_cores 1000 memory_mb 100 run_ms 60000");
    world.run(settleMs);
    ASSERT_EQ(gone.runningTasks().size(), 1U);
    FakeWorker &left = world.addWorker("w2", roomy);
    world.removeWorker("w1");
    if (GetParam().restart) {
        world.start("a");
    }
    if (GetParam().logOutage > 0) {
        world.logReachable = false;
        world.run(GetParam().logOutage);
        world.logReachable = true;
    }
    world.run(30000);
    EXPECT_EQ(world.task("a", "t").worker(), "w2") << world.task("a", "t").reason();
    EXPECT_EQ(left.runningTasks().size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(WorkerLeases, GoneWorker,
                         testing::Values(GoneCase{"NothingElse", false, 0},
                                         GoneCase{"InstancesRestart", true, 0},
                                         GoneCase{"LogOutage", false, 20000},
                                         GoneCase{"InstancesRestartInLogOutage", true, 20000}),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace godwitfall
