#include "fairqueue.h"

#include <gtest/gtest.h>

namespace godwitfall {
namespace {

TEST(FairQueue, ServesCallersRoundRobin)
{
    FairQueue queue;
    for (std::uint64_t entry = 1; entry <= 4; ++entry) {
        queue.push("busy", entry);
    }
    queue.push("quiet", 10);
    EXPECT_EQ(queue.pop(), 1U);
    EXPECT_EQ(queue.pop(), 10U);
    EXPECT_EQ(queue.pop(), 2U);
    EXPECT_EQ(queue.size(), 2U);
}

TEST(FairQueue, RemovesCallerWithoutEntries)
{
    FairQueue queue;
    queue.push("a", 1);
    EXPECT_TRUE(queue.remove("a", 1));
    EXPECT_FALSE(queue.remove("a", 1));
    EXPECT_EQ(queue.callers(), 0U);
    EXPECT_EQ(queue.pop(), std::nullopt);
}

TEST(FairQueue, PutsEntryBackAtHead)
{
    FairQueue queue;
    queue.push("a", 1);
    queue.push("b", 2);
    const auto entry = queue.pop();
    queue.pushFront("a", *entry);
    EXPECT_EQ(queue.pop(), 1U);
}

} // namespace
} // namespace godwitfall
