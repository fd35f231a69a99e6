#include "clusterstate.h"

#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "invariant.h"

namespace godwitfall {
namespace {

/** Applies records to a state, each in a batch of its own, and returns the decisions. */
class Log
{
public:
    Decision add(const wire::Record &record)
    {
        wire::Batch batch;
        batch.set_writer("w");
        batch.set_seq(++this->seq);
        *batch.add_records() = record;
        return this->state.apply(Offset(this->seq), batch).decisions.at(0);
    }

    Decision submit(const std::string &task, const std::string &team = "t", bool once = false)
    {
        wire::Record record;
        wire::TaskSpec &spec = *record.mutable_submit()->mutable_spec();
        spec.set_task(task);
        spec.set_team(team);
        spec.set_at_most_once(once);
        spec.mutable_size()->set_milli_cores(1000);
        return this->add(record);
    }

    Decision claim(const std::string &task, std::uint32_t attempt, const std::string &worker = "w1")
    {
        wire::Record record;
        record.mutable_claim()->mutable_key()->set_task(task);
        record.mutable_claim()->mutable_key()->set_attempt(attempt);
        record.mutable_claim()->set_worker(worker);
        return this->add(record);
    }

    Decision end(const std::string &task, std::uint32_t attempt, wire::AttemptEnd end,
                 const std::string &worker = "w1", const std::string &checkpoint = {})
    {
        wire::Record record;
        record.mutable_end()->mutable_key()->set_task(task);
        record.mutable_end()->mutable_key()->set_attempt(attempt);
        record.mutable_end()->set_end(end);
        record.mutable_end()->set_worker(worker);
        record.mutable_end()->set_checkpoint(checkpoint);
        return this->add(record);
    }

    Decision set(const std::string &key, const std::string &value, std::uint64_t basedOn = 0)
    {
        wire::Record record;
        record.set_author("op" + value);
        record.set_based_on(basedOn);
        wire::ConfigEntry &entry = *record.mutable_config()->add_entries();
        entry.set_key(key);
        entry.set_value(value);
        return this->add(record);
    }

    wire::TaskState stateOf(const std::string &task) const
    {
        return this->state.tasks().find(task)->state();
    }

