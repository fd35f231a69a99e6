// Until when coordinators of former epochs may have sent orders.
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "formerepochs.h"

namespace godwitfall::jobtests {
namespace {

struct LastOrderCase
{
    const char *name;
    std::vector<std::pair<std::uint64_t, std::int64_t>> added; ///< Epoch, and time in ms.
    std::uint64_t epoch;
    std::int64_t lastOrderAt;
};

class FormerEpochsTest : public testing::TestWithParam<LastOrderCase>
{};

// Guards against: an order that may still be carried out counts as older than it is.
TEST_P(FormerEpochsTest, BoundsTheLastOrderOfAnEpoch)
{
    FormerEpochs epochs;
    for (const auto &[epoch, at] : GetParam().added) {
        epochs.add(epoch, Instant(at));
    }
    EXPECT_EQ(epochs.lastOrderAt(GetParam().epoch), Instant(GetParam().lastOrderAt));
}

INSTANTIATE_TEST_SUITE_P(
    Cases, FormerEpochsTest,
    testing::Values(LastOrderCase{"TheEpochItself", {{1, 1000}, {2, 5000}}, 1, 1000},
                    LastOrderCase{"ALaterEpochCoversIt", {{3, 5000}, {4, 9000}}, 2, 5000},
                    LastOrderCase{"NotKnown", {{1, 1000}, {2, 5000}}, 0, 5000},
                    LastOrderCase{"LaterThanAll", {{1, 1000}, {2, 5000}}, 7, 5000},
                    LastOrderCase{"TheTightestReport", {{1, 3000}, {1, 1000}, {1, 2000}}, 1, 1000},
                    LastOrderCase{"ATighterReportOfALaterEpoch", {{1, 3000}, {2, 2000}}, 1, 2000}),
    [](const auto &info) { return std::string(info.param.name); });

// Guards against: the records of owners grow with each takeover.
TEST(FormerEpochsRemovalTest, KeepsTheNewestOfTheOldEpochsAndAllLaterOnes)
{
    FormerEpochs epochs;
    const Instant now(100000);
    epochs.add(1, now - FormerEpochs::keptAge - Duration(2000));
    epochs.add(2, now - FormerEpochs::keptAge - Duration(1));
    epochs.add(3, now - FormerEpochs::keptAge);
    epochs.removeCovered(now);
    EXPECT_EQ(epochs.all().size(), 2U);
    EXPECT_EQ(epochs.lastOrderAt(1), now - FormerEpochs::keptAge - Duration(1));
}

} // namespace
} // namespace godwitfall::jobtests
