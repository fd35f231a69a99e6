// Guards against a check that misses jobs which are closed without cause: counts that other tasks,
// runs that had ended, starts that never arrived or tasks that last would add to.
#include <gtest/gtest.h>

#include <functional>

#include "closedcheck.h"
#include "simworker.h"

namespace godwitfall::soak {

namespace {

constexpr const char *failedBody = R"({"state":"failed"})";
constexpr std::int64_t leaseMs = 5000;
constexpr std::int64_t longMs = 4000;
constexpr std::int64_t shortMs = 100;

/** A worker, and a job of two tasks that runs there as the case says. */
class Scene
{
public:
    explicit Scene(bool lasts)
    {
        this->job.id = JobId("0000000000000001");
        this->job.accepted = true;
        this->job.steps.push_back(SoakStep{2, {}, lasts});
        this->worker.advance(this->nowMs);
        this->worker.restart(this->nowMs);
    }

    void start(std::uint32_t index, std::int64_t workMs, bool fails = false)
    {
        StartOrder order;
        order.task = TaskRef{this->job.id, 0, 0, index};
        order.run = ++this->run;
        order.target.fencingToken = 1;
        order.leaseEndMs = this->worker.clock() + leaseMs;
        EXPECT_EQ(this->worker.start(order, static_cast<std::uint32_t>(workMs), fails),
                  OrderOutcome::Accepted);
    }

    void wait(std::int64_t ms) { this->worker.advance(this->nowMs += ms); }

    void restart() { this->worker.restart(this->nowMs += 1); }

    void crashUnder(std::uint32_t index)
    {
        this->start(index, longMs);
        this->wait(shortMs);
        this->restart();
    }

    void fail(std::uint32_t index)
    {
        this->start(index, shortMs, true);
        this->wait(shortMs);
    }

    SoakJob job;
    jobtests::FleetLedger ledger;
    ClosedCheck check{this->ledger};

private:
    std::int64_t nowMs = 1000;
    std::uint32_t run = 0;
    jobtests::SimWorker worker{"w0", Resources{4000, 1000}, 0, this->ledger};
};

struct Case
{
    const char *name;
    bool lasts;
    std::function<void(Scene &scene)> play;
    bool hasCause;
};

class ClosedJobs : public testing::TestWithParam<Case>
{};

TEST_P(ClosedJobs, AreReportedOnceUnlessTheyHaveACause)
{
    Scene scene(GetParam().lasts);
    GetParam().play(scene);
    EXPECT_EQ(scene.check.hasCause(scene.job), GetParam().hasCause);
    EXPECT_EQ(scene.check.check(scene.job, "instance0", failedBody).empty(), GetParam().hasCause);
    EXPECT_EQ(scene.check.check(scene.job, "instance1", failedBody), "");
}

const Case cases[] = {
    {"Untouched", false, [](Scene &) {}, false},
    {"OneCrash", false, [](Scene &scene) { scene.crashUnder(0); }, false},
    {"TwoCrashes", false,
     [](Scene &scene) {
         scene.crashUnder(0);
         scene.crashUnder(0);
     },
     true},
    {"CrashesUnderDifferentTasks", false,
     [](Scene &scene) {
         scene.crashUnder(0);
         scene.crashUnder(1);
     },
     false},
    {"RestartsWithoutARun", false,
     [](Scene &scene) {
         scene.crashUnder(0);
         scene.restart();
         scene.restart();
     },
     false},
    {"RunsThatHadEnded", false,
     [](Scene &scene) {
         for (int round = 0; round < 4; ++round) {
             scene.start(0, shortMs);
             scene.wait(shortMs);
             scene.restart();
         }
     },
     false},
    {"RunsThatHadLapsed", false,
     [](Scene &scene) {
         for (int round = 0; round < 4; ++round) {
             scene.start(0, 2 * leaseMs);
             scene.wait(leaseMs);
             scene.restart();
         }
     },
     false},
    {"CrashesUnderATaskThatLasts", true,
     [](Scene &scene) {
         for (int round = 0; round < 4; ++round) {
             scene.crashUnder(0);
         }
     },
     false},
    {"TwoFailedEnds", false,
     [](Scene &scene) {
         scene.fail(0);
         scene.fail(0);
     },
     false},
    {"ThreeFailedEnds", false,
     [](Scene &scene) {
         for (int round = 0; round < 3; ++round) {
             scene.fail(0);
         }
     },
     true},
    {"FailedEndsOfDifferentTasks", false,
     [](Scene &scene) {
         scene.fail(0);
         scene.fail(0);
         scene.fail(1);
     },
     false},
    {"FailedEndsAndACrash", false,
     [](Scene &scene) {
         scene.fail(0);
         scene.fail(0);
         scene.crashUnder(0);
     },
     false},
    {"FailedEndsOfATaskThatLasts", true,
     [](Scene &scene) {
         for (int round = 0; round < 3; ++round) {
             scene.fail(0);
         }
     },
     true},
};

INSTANTIATE_TEST_SUITE_P(Cases, ClosedJobs, testing::ValuesIn(cases),
                         [](const auto &info) { return std::string(info.param.name); });

TEST(ClosedCheck, LeavesOutCancelledJobsAndOtherStates)
{
    Scene scene(false);
    for (const char *state : {"queued", "running", "completed", "cancelled"}) {
        EXPECT_EQ(
            scene.check.check(scene.job, "instance0", R"({"state":")" + std::string(state) + "\"}"),
            "");
    }
    scene.job.cancelSent = true;
    EXPECT_EQ(scene.check.check(scene.job, "instance0", failedBody), "");
    scene.job.cancelSent = false;
    EXPECT_NE(scene.check.check(scene.job, "instance0", failedBody), "");
}

} // namespace

} // namespace godwitfall::soak
