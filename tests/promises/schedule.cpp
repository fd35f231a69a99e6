#include "schedule.h"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

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
    SlowOrders,
    CutWorker,
    KillZone,
    Wait,
};

/** Steps that add work weigh most, because faults only matter while work is in flight. */
const std::vector<std::pair<int, Kind>> weights = {
    {10, Kind::Request},      {10, Kind::Order},       {4, Kind::Resend},
    {10, Kind::Submit},       {1, Kind::Cancel},       {2, Kind::Evict},
    {1, Kind::Hold},          {1, Kind::Resume},       {1, Kind::Place},
    {1, Kind::Drain},         {2, Kind::Undrain},      {2, Kind::Configure},
    {2, Kind::Kill},          {2, Kind::Stop},         {3, Kind::Freeze},
    {2, Kind::RestartWorker}, {2, Kind::FreezeWorker}, {1, Kind::Leave},
    {1, Kind::ListLeave},     {1, Kind::FailWorker},   {2, Kind::CutZones},
    {2, Kind::CutPlatform},   {2, Kind::Outage},       {2, Kind::LoseAnswers},
    {2, Kind::SlowLog},       {2, Kind::LoseMessages}, {3, Kind::SlowOrders},
    {3, Kind::CutWorker},     {1, Kind::KillZone},     {3, Kind::Wait},
};

Kind kindAt(int ticket)
{
    for (const auto &[weight, kind] : weights) {
        if (ticket < weight) {
            return kind;
        }
        ticket -= weight;
    }
    return Kind::Wait;
}

int allWeights()
{
    int sum = 0;
    for (const auto &[weight, kind] : weights) {
        sum += weight;
    }
    return sum;
}

struct NoModel
{};

using Base = rc::state::Command<NoModel, World>;

/** One random action of a caller, an operator or a fault, and the pause after it. */
class Step : public Base
{
public:
    Step()
        : kind(kindAt(*rc::gen::inRange(0, allWeights()).as("kind")))
        , subject(*rc::gen::inRange(0, 12))
        , other(*rc::gen::inRange(0, 12))
        , length(*rc::gen::inRange(50, 12000))
        , pause(*rc::gen::inRange(0, 1200))
    {}

    void apply(NoModel &) const override {}

    void run(const NoModel &, World &world) const override
    {
        this->act(world);
        world.run(this->pause);
        if (!world.violations().empty()) {
            RC_FAIL(world.violations().front());
        }
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
            return this->sendBurst(world, false);
        case Kind::Order:
            return this->sendBurst(world, true);
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
            return world.command(this->subject, "set note.a=" + std::to_string(this->length) +
                                                    ",note.b=" + std::to_string(this->length));
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
        case Kind::SlowOrders:
            return world.slowOrders(this->length);
        case Kind::CutWorker:
            return world.cutWorker(this->subject, this->length * 2);
        case Kind::KillZone:
            world.kill(this->subject / 2 * 2);
            return world.kill(this->subject / 2 * 2 + 1);
        default:
            return world.run(this->length);
        }
    }

    void sendBurst(World &world, bool once) const
    {
        for (int count = 0; count <= this->other / 2; ++count) {
            world.sendRequest(this->subject, once);
        }
    }

    Kind kind;
    int subject;
    int other;
    int length;
    int pause;
};

/** Runs one random schedule; fails the property on the first violated guarantee. */
void runSchedule(Weakening weakening, RunResult &result)
{
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>()).as("seed");
    World world(seed, weakening);
    NoModel model;
    ++result.schedules;
    const auto note = [&] {
        result.firstBroken = world.violations().empty() ? "" : world.violations().front();
    };
    try {
        rc::state::check(model, world, rc::state::gen::execOneOfWithArgs<Step>());
    } catch (...) {
        note();
        throw;
    }
    world.settle();
    result.counts += world.counts();
    if (!world.violations().empty()) {
        note();
        RC_FAIL(world.violations().front());
    }
}

} // namespace

RunResult runSchedules(Weakening weakening)
{
    RunResult result;
    result.held = rc::check("all guarantees hold", [&] { runSchedule(weakening, result); });
    return result;
}

RunResult runSchedules(Weakening weakening, std::uint64_t seed, int schedules)
{
    RunResult result;
    rc::detail::TestParams parameters;
    parameters.seed = seed;
    parameters.maxSuccess = schedules;
    parameters.disableShrinking = true;
    const auto outcome = rc::detail::checkTestable([&] { runSchedule(weakening, result); },
                                                   rc::detail::TestMetadata(), parameters);
    result.held = outcome.is<rc::detail::SuccessResult>();
    return result;
}

} // namespace godwitfall::promises
