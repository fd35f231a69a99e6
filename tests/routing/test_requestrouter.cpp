#include <gtest/gtest.h>

#include "fakes/nodeworld.h"
#include "rendezvous.h"

namespace godwitfall {
namespace {

using fakes::FakeWorker;
using fakes::NodeWorld;

constexpr Resources oneSlot{4000, 4000, 0, 1};
constexpr std::int64_t settleMs = 3000;

// Guards against: a call that ran for longer than its fate was asked for kept its slot for as long
// as the worker had the same owner.
TEST(RequestRouterTest, SlotOfAnAbandonedCallIsFreedWhenTheCallEnds)
{
    constexpr std::int64_t longCall = 80000;
    NodeWorld world;
    FakeWorker &worker = world.addWorker("w", oneSlot);
    world.start("a");
    world.run(settleMs);
    worker.callTime = Duration(longCall);
    world.request("a", "long", 1000);
    world.run(longCall - 5000);
    EXPECT_EQ(world.outcome("long"), "UNKNOWN");
    ASSERT_EQ(worker.runningCalls(), 1U);
    world.request("a", "early", 500);
    world.run(1000);
    EXPECT_EQ(world.outcome("early"), "NOT_RUN");
    EXPECT_EQ(worker.runningCalls(), 1U);
    worker.callTime = Duration(20);
    world.run(10000);
    ASSERT_EQ(worker.runningCalls(), 0U);
    world.request("a", "next", 2000);
    world.run(2500);
    EXPECT_EQ(world.outcome("next"), "ANSWERED_WHOLE");
}

class TwoInstances : public testing::Test
{
protected:
    TwoInstances()
    {
        this->world.start(this->entry);
        this->world.start(this->owner);
        this->world.run(settleMs);
    }

    NodeWorld world;
    const std::string owner = rendezvousOwner("w", {InstanceId("a"), InstanceId("b")}).value();
    const std::string entry = owner == "a" ? "b" : "a";
};

// Guards against: a request that must not be passed on kept those behind it from being passed on.
TEST_F(TwoInstances, RequestThatCannotBeForwardedDoesNotHoldOthers)
{
    this->world.request(this->entry, "once", 60000, false, "first");
    this->world.run(500);
    this->world.addWorker("w", oneSlot);
    this->world.run(settleMs);
    ASSERT_TRUE(this->world.owns(this->owner, "w"));
    ASSERT_EQ(this->world.outcome("once"), "");
    for (const char *caller : {"second", "first"}) {
        this->world.request(this->entry, caller, 2000, true, caller);
        this->world.run(2500);
        EXPECT_EQ(this->world.outcome(caller), "ANSWERED_WHOLE");
    }
    EXPECT_EQ(this->world.outcome("once"), "");
}

// Guards against: a request that was passed to an instance waited out its budget when that instance
// restarted faster than it was missed.
TEST_F(TwoInstances, ForwardedRequestIsRetriedWhenThePeerRestarts)
{
    FakeWorker &worker = this->world.addWorker("w", oneSlot);
    this->world.run(settleMs);
    ASSERT_TRUE(this->world.owns(this->owner, "w"));
    worker.callTime = Duration(2000);
    this->world.request(this->entry, "forwarded", 20000);
    this->world.run(100);
    ASSERT_EQ(worker.runningCalls(), 1U);
    worker.callTime = Duration(20);
    this->world.start(this->owner);
    this->world.run(8000);
    EXPECT_EQ(this->world.outcome("forwarded"), "ANSWERED_WHOLE");
}

} // namespace
} // namespace godwitfall
