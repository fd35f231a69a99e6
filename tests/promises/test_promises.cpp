#include "schedule.h"

#include <iostream>

#include <gtest/gtest.h>

namespace godwitfall::guarantees {
namespace {

TEST(Guarantees, HoldUnderRandomFaults)
{
    const RunResult result = runSchedules(Weakening::None);
    const Counts &counts = result.counts;
    std::cout << "schedules " << result.schedules << ", steps " << counts.steps << ", requests "
              << counts.requests << " (answered " << counts.answered << ", not run "
              << counts.notRun << ", unknown " << counts.unknown << "), tasks " << counts.tasks
              << " (finished " << counts.finishedTasks << "), evictions " << counts.evictions
              << ", fences " << counts.fences << ", lapses " << counts.lapses << ", snapshots "
              << counts.snapshots << "\n";
    EXPECT_TRUE(result.passed);
}

} // namespace
} // namespace godwitfall::guarantees
