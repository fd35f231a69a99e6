#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

#include <boost/log/core.hpp>

#include "calltraffic.h"
#include "instancemetrics.h"
#include "logging.h"
#include "logratelimiter.h"

namespace godwitfall {
namespace {

std::string readPage(const std::string &path)
{
    std::ifstream file(std::string(GODWITFALL_SOURCE_DIR) + "/" + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

TEST(LogRateLimiterTest, SuppressesFloodsOfOneKindAndCountsThem)
{
    LogRateLimiter limiter;
    const Instant begin(1000);
    std::int64_t written = 0;
    for (std::int64_t line = 0; line < LogRateLimiter::burst * 3; ++line) {
        written += limiter.admit("flood", begin).write ? 1 : 0;
    }
    EXPECT_EQ(written, LogRateLimiter::burst);
    EXPECT_EQ(limiter.suppressed(), static_cast<std::uint64_t>(LogRateLimiter::burst * 2));
    // Other kinds are not affected.
    EXPECT_TRUE(limiter.admit("rare", begin).write);
    const LogRateLimiter::Verdict later = limiter.admit("flood", begin + Duration(100));
    EXPECT_TRUE(later.write);
    EXPECT_EQ(later.suppressed, static_cast<std::uint64_t>(LogRateLimiter::burst * 2));
    EXPECT_EQ(limiter.admit("flood", begin + Duration(200)).suppressed, 0U);
}

TEST(LogRateLimiterTest, SustainsItsRate)
{
    LogRateLimiter limiter;
    std::int64_t written = 0;
    constexpr std::int64_t seconds = 60;
    for (std::int64_t ms = 0; ms < seconds * 1000; ++ms) {
        written += limiter.admit("steady", Instant(ms)).write ? 1 : 0;
    }
    EXPECT_NEAR(
        static_cast<double>(written),
        static_cast<double>(LogRateLimiter::burst + seconds * LogRateLimiter::linesPerSecond), 2.0);
}

// Guards against rare lines that are lost as numerous ones of the same event use up its limit.
TEST(LogLineTest, GroupsOfAnEventHaveLimitsOfTheirOwn)
{
    boost::log::core::get()->set_logging_enabled(false);
    for (std::int64_t line = 0; line < LogRateLimiter::burst * 3; ++line) {
        logLine(LogLevel::Info, {"flood", "frequent"});
    }
    const std::uint64_t suppressed = suppressedLogLines();
    EXPECT_GT(suppressed, 0U);
    logLine(LogLevel::Info, {"flood", "rare"});
    logLine(LogLevel::Info, "flood");
    EXPECT_EQ(suppressedLogLines(), suppressed);
    boost::log::core::get()->set_logging_enabled(true);
}

TEST(CallTrafficTest, RecentFiguresBeginAnewAtEachReport)
{
    CallTraffic traffic;
    traffic.countCall("hold worker", 300);
    traffic.countResponse("hold worker", 700, Duration(20));
    traffic.countResponse("hold worker", 700, Duration(-400));
    EXPECT_EQ(traffic.takeRecent()["hold worker"].longestDelay, Duration(20));
    EXPECT_TRUE(traffic.takeRecent().empty());
}

TEST(InstanceMetricsTest, EveryMetricIsDocumented)
{
    const std::string page = readPage("docs/OPERATIONS.md");
    for (const MetricHelp &metric : instanceMetricHelp()) {
        const std::string row = "| `" + std::string(metric.name) + "` | " + metric.help + " |";
        EXPECT_NE(page.find(row), std::string::npos) << row;
    }
}

TEST(InstanceMetricsTest, PageHasOnlyMetricsWithHelp)
{
    InstanceMetrics metrics;
    metrics.count("godwitfall_answers_total", "status=\"200\"");
    metrics.count("godwitfall_answers_total", "status=\"200\"");
    metrics.observe("godwitfall_answer_ms", 12.0);
    CoordinatorStatistics statistics;
    statistics.workers = 48;
    statistics.shortServices = 2;
    statistics.tasks.at(static_cast<std::size_t>(WorkKind::BestEffort)).waiting = 3;
    CallTraffic traffic;
    traffic.countCall("hold worker", 300);
    traffic.countResponse("hold worker", 700, Duration(20));
    traffic.countCall("hold worker", 300);
    traffic.countTimeout("hold worker", 0);
    const std::string page =
        metrics.page({24, Duration(300)}, {3000, 4000}, &statistics, 7, 5) + traffic.metricLines();
    EXPECT_NE(page.find("godwitfall_calls_total{call=\"hold worker\"} 2\n"), std::string::npos);
    EXPECT_NE(page.find("godwitfall_calls_timed_out_total{call=\"hold worker\"} 1\n"),
              std::string::npos);
    EXPECT_NE(page.find("godwitfall_call_bytes_total{call=\"hold worker\",direction=\"sent\"} 600"),
              std::string::npos);
    EXPECT_NE(
        page.find("godwitfall_call_bytes_total{call=\"hold worker\",direction=\"received\"} 700"),
        std::string::npos);
    EXPECT_NE(page.find("godwitfall_answers_total{status=\"200\"} 2\n"), std::string::npos);
    EXPECT_NE(page.find("godwitfall_answer_ms_count 1\n"), std::string::npos);
    EXPECT_NE(page.find("godwitfall_log_lines_held_back_total 7\n"), std::string::npos);
    EXPECT_NE(page.find("godwitfall_workers{condition=\"listed\"} 48\n"), std::string::npos);
    EXPECT_NE(page.find("godwitfall_short_services 2\n"), std::string::npos);
    EXPECT_NE(page.find("godwitfall_config_version 24\n"), std::string::npos);
    EXPECT_NE(page.find("godwitfall_config_age_ms 300\n"), std::string::npos);
    EXPECT_NE(page.find("godwitfall_job_memory_bytes{use=\"estimated\"} 3000\n"),
              std::string::npos);
    EXPECT_NE(page.find("godwitfall_tasks{work=\"filling\",phase=\"waiting\"} 3\n"),
              std::string::npos);
    EXPECT_EQ(metrics.page({}, {}, nullptr, 0, 0).find("godwitfall_workers"), std::string::npos);
    std::istringstream lines(page);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.starts_with('#')) {
            continue;
        }
        const auto help = instanceMetricHelp();
        EXPECT_TRUE(std::any_of(help.begin(), help.end(), [&](const MetricHelp &metric) {
            return line.starts_with(metric.name);
        })) << line;
    }
}

} // namespace
} // namespace godwitfall
