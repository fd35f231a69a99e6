#include "script.h"

namespace godwitfall::promises {

namespace {

constexpr int step = 25; ///< Shift of the failure from one turn to the next, in ms.
/** Longest overrun of a task, in ms: a worker notices its end only in its next time step. */
constexpr std::uint64_t workerStepMs = 12;

void submitLong(World &world, const std::string &name, int runMs, const std::string &options)
{
    world.command(0, "submit task " + name + " team t milli_cores 1000 memory_mb 100 run_ms " +
                         std::to_string(runMs) + " " + options);
}

void expectFinished(World &world, const std::string &name)
{
    const wire::TaskRecord task = world.taskRecord(name);
    if (task.state() != wire::FINISHED) {
        world.report(name + " ended as " + stateName(task.state()) + " in attempt " +
                     std::to_string(task.attempt()) + ": " + task.reason());
    }
}

/** Checks that no work was lost or repeated between the attempts of the task. */
void expectWorkedOnce(World &world, const std::string &name, std::uint64_t runMs)
{
    expectFinished(world, name);
    const std::uint64_t worked = world.workedMs(name);
    if (worked < runMs || worked > runMs + workerStepMs) {
        world.report(std::to_string(worked) + " ms of work were done for " + name +
                     ", which needs " + std::to_string(runMs));
    }
}

/**
 * A disconnected worker keeps running until well after the lease of its task has lapsed and the
 * task was claimed elsewhere.
 */
void cutWorkerPastLapse(World &world, int)
{
    submitLong(world, "long", 12000, "");
    world.run(1500);
    world.cutWorkerOf("long", 14000);
    world.run(14000);
    world.settle();
    expectFinished(world, "long");
    if (world.taskRecord("long").attempt() != 2) {
        world.report("long ended in attempt " + std::to_string(world.taskRecord("long").attempt()) +
                     ", expected one more attempt after the lapse");
    }
}

/** A task with the policy "stay" must not be claimed elsewhere while its worker is unresponsive. */
void cutWorkerOfStayingTask(World &world, int)
{
    submitLong(world, "long", 9000, "stay");
    world.run(1500);
    world.cutWorkerOf("long", 12000);
    world.run(12000);
    if (world.taskRecord("long").attempt() != 1) {
        world.report("a staying task was claimed again while its worker was unresponsive");
    }
    world.settle();
    expectFinished(world, "long");
}

void ownerDiesWithOrdersOnTheWay(World &world, int turn)
{
    world.slowOrders(3500);
    for (int task = 0; task < 6; ++task) {
        submitLong(world, "t" + std::to_string(task), 3000, "");
    }
    world.run(150 + turn * step % 1000);
    world.kill(turn % 4);
    world.kill(turn % 4 ^ 1);
    for (int burst = 0; burst < 40; ++burst) {
        world.sendRequest(burst % 4, false);
        world.run(100);
    }
    world.settle();
}

/**
 * All instances of a zone die at some moment between checkpoint, stop, record and restart; the work
 * must resume exactly once.
 */
void ownerDiesDuringEviction(World &world, int turn)
{
    submitLong(world, "moved", 4000, "");
    world.run(1500);
    // The command is sent through the zone that stays up; the instances of the other one die.
    world.command(turn % 2 == 0 ? 2 : 0, "evict task moved");
    world.run(turn * step);
    world.kill(turn % 2 == 0 ? 0 : 2);
    world.kill(turn % 2 == 0 ? 1 : 3);
    world.run(8000);
    world.settle();
    expectWorkedOnce(world, "moved", 4000);
}

void logFailsDuringEviction(World &world, int turn)
{
    submitLong(world, "moved", 4000, "once");
    world.run(1500);
    world.command(0, "evict task moved");
    world.loseAnswers(6000);
    world.run(turn * step);
    world.logOutage(1500);
    world.run(6000);
    world.settle();
    expectWorkedOnce(world, "moved", 4000);
}

void cancelRacesResume(World &world, int turn)
{
    submitLong(world, "raced", 3000, "");
    world.run(1200);
    world.command(0, "evict task raced");
    world.run(turn * step);
    world.command(3, "cancel task raced");
    world.run(300);
    world.kill(turn % 4);
    world.settle();
    if (world.taskRecord("raced").state() != wire::CALLED_OFF) {
        world.report("a cancelled task was not called off");
    }
}

/** The same at-most-once request is sent to every instance, with a fault in between. */
void orderIsSentEverywhere(World &world, int turn)
{
    world.sendRequest(0, true);
    world.run(turn * step % 400);
    if (turn % 3 == 0) {
        world.kill(0);
    } else if (turn % 3 == 1) {
        world.logOutage(700);
    } else {
        world.loseMessages(500);
    }
    for (int instance = 0; instance < 4; ++instance) {
        world.sendAgain(instance, 0);
        world.run(turn % 5 * 40);
    }
    world.run(2000);
    world.sendAgain(2, 0);
    world.settle();
}

void stopUnderFullLoad(World &world, int turn)
{
    for (int burst = 0; burst < 30; ++burst) {
        for (int instance = 0; instance < 4; ++instance) {
            world.sendRequest(instance, burst % 5 == 0);
        }
        world.run(20);
        if (burst == turn % 30) {
            world.stop(turn % 4);
            world.stop(turn % 4);
        }
        if (burst == (turn + 3) % 30 && turn % 2 == 0) {
            world.kill(turn % 4 ^ 1);
        }
    }
    world.settle();
}

void configInOutage(World &world, int turn)
{
    for (int version = 1; version <= 3; ++version) {
        world.command(version, "set note.season = " + std::to_string(version));
        world.run(700);
    }
    if (turn % 2 == 0) {
        // Adds more entries than the log retains, so that a new instance needs a snapshot.
        for (int entry = 0; entry < 500; ++entry) {
            world.command(entry, "set note.fill = " + std::to_string(entry));
            world.run(20);
        }
        world.run(1000);
    }
    world.logOutage(9000);
    world.run(step * turn);
    world.kill(0);
    for (int wait = 0; wait < 16; ++wait) {
        world.run(500);
        if (world.ready(0) && world.configOf(0, "note.season") != "3") {
            world.report("an instance started in an outage serves older configuration");
        }
    }
    world.settle();
    for (int instance = 0; instance < 4; ++instance) {
        if (world.configOf(instance, "note.season") != "3") {
            world.report("accepted configuration was lost");
        }
    }
}

void invalidConfigIsRefusedWhole(World &world, int)
{
    world.command(0, "set note.good = 1");
    world.run(500);
    world.command(1, "set note.good = 2, note.bad = 99999999999");
    world.command(2, "set note.good = 3, unknown.key = 1");
    world.run(1000);
    world.settle();
    for (int instance = 0; instance < 4; ++instance) {
        if (world.configOf(instance, "note.good") != "1") {
            world.report("a refused change of configuration took effect");
        }
    }
}

void zoneIsCutWithTasksRunning(World &world, int turn)
{
    for (int task = 0; task < 4; ++task) {
        submitLong(world, "t" + std::to_string(task), 5000, task % 2 == 0 ? "" : "stay");
    }
    world.run(800 + turn * step);
    world.cutZones(9000);
    world.cutPlatform(turn, 9000);
    for (int burst = 0; burst < 20; ++burst) {
        world.sendRequest(burst, false);
        world.run(400);
    }
    world.settle();
    for (int task = 0; task < 4; ++task) {
        expectFinished(world, "t" + std::to_string(task));
    }
}

} // namespace

const std::vector<Script> &scripts()
{
    static const std::vector<Script> all = {
        {"CutWorkerPastLapse", 40, &cutWorkerPastLapse},
        {"CutWorkerOfStayingTask", 20, &cutWorkerOfStayingTask},
        {"OwnerDiesWithOrdersOnTheWay", 120, &ownerDiesWithOrdersOnTheWay},
        {"OwnerDiesDuringEviction", 60, &ownerDiesDuringEviction},
        {"LogFailsDuringEviction", 60, &logFailsDuringEviction},
        {"CancelRacesResume", 40, &cancelRacesResume},
        {"OrderIsSentEverywhere", 60, &orderIsSentEverywhere},
        {"StopUnderFullLoad", 60, &stopUnderFullLoad},
        {"ConfigInOutage", 20, &configInOutage},
        {"InvalidConfigIsRefusedWhole", 5, &invalidConfigIsRefusedWhole},
        {"ZoneIsCutWithTasksRunning", 40, &zoneIsCutWithTasksRunning},
    };
    return all;
}

std::string runScript(const Script &script, Weakening weakening)
{
    for (int turn = 0; turn < script.turns; ++turn) {
        World world(static_cast<std::uint64_t>(turn) + 1, weakening);
        script.run(world, turn);
        if (!world.violations().empty()) {
            return "turn " + std::to_string(turn) + ": " + world.violations().front();
        }
    }
    return {};
}

} // namespace godwitfall::promises
