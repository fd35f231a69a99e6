// Open jobs of which nothing is at work are reported with what keeps them idle.
#include <gtest/gtest.h>

#include "coordinatorworld.h"

namespace godwitfall::jobtests {
namespace {

/** What a worker does with the job's only task. */
enum class Placed { Nowhere, SilentWorker, Halted, AtWork };

struct Case
{
    const char *name;
    Placed placed = Placed::Nowhere;
    std::int64_t freeMilliCores = 0; ///< Of the only worker, for a task that needs a core.
    bool draining = false;
    std::optional<DelayReason> reason; ///< None: the job is not idle.
    PlacementObstacle obstacle = PlacementObstacle::None;
};

TEST(IdleJobsTest, AreReportedWithWhatTheirFirstTaskWaitsFor)
{
    const Case cases[] = {
        {"no capacity", Placed::Nowhere, 500, false, DelayReason::NoWorker,
         PlacementObstacle::Capacity},
        {"its worker leaves", Placed::Nowhere, 4000, true, DelayReason::NoWorker,
         PlacementObstacle::TakesNoTasks},
        {"on a silent worker", Placed::SilentWorker, 4000, false, DelayReason::Lease},
        {"halted", Placed::Halted, 4000, false, DelayReason::Halted},
        {"at work", Placed::AtWork, 4000, false, std::nullopt},
    };
    for (const Case &given : cases) {
        CoordinatorWorld world;
        const JobId id = world.submit(oneTask(false), 1000);
        const TaskRef ref{id, 0, 0, 0};
        world.coordinator.begin(1, Instant(1000), 1000, Instant(1000));
        WorkerEntry entry = entryOf(lostWorker.value());
        entry.capacity.milliCores = given.freeMilliCores;
        entry.draining = given.draining;
        world.coordinator.setWorker(entry, Instant(1000));
        world.reply(lostWorker, 1000, 0);
        if (given.placed != Placed::Nowhere) {
            world.commit(1010);
            world.coordinator.startAnswered(lostWorker, ref, 1, Instant(1020),
                                            OrderOutcome::Accepted);
            world.reply(lostWorker, 1100, 100, {ref});
            world.task(id).pace = given.placed == Placed::Halted ? 0 : 100;
        }
        const bool replies = given.placed != Placed::SilentWorker;
        for (std::int64_t at = 1200; replies && at < 4400; at += 200) {
            world.reply(lostWorker, at, at - 1000,
                        given.placed == Placed::Nowhere ? std::vector<TaskRef>()
                                                        : std::vector<TaskRef>{ref});
        }
        EXPECT_TRUE(world.coordinator.idleJobs(Instant(3900)).empty()) << given.name;
        const std::vector<IdleJob> idle = world.coordinator.idleJobs(Instant(4400));
        ASSERT_EQ(idle.size(), given.reason ? 1U : 0U) << given.name;
        if (given.reason) {
            EXPECT_EQ(idle[0].first.reason, *given.reason) << given.name;
            EXPECT_EQ(idle[0].first.task, ref) << given.name;
        }
        if (given.placed == Placed::Nowhere) {
            EXPECT_EQ(world.coordinator.obstacleFor(ref, Instant(4400)), given.obstacle)
                << given.name;
        }
    }
}

} // namespace
} // namespace godwitfall::jobtests
