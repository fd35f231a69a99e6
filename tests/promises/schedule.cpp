#include "schedule.h"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

namespace godwitfall::guarantees {
namespace {

enum class Kind {
    Request,
    OnceRequest,
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
    PartitionZones,
    DisconnectPlatform,
    LogOutage,
    LoseAppendReplies,
    SlowLog,
    LoseMessages,
    SlowOrders,
    DisconnectWorker,
    KillZone,
    Wait,
};

/** Steps that add work weigh most, because faults only matter while work is in flight. */
const std::vector<std::pair<int, Kind>> weights = {
    {10, Kind::Request},       {10, Kind::OnceRequest},
    {4, Kind::Resend},         {10, Kind::Submit},
    {1, Kind::Cancel},         {2, Kind::Evict},
    {1, Kind::Hold},           {1, Kind::Resume},
    {1, Kind::Place},          {1, Kind::Drain},
    {2, Kind::Undrain},        {2, Kind::Configure},
    {2, Kind::Kill},           {2, Kind::Stop},
    {3, Kind::Freeze},         {2, Kind::RestartWorker},
    {2, Kind::FreezeWorker},   {1, Kind::Leave},
    {1, Kind::ListLeave},      {1, Kind::FailWorker},
    {2, Kind::PartitionZones}, {2, Kind::DisconnectPlatform},
    {2, Kind::LogOutage},      {2, Kind::LoseAppendReplies},
    {2, Kind::SlowLog},        {2, Kind::LoseMessages},
    {3, Kind::SlowOrders},     {3, Kind::DisconnectWorker},
    {1, Kind::KillZone},       {3, Kind::Wait},
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

using Base = rc::state::Command<NoModel, Simulation>;

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

    void run(const NoModel &, Simulation &simulation) const override
    {
        this->act(simulation);
        simulation.run(this->pause);
        if (!simulation.violations().empty()) {
            RC_FAIL(simulation.violations().front());
        }
    }

    void show(std::ostream &out) const override
    {
        out << "step " << static_cast<int>(this->kind) << " on " << this->subject << ","
            << this->other << " for " << this->length << " ms, then " << this->pause << " ms";
    }

private:
    void act(Simulation &simulation) const
    {
        const std::string task = simulation.task(this->other);
        const std::string worker = simulation.workerName(this->other);
        switch (this->kind) {
        case Kind::Request:
            return this->sendBurst(simulation, false);
        case Kind::OnceRequest:
            return this->sendBurst(simulation, true);
        case Kind::Resend:
            return simulation.resendRequest(this->subject, this->other);
        case Kind::Submit:
            return simulation.submitTask(this->subject, this->other);
        case Kind::Cancel:
            return simulation.command(this->subject, "cancel task " + task);
        case Kind::Evict:
            return simulation.command(this->subject, "evict task " + task);
        case Kind::Hold:
            return simulation.command(this->subject, "stop task " + task);
        case Kind::Resume:
            return simulation.command(this->subject, "resume task " + task);
        case Kind::Place:
            return simulation.command(this->subject, "place task " + task + " on worker " + worker);
        case Kind::Drain:
            return simulation.command(this->subject, "drain worker " + worker);
        case Kind::Undrain:
            return simulation.command(this->subject, "undrain worker " + worker);
        case Kind::Configure:
            return simulation.command(this->subject, "set note.a=" + std::to_string(this->length) +
                                                         ",note.b=" + std::to_string(this->length));
        case Kind::Kill:
            return simulation.kill(this->subject);
        case Kind::Stop:
            return simulation.stop(this->subject);
        case Kind::Freeze:
            return simulation.freeze(this->subject, this->length);
        case Kind::RestartWorker:
            return simulation.restartWorker(this->subject);
        case Kind::FreezeWorker:
            return simulation.freezeWorker(this->subject, this->length);
        case Kind::Leave:
            return simulation.announceLeaving(this->subject, false);
        case Kind::ListLeave:
            return simulation.announceLeaving(this->subject, true);
        case Kind::FailWorker:
            return simulation.toggleWorkerFailure(this->subject);
        case Kind::PartitionZones:
            return simulation.partitionZones(this->length);
        case Kind::DisconnectPlatform:
            return simulation.disconnectPlatform(this->subject, this->length);
        case Kind::LogOutage:
            return simulation.logOutage(this->length);
        case Kind::LoseAppendReplies:
            return simulation.loseAppendReplies(this->length);
        case Kind::SlowLog:
            return simulation.slowLog(this->length);
        case Kind::LoseMessages:
            return simulation.loseMessages(this->length);
        case Kind::SlowOrders:
            return simulation.slowOrders(this->length);
        case Kind::DisconnectWorker:
            return simulation.disconnectWorker(this->subject, this->length * 2);
        case Kind::KillZone:
            simulation.kill(this->subject / 2 * 2);
            return simulation.kill(this->subject / 2 * 2 + 1);
        default:
            return simulation.run(this->length);
        }
    }

    void sendBurst(Simulation &simulation, bool once) const
    {
        for (int count = 0; count <= this->other / 2; ++count) {
            simulation.sendRequest(this->subject, once);
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
    Simulation simulation(seed, weakening);
    NoModel model;
    ++result.schedules;
    const auto note = [&] {
        result.firstViolation =
            simulation.violations().empty() ? "" : simulation.violations().front();
    };
    try {
        rc::state::check(model, simulation, rc::state::gen::execOneOfWithArgs<Step>());
    } catch (...) {
        note();
        throw;
    }
    simulation.settle();
    result.counts += simulation.counts();
    if (!simulation.violations().empty()) {
        note();
        RC_FAIL(simulation.violations().front());
    }
}

} // namespace

RunResult runSchedules(Weakening weakening)
{
    RunResult result;
    result.passed = rc::check("all guarantees hold", [&] { runSchedule(weakening, result); });
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
    result.passed = outcome.is<rc::detail::SuccessResult>();
    return result;
}

} // namespace godwitfall::guarantees
