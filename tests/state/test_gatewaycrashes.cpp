// The gateway's tasks that crash the workers that start them; in KNOWN-RED.txt.
#include <string>

#include <gtest/gtest.h>

#include "clusterstate.h"

namespace godwitfall {
namespace {

/** Most starts of a task that crashes its workers: two after the third crash. */
constexpr std::uint32_t longestSeries = 5;

// Guards against a task of the gateway that crashes worker after worker, as an attempt that is lost
// with its worker costs it nothing.
TEST(KnownRed, GatewayGivesUpTasksThatCrashTheirWorkers)
{
    ClusterState state;
    std::uint64_t offset = 0;
    const auto apply = [&](const wire::Record &record) {
        wire::Batch batch;
        batch.set_writer("w");
        batch.set_seq(++offset);
        *batch.add_records() = record;
        return state.apply(Offset(offset), batch).decisions.at(0);
    };
    wire::Record submission;
    submission.mutable_submit()->mutable_spec()->set_task("a");
    submission.mutable_submit()->mutable_spec()->mutable_size()->set_milli_cores(1000);
    ASSERT_TRUE(apply(submission).accepted);
    for (std::uint32_t attempt = 1; attempt <= longestSeries; ++attempt) {
        const std::string worker = "w" + std::to_string(attempt);
        wire::Record claim;
        claim.mutable_claim()->mutable_key()->set_task("a");
        claim.mutable_claim()->mutable_key()->set_attempt(attempt);
        claim.mutable_claim()->set_worker(worker);
        apply(claim);
        wire::Record loss;
        loss.mutable_end()->mutable_key()->set_task("a");
        loss.mutable_end()->mutable_key()->set_attempt(attempt);
        loss.mutable_end()->set_worker(worker);
        loss.mutable_end()->set_end(wire::LOST);
        apply(loss);
    }
    EXPECT_EQ(state.tasks().find("a")->state(), wire::GIVEN_UP);
}

} // namespace
} // namespace godwitfall
