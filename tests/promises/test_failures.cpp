#include "scenario.h"

#include <gtest/gtest.h>

namespace godwitfall::guarantees {
namespace {

class Failures : public testing::TestWithParam<Scenario>
{};

TEST_P(Failures, ViolateNoGuarantee)
{
    EXPECT_EQ(runScenario(GetParam(), Weakening::None), "");
}

INSTANTIATE_TEST_SUITE_P(Guarantees, Failures, testing::ValuesIn(scenarios()),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace godwitfall::guarantees