    ClusterState state;
    std::uint64_t seq = 0;
};

TEST(ClusterState, AcceptsOneClaimPerAttempt)
{
    Log log;
    log.submit("a");
    EXPECT_TRUE(log.claim("a", 1, "w1").accepted);
    EXPECT_FALSE(log.claim("a", 1, "w2").accepted);
    EXPECT_FALSE(log.claim("a", 2, "w2").accepted);
    EXPECT_TRUE(log.end("a", 1, wire::EVICTED, "w1", "40").accepted);
    EXPECT_FALSE(log.end("a", 1, wire::EVICTED, "w1", "40").accepted);
    EXPECT_FALSE(log.claim("a", 1, "w2").accepted);
    EXPECT_TRUE(log.claim("a", 2, "w2").accepted);
    EXPECT_EQ(log.state.tasks().find("a")->checkpoint(), "40");
}

struct EndCase
{
    wire::AttemptEnd end;
    bool once;
    const char *checkpoint;
    wire::TaskState becomes;
};

class AttemptEnds : public testing::TestWithParam<EndCase>
{};

TEST_P(AttemptEnds, DecideWhetherTheTaskMayRunAgain)
{
    Log log;
    log.submit("a", "t", GetParam().once);
    log.claim("a", 1);
    log.end("a", 1, GetParam().end, "w1", GetParam().checkpoint);
    EXPECT_EQ(log.stateOf("a"), GetParam().becomes);
}

INSTANTIATE_TEST_SUITE_P(ClusterState, AttemptEnds,
                         testing::Values(EndCase{wire::DONE, false, "", wire::FINISHED},
                                         EndCase{wire::FAILED, false, "", wire::PENDING},
                                         EndCase{wire::FAILED, true, "", wire::HELD},
                                         EndCase{wire::EVICTED, false, "5", wire::PENDING},
                                         EndCase{wire::EVICTED, true, "5", wire::PENDING},
                                         EndCase{wire::EVICTED, true, "", wire::HELD},
                                         EndCase{wire::LAPSED, true, "5", wire::PENDING},
                                         EndCase{wire::LOST, false, "", wire::PENDING},
                                         EndCase{wire::LOST, true, "", wire::HELD},
                                         EndCase{wire::NEVER_STARTED, true, "", wire::PENDING},
                                         EndCase{wire::CANCELLED, false, "", wire::CALLED_OFF}));

TEST(ClusterState, AbandonsTaskAfterFailuresOnThreeWorkers)
{
    Log log;
    log.submit("a");
    for (std::uint32_t attempt = 1; attempt <= 3; ++attempt) {
        const std::string worker = "w" + std::to_string(attempt);
        EXPECT_TRUE(log.claim("a", attempt, worker).accepted);
        log.end("a", attempt, wire::FAILED, worker);
    }
    EXPECT_EQ(log.stateOf("a"), wire::GIVEN_UP);
}

TEST(ClusterState, RefusesClaimsBeyondTeamQuota)
{
    Log log;
    log.set("team.t.milli_cores", "2500");
    for (const char *task : {"a", "b", "c"}) {
        log.submit(task);
    }
    EXPECT_TRUE(log.claim("a", 1).accepted);
    EXPECT_TRUE(log.claim("b", 1).accepted);
    EXPECT_FALSE(log.claim("c", 1).accepted);
    log.end("a", 1, wire::DONE);
    EXPECT_TRUE(log.claim("c", 1).accepted);
}

TEST(ClusterState, NamesAuthorOfConflictingChange)
{
    Log log;
    const Decision first = log.set("note.a", "1");
    EXPECT_TRUE(log.set("note.a", "2", first.offset.value()).accepted);
    const Decision loser = log.set("note.a", "3", first.offset.value());
    EXPECT_FALSE(loser.accepted);
    EXPECT_EQ(loser.winner, "op2");
}

TEST(ClusterState, IgnoresRepeatedOrSupersededBatch)
{
    ClusterState state;
    wire::Batch first;
    first.set_writer("w");
    first.set_seq(1);
    first.add_records()->mutable_submit()->mutable_spec()->set_task("a");
    wire::Batch second = first;
    second.set_seq(2);
    second.mutable_records(0)->mutable_submit()->mutable_spec()->set_task("b");
    EXPECT_FALSE(state.apply(Offset(1), second).duplicate);
    EXPECT_TRUE(state.apply(Offset(2), first).duplicate);
    EXPECT_TRUE(state.apply(Offset(3), second).duplicate);
    EXPECT_EQ(state.tasks().find("a"), nullptr);
}

TEST(ClusterState, ReturnsFirstDecisionForRepeatedCommand)
{
    Log log;
    wire::Record record;
    record.set_id("c1");
    record.mutable_drain()->set_worker("w1");
    record.mutable_drain()->set_drain(true);
    const Decision first = log.add(record);
    const Decision again = log.add(record);
    EXPECT_TRUE(first.accepted);
    EXPECT_TRUE(again.accepted);
    EXPECT_EQ(again.offset, first.offset);
}

TEST(ClusterState, CancelsManyTasksIdempotently)
{
    Log log;
    wire::Record cancellation;
    for (int index = 0; index < 5000; ++index) {
        const std::string name = "t" + std::to_string(index);
        log.submit(name);
        cancellation.mutable_cancel()->add_tasks(name);
    }
    EXPECT_TRUE(log.add(cancellation).accepted);
    EXPECT_EQ(log.state.tasks().pendingCount(), 0U);
    EXPECT_FALSE(log.add(cancellation).accepted);
    EXPECT_EQ(log.stateOf("t4999"), wire::CALLED_OFF);
}

TEST(ClusterState, OrdersPendingTasksByUrgencyWithoutStarvation)
{
    Log log;
    log.submit("old-batch");
    for (int index = 0; index < 20; ++index) {
        wire::Record record;
        wire::TaskSpec &spec = *record.mutable_submit()->mutable_spec();
        spec.set_task("urgent" + std::to_string(index));
        spec.set_team("t");
        spec.set_kind(wire::LATENCY_CRITICAL);
        log.add(record);
    }
    const std::vector<std::string> order = log.state.tasks().pending(21, "z1");
    EXPECT_EQ(order.at(0), "urgent0");
    EXPECT_EQ(order.at(3), "old-batch");
}

TEST(ClusterState, ListsPendingTasksOfOtherTeamsWhenOneIsAtQuota)
{
    Log log;
    log.set("team.full.milli_cores", "0");
    for (int index = 0; index < 1000; ++index) {
        log.submit("full" + std::to_string(index), "full");
    }
    log.submit("other", "other");
    EXPECT_EQ(log.state.tasks().pending(16, "z1"), std::vector<std::string>{"other"});
}

// Guards against: pending tasks that are bound to another zone, which may be lost, took all places
// of their team, so that no other task of the team was ever tried.
TEST(ClusterState, ListsPendingTasksBehindThoseOfAnotherZone)
{
    Log log;
    for (int index = 0; index < 300; ++index) {
        wire::Record record;
        wire::TaskSpec &spec = *record.mutable_submit()->mutable_spec();
        spec.set_task("far" + std::to_string(index));
        spec.set_team("t");
        spec.set_zone("z2");
        log.add(record);
    }
    log.submit("any");
    const std::vector<std::string> here = log.state.tasks().pending(256, "z1");
    EXPECT_EQ(here, std::vector<std::string>{"any"});
    const std::vector<std::string> there = log.state.tasks().pending(256, "z2");
    EXPECT_EQ(there.front(), "far0");
    EXPECT_NE(std::find(there.begin(), there.end(), "any"), there.end());
}

RC_GTEST_PROP(ClusterState, RestoresSameStateFromSnapshotAndTail, ())
{
    const auto cut = *rc::gen::inRange<std::size_t>(1, 60);
    Log whole;
    ClusterState resumed;
    std::vector<wire::Batch> batches;
    for (std::uint64_t seq = 1; seq <= 60; ++seq) {
        wire::Batch &batch = batches.emplace_back();
        batch.set_writer("w" + std::to_string(*rc::gen::inRange(0, 2)));
        batch.set_seq(seq);
        wire::Record &record = *batch.add_records();
        const std::string task = "t" + std::to_string(*rc::gen::inRange(0, 5));
        const auto attempt = *rc::gen::inRange<std::uint32_t>(1, 4);
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            record.mutable_submit()->mutable_spec()->set_task(task);
            break;
        case 1:
            record.mutable_claim()->mutable_key()->set_task(task);
            record.mutable_claim()->mutable_key()->set_attempt(attempt);
            record.mutable_claim()->set_worker("w");
            break;
        case 2:
            record.mutable_end()->mutable_key()->set_task(task);
            record.mutable_end()->mutable_key()->set_attempt(attempt);
            record.mutable_end()->set_worker("w");
            record.mutable_end()->set_end(wire::EVICTED);
            break;
        default:
            record.mutable_open_intent()->set_request(task);
            break;
        }
    }
    for (std::size_t index = 0; index < batches.size(); ++index) {
        if (index == cut) {
            resumed.restore(whole.state.snapshot());
        }
        whole.state.apply(Offset(index + 1), batches[index]);
        if (index >= cut) {
            resumed.apply(Offset(index + 1), batches[index]);
        }
    }
    RC_ASSERT(resumed.snapshot().SerializeAsString() == whole.state.snapshot().SerializeAsString());
}

TEST(ClusterState, RefusesOlderSnapshot)
{
    Log log;
    log.set("note.a", "1");
    const wire::Snapshot old = log.state.snapshot();
    log.set("note.a", "2");
    EXPECT_FALSE(log.state.restore(old));
    EXPECT_EQ(log.state.config().number("note.a", 0), 2);
}

} // namespace
} // namespace godwitfall
