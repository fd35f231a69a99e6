#include <cstdlib>
#include <iostream>

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "world.h"

namespace godwitfall::promises {
namespace {

enum class Kind {
    Request,
    Order,
    Resend,
    Submit,
    Cancel,
    Evict,
    Hold,
    Resume,
    Place,
    Drain,
    Undrain,
    Configure,
    Kill,
    Stop,
    Freeze,
    RestartWorker,
    FreezeWorker,
    Leave,
    ListLeave,
    FailWorker,
    CutZones,
    CutPlatform,
    Outage,
    LoseAnswers,
    SlowLog,
    LoseMessages,
    Wait,
    Last,
};

struct NoModel
{
};

using Base = rc::state::Command<NoModel, World>;

/** One thing that callers, operators or faults do, and the time that passes after it. */
class Step : public Base
{
public:
    Step()
        : kind(static_cast<Kind>(
            *rc::gen::inRange(0, static_cast<int>(Kind::Last)).as("kind")))
        , subject(*rc::gen::inRange(0, 12))
        , other(*rc::gen::inRange(0, 12))
        , length(*rc::gen::inRange(50, 6000))
        , pause(*rc::gen::inRange(0, 700))
    {
    }

    void apply(NoModel &) const override {}

    void run(const NoModel &, World &world) const override
    {
        this->act(world);
        world.run(this->pause);
        RC_ASSERT(world.violations().empty());
    }

    void show(std::ostream &out) const override
    {
        out << "step " << static_cast<int>(this->kind) << " on " << this->subject << ","
            << this->other << " for " << this->length << " ms, then " << this->pause << " ms";
    }

private:
    void act(World &world) const
    {
        const std::string task = world.task(this->other);
        const std::string worker = world.workerName(this->other);
        switch (this->kind) {
        case Kind::Request:
            return world.sendRequest(this->subject, false);
        case Kind::Order:
            return world.sendRequest(this->subject, true);
        case Kind::Resend:
            return world.sendAgain(this->subject, this->other);
        case Kind::Submit:
            return world.submitTask(this->subject, this->other);
        case Kind::Cancel:
            return world.command(this->subject, "cancel task " + task);
        case Kind::Evict:
            return world.command(this->subject, "evict task " + task);
        case Kind::Hold:
            return world.command(this->subject, "stop task " + task);
        case Kind::Resume:
            return world.command(this->subject, "resume task " + task);
        case Kind::Place:
            return world.command(this->subject, "place task " + task + " on worker " + worker);
        case Kind::Drain:
            return world.command(this->subject, "drain worker " + worker);
        case Kind::Undrain:
            return world.command(this->subject, "undrain worker " + worker);
        case Kind::Configure:
            return world.command(this->subject, "set note.a=" + std::to_string(this->length)
                                                    + ",note.b=" + std::to_string(this->length));
        case Kind::Kill:
            return world.kill(this->subject);
        case Kind::Stop:
            return world.stop(this->subject);
        case Kind::Freeze:
            return world.freeze(this->subject, this->length);
        case Kind::RestartWorker:
            return world.restartWorker(this->subject);
        case Kind::FreezeWorker:
            return world.freezeWorker(this->subject, this->length);
        case Kind::Leave:
            return world.leave(this->subject, false);
        case Kind::ListLeave:
            return world.leave(this->subject, true);
        case Kind::FailWorker:
            return world.failWorker(this->subject);
        case Kind::CutZones:
            return world.cutZones(this->length);
        case Kind::CutPlatform:
            return world.cutPlatform(this->subject, this->length);
        case Kind::Outage:
            return world.logOutage(this->length);
        case Kind::LoseAnswers:
            return world.loseAnswers(this->length);
        case Kind::SlowLog:
            return world.slowLog(this->length);
        case Kind::LoseMessages:
            return world.loseMessages(this->length);
        default:
            return world.run(this->length);
        }
    }

    Kind kind;
    int subject;
    int other;
    int length;
    int pause;
};

Counts grandTotal;
std::uint64_t schedules = 0;

/** Runs one random schedule; fails the property on the first promise seen broken. */
void runSchedule(Weakening weakening)
{
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>()).as("seed");
    World world(seed, weakening);
    NoModel model;
    ++schedules;
    rc::state::check(model, world, rc::state::gen::execOneOfWithArgs<Step>());
    world.settle();
    const Counts &counts = world.counts();
    grandTotal.steps += counts.steps;
    grandTotal.requests += counts.requests;
    grandTotal.answered += counts.answered;
    grandTotal.notRun += counts.notRun;
    grandTotal.unknown += counts.unknown;
    grandTotal.tasks += counts.tasks;
    grandTotal.finishedTasks += counts.finishedTasks;
    if (!world.violations().empty()) {
        RC_FAIL(world.violations().front());
    }
}

TEST(Promises, HoldUnderRandomFaults)
{
    const bool held = rc::check("all promises hold", [] { runSchedule(Weakening::None); });
    std::cout << "schedules " << schedules << ", steps " << grandTotal.steps << ", requests "
              << grandTotal.requests << " (answered " << grandTotal.answered << ", not run "
              << grandTotal.notRun << ", unknown " << grandTotal.unknown << "), tasks "
              << grandTotal.tasks << " (finished " << grandTotal.finishedTasks << ")\n";
    EXPECT_TRUE(held);
}

} // namespace
} // namespace godwitfall::promises
