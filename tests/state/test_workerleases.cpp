#include <memory>

#include <gtest/gtest.h>

#include "fakes/nodeworld.h"
#include "rendezvous.h"

namespace godwitfall {
namespace {

using fakes::FakeWorker;
using fakes::NodeWorld;

constexpr Resources roomy{4000, 4000, 0, 4};
constexpr std::int64_t settleMs = 3000;

/** Returns the one of the instances a and b that should own the worker when both are alive. */
std::string preferredOf(const std::string &worker)
{
    return rendezvousOwner(worker, {InstanceId("a"), InstanceId("b")}).value();
}

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

/** A worker whose owner hands it to a preferred instance that started later. */
class Transfer : public testing::Test
{
protected:
    Transfer()
    {
        this->world.start(this->former);
        this->world.run(settleMs);
    }

    /** Returns the worker as its former owner knows it. */
    Worker atFormer()
    {
        return this->world.node(this->former).workerTable().read([](const WorkerTable &table) {
            return *table.find(WorkerId("w"));
        });
    }

    NodeWorld world;
    FakeWorker &worker = this->world.addWorker("w", roomy);
    const std::string preferred = preferredOf("w");
    const std::string former = preferred == "a" ? "b" : "a";
};

// Guards against: one long call kept the whole worker from new work until the call had ended.
TEST_F(Transfer, LongCallDoesNotHoldTheWorker)
{
    constexpr std::int64_t longCall = 60000;
    this->worker.callTime = Duration(longCall);
    this->world.request(this->former, "long", longCall * 2);
    this->world.run(100);
    this->worker.callTime = Duration(20);
    this->world.start(this->preferred);
    this->world.run(8000);
    EXPECT_TRUE(this->world.owns(this->preferred, "w"));
    this->world.request(this->preferred, "short", 2000);
    this->world.run(2500);
    EXPECT_EQ(this->world.outcome("short"), "ANSWERED_WHOLE");
    this->world.run(longCall);
    EXPECT_EQ(this->world.outcome("long"), "ANSWERED_WHOLE");
}

// Guards against: a claim that awaited the log kept the whole worker from serving requests for as
// long as the log was out of reach.
TEST_F(Transfer, UndecidedClaimDoesNotHoldTheWorker)
{
    this->world.start(this->preferred);
    this->world.run(1000);
    this->world.command(this->former, "submit task t team x milli_cores 1000 memory_mb 100 run_ms "
                                      "60000");
    while (this->world.task(this->former, "t").spec().task().empty()) {
        this->world.run(10);
    }
    this->world.logReachable = false;
    this->world.run(9000);
    this->world.request(this->preferred, "short", 2000);
    this->world.run(2500);
    EXPECT_EQ(this->world.outcome("short"), "ANSWERED_WHOLE");
}

// Guards against: a transfer went on after its reason had gone, so that the worker got no new work
// and then had no owner for a while.
TEST_F(Transfer, EndsWhenThePreferredInstanceIsGone)
{
    this->worker.callTime = Duration(60000);
    this->world.request(this->former, "long", 120000);
    this->world.run(100);
    this->worker.callTime = Duration(20);
    this->world.start(this->preferred);
    while (!this->atFormer().transferring) {
        this->world.run(10);
    }
    const Epoch epoch = this->atFormer().epoch;
    this->world.kill(this->preferred);
    this->world.run(2000);
    EXPECT_FALSE(this->atFormer().transferring);
    EXPECT_TRUE(this->world.owns(this->former, "w"));
    EXPECT_EQ(this->atFormer().epoch, epoch);
}

// Guards against: more pending tasks of a lost zone than one scan covers kept the other tasks of
// their team from being claimed anywhere.
TEST(TaskSchedulerTest, TasksOfAnotherZoneDoNotHoldOthers)
{
    NodeWorld world;
    FakeWorker &worker = world.addWorker("w", roomy);
    world.start("a");
    world.run(settleMs);
    const std::string size = " team x milli_cores 1000 memory_mb 100 run_ms 60000";
    for (int index = 0; index < 300; ++index) {
        world.command("a", "submit task far" + std::to_string(index) + size + " zone y");
    }
    world.command("a", "submit task t" + size);
    world.run(settleMs);
    EXPECT_EQ(world.task("a", "far299").spec().zone(), "y");
    EXPECT_EQ(world.task("a", "far299").state(), wire::PENDING);
    EXPECT_EQ(world.task("a", "t").state(), wire::CLAIMED);
    EXPECT_EQ(worker.runningTasks().size(), 1U);
}

/** A table with one worker that this instance owns. */
class Ejection : public testing::Test
{
protected:
    Ejection()
    {
        this->times.ownerLease = Duration(1000000);
        this->times.renewEvery = Duration(1000000);
        this->table = std::make_unique<WorkerTable>(ZoneId("z"), this->times,
                                                    makeWorkerChooser("random", this->random));
        wire::InstanceList list;
        wire::ListedWorker &entry = *list.add_workers();
        entry.set_worker("w");
        entry.set_zone("z");
        this->table->applyList(list, Instant(1), Instant(1));
        this->own(1, Instant(1));
    }

    void own(std::uint64_t incarnation, Instant now)
    {
        wire::WorkerReply grant;
        grant.set_epoch(++this->epoch);
        grant.set_incarnation(incarnation);
        WorkerTable::loseOwnership(this->worker());
        this->table->becomeOwner(this->worker(), grant, now, now);
    }

    Worker &worker() { return *this->table->find(WorkerId("w")); }

    void fail(int tasks, Instant now)
    {
        for (int index = 0; index < tasks; ++index) {
            WorkerTable::observeEnd(this->worker(), "t" + std::to_string(++this->lastTask), true,
                                    this->times, now);
        }
    }

    LeaseTimes times;
    Random random{1};
    std::unique_ptr<WorkerTable> table;
    std::uint64_t epoch = 0;
    int lastTask = 0;
};

// Guards against: an ejection of up to ten minutes was carried over to the worker's next
// incarnation, to which the failures say nothing.
TEST_F(Ejection, EndsWithTheIncarnation)
{
    this->fail(3, Instant(1000));
    this->own(1, Instant(2000));
    EXPECT_FALSE(this->table->takesWork(this->worker(), Instant(3000)));
    this->own(2, Instant(4000));
    EXPECT_TRUE(this->table->takesWork(this->worker(), Instant(5000)));
    this->fail(2, Instant(6000));
    EXPECT_TRUE(this->table->takesWork(this->worker(), Instant(7000)));
}

// Guards against: tasks that failed together ejected the worker once each, which doubled the
// ejection to its longest although the worker had no chance to prove itself in between.
TEST_F(Ejection, CountsTasksThatFailTogetherOnce)
{
    this->fail(12, Instant(1000));
    const Instant over = Instant(1000) + this->times.firstEjection;
    EXPECT_FALSE(this->table->takesWork(this->worker(), over - Duration(1)));
    EXPECT_TRUE(this->table->takesWork(this->worker(), over));
    this->fail(1, over);
    EXPECT_FALSE(this->table->takesWork(this->worker(), over + this->times.firstEjection));
    EXPECT_TRUE(this->table->takesWork(this->worker(), over + this->times.firstEjection * 2));
}

} // namespace
} // namespace godwitfall
