#include "command/language.h"

#include <gtest/gtest.h>

namespace godwitfall {
namespace {

struct Accepted
{
    const char *text;
    wire::Record::BodyCase kind;
    const char *record; ///< The record in protobuf's short text form.
};

class AcceptedCommand : public testing::TestWithParam<Accepted>
{};

TEST_P(AcceptedCommand, MakesItsRecord)
{
    const Result<Command> command = parseCommand(GetParam().text);
    ASSERT_TRUE(command) << command.error().text();
    const Change &change = *std::get<std::shared_ptr<Change>>(*command);
    wire::Record record;
    record.set_based_on(change.basedOn);
    change.fill(record);
    EXPECT_EQ(record.body_case(), GetParam().kind);
    EXPECT_EQ(record.ShortDebugString(), GetParam().record);
}

INSTANTIATE_TEST_SUITE_P(
    Language, AcceptedCommand,
    testing::Values(
        Accepted{"submit task plan-1 team a milli_cores 500 memory_mb 10 kind watch stay",
                 wire::Record::kSubmit,
                 "submit { spec { task: \"plan-1\" team: \"a\" kind: WATCH size { milli_cores: 500 "
                 "memory_mb: 10 } on_silence: STAY } }"},
        Accepted{"submit task x once run_ms 5 payload \"a b\" zone nitra priority -2",
                 wire::Record::kSubmit,
                 "submit { spec { task: \"x\" priority: -2 at_most_once: true payload: \"a b\" "
                 "run_ms: 5 zone: \"nitra\" } }"},
        Accepted{"cancel task a, b ,c", wire::Record::kCancel,
                 "cancel { tasks: \"a\" tasks: \"b\" tasks: \"c\" }"},
        Accepted{"stop task a", wire::Record::kHold, "hold { task: \"a\" hold: true }"},
        Accepted{"resume task a", wire::Record::kHold, "hold { task: \"a\" }"},
        Accepted{"evict task a", wire::Record::kEvict,
                 "evict { key { task: \"a\" } reason: \"an operator\\'s command\" }"},
        Accepted{"place task a on worker w-1", wire::Record::kPlace,
                 "place { task: \"a\" worker: \"w-1\" }"},
        Accepted{"place task a anywhere", wire::Record::kPlace, "place { task: \"a\" }"},
        Accepted{"throttle task a to 50 percent", wire::Record::kThrottle,
                 "throttle { task: \"a\" percent: 50 }"},
        Accepted{"set priority of task a to -3 if version 12", wire::Record::kPrioritise,
                 "based_on: 12 prioritise { task: \"a\" priority: -3 }"},
        Accepted{"drain worker w", wire::Record::kDrain, "drain { worker: \"w\" drain: true }"},
        Accepted{"undrain worker w", wire::Record::kDrain, "drain { worker: \"w\" }"},
        Accepted{"set team.a.milli_cores = 4000, note.x=1", wire::Record::kConfig,
                 "config { entries { key: \"team.a.milli_cores\" value: \"4000\" } entries { key: "
                 "\"note.x\" value: \"1\" } }"}));

struct Faulty
{
    const char *text;
    const char *error;
};

class FaultyCommand : public testing::TestWithParam<Faulty>
{};

TEST_P(FaultyCommand, IsToldByColumnAndWhatWasExpected)
{
    const Result<Command> command = parseCommand(GetParam().text);
    ASSERT_FALSE(command);
    EXPECT_EQ(command.error().detail, GetParam().error);
    EXPECT_EQ(command.error().fate, Fate::Invalid);
}

INSTANTIATE_TEST_SUITE_P(
    Language, FaultyCommand,
    testing::Values(
        Faulty{"", "column 1: expected a command"},
        Faulty{"frobnicate", "column 1: expected a command"},
        Faulty{"list things", "column 6: expected workers, tasks, services, zones, instances, "
                              "config or audit"},
        Faulty{"submit job a", "column 8: expected task"},
        Faulty{"submit task a kind odd", "column 20: expected batch, watch or latency-critical"},
        Faulty{"submit task a milli_cores many", "column 27: expected a whole number"},
        Faulty{"throttle task a to 50", "column 22: expected percent"},
        Faulty{"place task a on w", "column 17: expected worker"},
        Faulty{"drain worker", "column 13: expected a name"},
        Faulty{"why task a b", "column 12: expected end of the command"}));

TEST(Language, ReadsFiltersOfAListing)
{
    const Result<Command> command =
        parseCommand("list tasks where state = claimed and team = \"a b\" limit 3");
    ASSERT_TRUE(command) << command.error().text();
    const ListQuery &query = std::get<ListQuery>(*command);
    EXPECT_EQ(query.table, "tasks");
    ASSERT_EQ(query.filters.size(), 2U);
    EXPECT_EQ(query.filters[1].column, "team");
    EXPECT_EQ(query.filters[1].value, "a b");
    EXPECT_EQ(query.limit, 3U);
}

} // namespace
} // namespace godwitfall
