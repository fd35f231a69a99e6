#include "script.h"

#include <gtest/gtest.h>

namespace godwitfall::promises {
namespace {

class Failures : public testing::TestWithParam<Script>
{};

TEST_P(Failures, ViolateNoGuarantee)
{
    EXPECT_EQ(runScript(GetParam(), Weakening::None), "");
}

INSTANTIATE_TEST_SUITE_P(Promises, Failures, testing::ValuesIn(scripts()),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace godwitfall::promises
