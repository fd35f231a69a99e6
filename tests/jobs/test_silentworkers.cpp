// What a coordinator's records say of workers that do not reply, and what a successor makes of it.
#include <algorithm>
#include <string>

#include <gtest/gtest.h>

#include "coordinatorworld.h"

namespace godwitfall::jobtests {
namespace {

struct AdoptedCase
{
    const char *name;
    bool confirmed; ///< A record says that the worker took the start.
    bool announced; ///< The former coordinator's records call the worker silent.
    std::int64_t leasesLapse = 0;
};

class AdoptedSilenceTest : public testing::TestWithParam<AdoptedCase>
{};

// Guards against: each takeover began the wait for the leases of a worker anew that had been lost
// long before.
TEST_P(AdoptedSilenceTest, IsWaitedForUntilItsLeasesHaveLapsed)
{
    constexpr std::int64_t begunAt = 20000;
    const AdoptedCase &given = GetParam();
    CoordinatorWorld world;
    const Duration leases = world.coordinator.longestLeasedRun();
    const JobId id = world.submit(oneTask(false), 1000);
    world.placedBefore(id, lostWorker, given.confirmed, 1000, 0, 2);
    SilentWorkers silent;
    if (given.announced) {
        silent[lostWorker.value()] = Instant(given.leasesLapse);
    }
    world.coordinator.begin(3, Instant(begunAt), begunAt, Instant(begunAt) + leases, silent);
    const std::int64_t lapse = given.leasesLapse;
    world.runWithoutReplies(begunAt, lapse);
    EXPECT_EQ(world.task(id).worker, lostWorker.value());
    world.runWithoutReplies(lapse + 10, lapse + 100);
    EXPECT_EQ(world.task(id).worker, "");
}

std::int64_t leasesFrom(std::int64_t at)
{
    return at + CoordinatorWorld().coordinator.longestLeasedRun().count();
}

INSTANTIATE_TEST_SUITE_P(
    Records, AdoptedSilenceTest,
    testing::Values(AdoptedCase{"Confirmed", true, true, 21500},
                    AdoptedCase{"Unconfirmed", false, true, 21500},
                    AdoptedCase{"ConfirmedNotAnnounced", true, false, leasesFrom(20000)},
                    AdoptedCase{"UnconfirmedNotAnnounced", false, false, leasesFrom(20000)}),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against: a successor takes the leases of a worker for lapsed that has replied since, and
// got a longer one, as the newest record calls it silent.
TEST(AnnouncedSilenceTest, GetsNoLeaseBeforeARecordWithoutItIsStored)
{
    CoordinatorWorld world;
    world.coordinator.begin(1, Instant(1000), 1000, Instant(1000));
    world.coordinator.setWorker(entryOf(lostWorker.value()), Instant(1000));
    const JobId id = world.submit(oneTask(true), 1000);
    const TaskRef ref{id, 0, 0, 0};
    world.reply(lostWorker, 1000, 0);
    world.commit(1010);
    world.coordinator.startAnswered(lostWorker, ref, 1, Instant(1020), OrderOutcome::Accepted);
    world.reply(lostWorker, 1100, 100, {ref});
    const auto holdAt = [&](std::int64_t at) {
        world.orders.holds.clear();
        world.tick(at);
        return world.orders.holds.empty() ? -1 : world.orders.holds.back().leaseEndMs;
    };
    EXPECT_TRUE(world.coordinator.announceSilent(Instant(1200)).empty());
    world.coordinator.silentAnnounced();
    EXPECT_GT(holdAt(1300), 0);
    world.coordinator.holdAnswered(lostWorker, Instant(1300), Instant(2900),
                                   OrderOutcome::Unanswered, {});
    const SilentWorkers silent = world.coordinator.announceSilent(Instant(3200));
    ASSERT_EQ(silent.size(), 1U);
    // Of a lease that begins with its last reply, whenever the renewal was sent.
    EXPECT_GE(silent.at(lostWorker.value()), Instant(1100) + world.coordinator.leaseLength());
    EXPECT_LE(silent.at(lostWorker.value()), Instant(1100) + world.coordinator.longestLeasedRun());
    world.coordinator.silentAnnounced();

    EXPECT_EQ(holdAt(3300), 0);
    world.reply(lostWorker, 3310, 2310, {ref});
    EXPECT_TRUE(world.coordinator.announcementOutdated(Instant(3310)));
    EXPECT_EQ(holdAt(3400), -1);
    EXPECT_TRUE(world.coordinator.announceSilent(Instant(3410)).empty());
    EXPECT_FALSE(world.coordinator.announcementOutdated(Instant(3410)));
    EXPECT_EQ(holdAt(3420), -1);
    world.coordinator.silentAnnounced();
    EXPECT_GT(holdAt(3430), 0);
}

// Guards against: after a takeover no worker gets a lease before two records are stored, as none of
// them has replied yet, so that a slow store lets all runs lapse.
TEST(AnnouncedSilenceTest, WorkersThatHaveYetToReplyGetLeases)
{
    CoordinatorWorld world;
    const JobId id = world.submit(oneTask(true), 1000);
    world.placedBefore(id, lostWorker, true, 1000, 0, 2);
    world.coordinator.begin(3, Instant(20000), 20000, Instant(26000));
    world.coordinator.setWorker(entryOf(lostWorker.value()), Instant(20000));
    EXPECT_TRUE(world.coordinator.announceSilent(Instant(20010)).empty());
    world.reply(lostWorker, 20100, 500, {TaskRef{id, 0, 0, 0}});
    world.tick(20200);
    ASSERT_FALSE(world.orders.holds.empty());
    EXPECT_GT(world.orders.holds.back().leaseEndMs, 0);
}

class TakeoversAfterALossTest : public testing::TestWithParam<std::uint64_t>
{};

// Guards against: the tasks of a worker that was lost long before wait for its leases from each
// takeover on, and so for as long as takeovers follow each other.
TEST_P(TakeoversAfterALossTest, DoNotBeginTheWaitAnew)
{
    constexpr std::uint32_t tasks = 4;
    JobSimulation simulation(GetParam(), FaultRates());
    simulation.makeHoldsWait();
    jobs::StepSpec step = stepOf(tasks, 600000);
    step.set_long_running(true);
    step.set_max_per_worker(2);
    simulation.run(1500);
    const JobId id = simulation.submit({step});
    simulation.run(3000);
    const auto &running = simulation.ledger().running;
    const auto first = running.find(TaskRef{id, 0, 0, 0});
    ASSERT_TRUE(first != running.end() && !first->second.empty());
    simulation.loseWorker(std::stoul(first->second.begin()->first.substr(1)));
    simulation.run(4000);
    for (int count = 0; count < 3; ++count) {
        simulation.killOwner(200);
        simulation.run(3000);
    }
    for (std::uint32_t index = 0; index < tasks; ++index) {
        const auto found = running.find(TaskRef{id, 0, 0, index});
        EXPECT_TRUE(found != running.end() && !found->second.empty()) << index;
    }
    EXPECT_EQ(simulation.ledger().broken, std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(Seeds, TakeoversAfterALossTest, testing::Range<std::uint64_t>(1, 11));

} // namespace
} // namespace godwitfall::jobtests
