// Malformed and hostile input must give an error and never end the process.
#include <gtest/gtest.h>

#include <functional>
#include <random>
#include <string>

#include "jobtable.h"
#include "platform/codec.h"
#include "platform/settings.h"

namespace godwitfall::platform {
namespace {

constexpr int inputsPerParser = 20000;

/** One parser of outside input, with an example that it accepts. */
struct Parser
{
    const char *name;
    const char *example;
    std::function<bool(const std::string &)> accepts;
};

const std::vector<Parser> &parsers()
{
    static const std::vector<Parser> all = {
        {"submission",
         R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimated_ms":900},)"
         R"({"count":20,"cpu":2000,"after":[0],"checkpointing":true,"image":"i1"}],)"
         R"("repeat_count":3,"first_run_ms":1700000000000,"interval_ms":500})",
         [](const std::string &body) {
             return parseSubmission(body).has_value();
         }},
        {"configuration",
         R"({"version":7,"routes":[{"name":"plan","host":"a.example","path_prefix":"/p/",)"
         R"("service":"s","priority":2,"max_attempts":3,"stretch":2.5,"target_latency_ms":250,)"
         R"("advice":{"decide_ms":5,"each_ms":1,"valid_ms":900}}],)"
         R"("services":[{"name":"s","max_connections":64,"enforces_capacity":true}],)"
         R"("limits":{"body_bytes":262144}})",
         [](const std::string &body) {
             return parseConfig(body).has_value();
         }},
        {"worker entry",
         R"({"service":"s","address":"10.0.0.1:80","zone":"z","state":"ready","seq_no":4,)"
         R"("born":1700000000000,"capacity":{"cpu":64000,"mem_mb":256000,"gpu":0},)"
         R"("labels":["a","r1"]})",
         [](const std::string &body) {
             return parseWorkerEntry("w1", body).has_value();
         }},
        {"report",
         R"({"clock_ms":482113,"born":1700000000000,)"
         R"("running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41,1200]],)"
         R"("ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})",
         [](const std::string &body) {
             return parseReport(body).has_value();
         }},
        {"advice", R"({"good":[["w1","ticket-1"],["w2","ticket-2"]],"valid_ms":3000})",
         [](const std::string &body) {
             return parseAdvice(body).has_value();
         }},
        {"newest records",
         R"({"items":[{"key":"a/1","value":"AAEC","offset":4}],"has_more":false,"end":9})",
         [](const std::string &body) {
             return parseNewestPage(body).has_value();
         }},
        {"append reply", R"({"offset":17,"end":18})",
         [](const std::string &body) {
             return parseAppendReply(200, body).outcome == AppendOutcome::Stored;
         }},
        {"order reply", R"({"clock_ms":482113,"reason":"fence"})",
         [](const std::string &body) {
             return parseOrderOutcome(409, body) == OrderOutcome::Fenced;
         }},
        {"settings",
         "node_name=n\nzone=z\nlisten.front=10.0.0.1:80\nlisten.ready=10.0.0.1:81\n"
         "platform.address=10.0.0.2:80\ninternal_ports=7720,7735\nip=10.0.0.1\n"
         "limits.cpu_share=0.25\nbounds.hold_max_ms=6000\nlimits.max_fds=4100\n"
         "platform.record_bytes=262144\nplatform.call_bytes=2097152\n",
         [](const std::string &text) {
             return parseSettings(text).has_value();
         }},
    };
    return all;
}

/** Returns the text with a few bytes changed, removed, repeated or inserted. */
std::string mutated(std::string text, std::mt19937_64 &random)
{
    constexpr const char *pieces[] = {
        "[", "{",    "\"",      "-1",   "1e300", "99999999999999999999",
        ",", "null", "\\u0000", "\xff", ":",     "}"};
    const std::size_t changes = 1 + random() % 4;
    for (std::size_t change = 0; change < changes && !text.empty(); ++change) {
        const std::size_t at = random() % text.size();
        switch (random() % 4) {
        case 0:
            text[at] = static_cast<char>(random() % 256);
            break;
        case 1:
            text.erase(at, 1 + random() % 12);
            break;
        case 2:
            text.insert(at, text.substr(random() % text.size(), random() % 40));
            break;
        default:
            text.insert(at, pieces[random() % std::size(pieces)]);
            break;
        }
    }
    return text;
}

TEST(HostileInputTest, MutatedInputIsParsedOrRejected)
{
    for (const Parser &parser : parsers()) {
        SCOPED_TRACE(parser.name);
        EXPECT_TRUE(parser.accepts(parser.example));
        std::mt19937_64 random(11);
        int refused = 0;
        for (int input = 0; input < inputsPerParser; ++input) {
            refused += parser.accepts(mutated(parser.example, random)) ? 0 : 1;
        }
        EXPECT_GT(refused, 0);
        EXPECT_TRUE(parser.accepts(parser.example)) << "earlier inputs must have no effect";
    }
}

TEST(HostileInputTest, DeepNestingDoesNotExhaustTheStack)
{
    constexpr std::size_t depth = 262144; // The largest body that the platform accepts, bytes.
    for (const Parser &parser : parsers()) {
        for (const char *opening : {"[", "{\"a\":"}) {
            std::string body;
            for (std::size_t level = 0; level < depth; ++level) {
                body += opening;
            }
            EXPECT_FALSE(parser.accepts(body)) << parser.name;
            EXPECT_FALSE(parser.accepts("{\"steps\":" + body)) << parser.name;
        }
    }
}

TEST(HostileInputTest, RejectsUnschedulableSubmissions)
{
    for (const char *body :
         {R"({"steps":[{"count":1}],"repeat_count":4000000000})", R"({"steps":[{"count":20001}]})",
          R"({"steps":[{"count":101}],"repeat_count":200})",
          R"({"steps":[{"count":1}],"repeat_count":2,"interval_ms":9000000000000000000})",
          R"({"steps":[{"count":1}],"repeat_count":2,"first_run_ms":-5})",
          R"({"steps":[{"count":1e300}]})"}) {
        EXPECT_FALSE(parseSubmission(body)) << body;
    }
}

TEST(HostileInputTest, CorruptRecordsDoNotAffectOthers)
{
    jobs::JobSpec spec;
    spec.add_steps()->set_count(2);
    jobs::JobProgress progress;
    jobs::StepProgress &step = *progress.add_steps();
    step.add_runs(1);
    step.add_placed()->set_worker("w1");
    const std::vector<JobRecord> examples = {
        {"a/00000000000000aa", spec.SerializeAsString(), 1},
        {"p/00000000000000aa", progress.SerializeAsString(), 2},
        {"c/00000000000000aa", "1", 3},
        {"s/00000000000000aa", std::string("\x08\x01", 2), 4},
        {"owner", std::string("\x08\x01", 2), 5},
        {"pressures", "", 6},
    };
    const std::string frames = std::string(16, '\0') + frameRecords(examples);
    std::mt19937_64 random(12);
    for (int input = 0; input < inputsPerParser; ++input) {
        JobTable table;
        Job *job = nullptr;
        if (const auto page = parseLogPage(mutated(frames, random), 0)) {
            for (const JobRecord &record : page->records) {
                table.apply(record, Instant(1), job);
            }
        }
        for (const JobRecord &record : examples) {
            JobRecord changed = record;
            changed.value = mutated(record.value, random);
            table.apply(changed, Instant(1), job);
        }
        table.apply({"a/00000000000000bb", spec.SerializeAsString(), 99}, Instant(1), job);
        ASSERT_NE(table.find(JobId("00000000000000bb")), nullptr);
    }
}

} // namespace
} // namespace godwitfall::platform
