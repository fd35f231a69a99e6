#include "settingsloader.h"

#include <fstream>
#include <map>
#include <sstream>

#include <gtest/gtest.h>

namespace godwitfall {
namespace {

const std::vector<std::string> required = {"serve",
                                           "--instance",
                                           "i",
                                           "--zone",
                                           "z",
                                           "--log-address",
                                           "10.0.0.1:1",
                                           "--list-address",
                                           "10.0.0.1:2",
                                           "--operator-token",
                                           "0123456789abcdef"};

std::string noEnvironment(const std::string &)
{
    return {};
}

std::vector<std::string> with(std::vector<std::string> more)
{
    std::vector<std::string> all = required;
    all.insert(all.end(), more.begin(), more.end());
    return all;
}

struct Fault
{
    const char *flag;
    const char *value;
    const char *told;
};

class FaultySetting : public testing::TestWithParam<Fault>
{};

TEST_P(FaultySetting, IsToldWithWhatIsAllowed)
{
    const LoadedSettings loaded =
        loadSettings(with({GetParam().flag, GetParam().value}), noEnvironment);
    ASSERT_EQ(loaded.faults.size(), 1U);
    EXPECT_NE(loaded.faults[0].find(GetParam().told), std::string::npos) << loaded.faults[0];
}

INSTANTIATE_TEST_SUITE_P(Settings, FaultySetting,
                         testing::Values(Fault{"--threads", "0", "1 to 64 threads"},
                                         Fault{"--threads", "many", "GODWITFALL_THREADS"},
                                         Fault{"--http-address", "localhost:80", "ip:port"},
                                         Fault{"--http-address", "127.0.0.1:99999", "ip:port"},
                                         Fault{"--log-level", "loud",
                                               "trace|debug|info|warning|error"},
                                         Fault{"--chooser", "best", "peak-ewma"},
                                         Fault{"--lease-ms", "1500", "three times"},
                                         Fault{"--task-lease-ms", "6000", "outlive a takeover"},
                                         Fault{"--nonsense", "1", "nonsense"}));

TEST(Settings, TellsEveryFaultAtOnce)
{
    const LoadedSettings loaded =
        loadSettings({"serve", "--threads", "0", "--lease-ms", "x"}, noEnvironment);
    EXPECT_EQ(loaded.faults.size(), 7U); // Five required ones are missing as well.
}

TEST(Settings, FlagsWinOverTheEnvironmentAndThatOverDefaults)
{
    const Environment environment = [](const std::string &name) -> std::string {
        static const std::map<std::string, std::string> values = {{"GODWITFALL_THREADS", "3"},
                                                                  {"GODWITFALL_QUEUE_LIMIT", "7"}};
        const auto found = values.find(name);
        return found == values.end() ? "" : found->second;
    };
    const LoadedSettings loaded = loadSettings(with({"--threads", "2"}), environment);
    ASSERT_TRUE(loaded.faults.empty()) << loaded.faults[0];
    EXPECT_EQ(loaded.settings.threads(), 2);
    EXPECT_EQ(loaded.settings.queue_limit(), 7);
    EXPECT_EQ(loaded.settings.lease_ms(), 5000);
}

TEST(Settings, NeverShowASecret)
{
    std::vector<std::string> arguments = required;
    arguments.back() = "short";
    const LoadedSettings loaded = loadSettings(arguments, noEnvironment);
    ASSERT_EQ(loaded.faults.size(), 1U);
    EXPECT_EQ(loaded.faults[0].find("short'"), std::string::npos);
    EXPECT_NE(loaded.faults[0].find("(secret)"), std::string::npos);
}

TEST(Settings, ReferencePageMatchesTheSchema)
{
    std::ifstream page(GODWITFALL_SOURCE_DIR "/docs/settings.md");
    std::stringstream text;
    text << page.rdbuf();
    EXPECT_EQ(text.str(), settingsReference()) << "run: godwitfall check-settings --reference";
}

} // namespace
} // namespace godwitfall
