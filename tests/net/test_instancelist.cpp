// The gateway's list of workers and instances.
#include <gtest/gtest.h>

#include "instancelist.h"

namespace godwitfall {
namespace {

const std::string goodWorker =
    R"({"worker":"w1","zone":"z1","rack":"r1","address":"10.0.0.1:80","capacity":)"
    R"({"milli_cores":64000,"memory_mb":256000,"slots":8},"services":["orchard"]})";
const std::string goodInstance = R"({"instance":"i1","zone":"z1","peer_address":"10.0.0.2:7302"})";

std::string listOf(const std::string &workers, const std::string &instances)
{
    return R"({"workers":[)" + workers + R"(],"instances":[)" + instances + "]}";
}

TEST(InstanceListTest, ParsesWorkersAndInstances)
{
    const auto parsed = parseInstanceList(listOf(goodWorker, goodInstance), "list");
    ASSERT_TRUE(parsed) << parsed.error().text();
    ASSERT_EQ(parsed->list.workers_size(), 1);
    EXPECT_EQ(parsed->list.workers(0).capacity().milli_cores(), 64000U);
    EXPECT_EQ(parsed->list.workers(0).services(0), "orchard");
    ASSERT_EQ(parsed->list.instances_size(), 1);
    EXPECT_EQ(parsed->list.instances(0).peer_address(), "10.0.0.2:7302");
    EXPECT_TRUE(parsed->unusable.empty());
    EXPECT_TRUE(parseInstanceList("{}", "list"));
    for (const char *body : {"", "{", "nonsense", R"({"workers":[)"}) {
        EXPECT_FALSE(parseInstanceList(body, "list")) << body;
    }
}

// Guards against one odd entry for which the whole list is refused, so that instances stop
// following it.
TEST(InstanceListTest, OddEntriesDoNotAffectOthers)
{
    const std::string nested(200000, '[');
    const std::string closed(200000, ']');
    for (const std::string &odd :
         {R"({"worker":"w2","address":"10.0.0.1:80","rack":)" + nested + closed + "}",
          std::string(R"({"worker":"w2","address":"10.0.0.1:80","capacity":{"slots":1e999}})"),
          std::string(R"({"worker":"w2","address":"10.0.0.1:80","capacity":{"slots":-1}})"),
          std::string(R"({"worker":"w2","address":"10.0.0.1:80","capacity":7})"),
          std::string(R"({"worker":"w2","address":"10.0.0.1:99999"})"),
          std::string(R"({"worker":"w2","address":"nowhere"})"),
          std::string(R"({"worker":{"name":"w2"},"address":"10.0.0.1:80"})")}) {
        SCOPED_TRACE(odd.substr(0, 100));
        const auto parsed = parseInstanceList(listOf(odd + "," + goodWorker, goodInstance), "list");
        ASSERT_TRUE(parsed) << parsed.error().text();
        ASSERT_EQ(parsed->list.workers_size(), 1);
        EXPECT_EQ(parsed->list.workers(0).worker(), "w1");
        EXPECT_EQ(parsed->list.instances_size(), 1);
        EXPECT_EQ(parsed->unusable.size(), 1U);
    }
    const auto instances = parseInstanceList(
        listOf(goodWorker, R"({"instance":"i2","peer_address":"10.0.0.2:70000"},)" + goodInstance),
        "list");
    ASSERT_TRUE(instances);
    ASSERT_EQ(instances->list.instances_size(), 1);
    EXPECT_EQ(instances->list.instances(0).instance(), "i1");
}

} // namespace
} // namespace godwitfall
