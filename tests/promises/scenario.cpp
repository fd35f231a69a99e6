#include "scenario.h"

namespace godwitfall::guarantees {

namespace {

constexpr int stepMs = 25; ///< Shift of the failure from one variant to the next.
/** Longest overrun of a task, in ms: a worker notices its end only in its next time step. */
constexpr std::uint64_t workerStepMs = 12;

void submitTask(Simulation &simulation, const std::string &name, int runMs,
                const std::string &options)
{
    simulation.command(0, "submit task " + name + " team t milli_cores 1000 memory_mb 100 run_ms " +
                              std::to_string(runMs) + " " + options);
}

void expectFinished(Simulation &simulation, const std::string &name)
{
    const wire::TaskRecord task = simulation.taskRecord(name);
    if (task.state() != wire::FINISHED) {
        simulation.reportViolation(name + " ended as " + stateName(task.state()) + " in attempt " +
                                   std::to_string(task.attempt()) + ": " + task.reason());
    }
}

/** Checks that no work was lost or repeated between the attempts of the task. */
void expectWorkedOnce(Simulation &simulation, const std::string &name, std::uint64_t runMs)
{
    expectFinished(simulation, name);
    const std::uint64_t worked = simulation.workedMs(name);
    if (worked < runMs || worked > runMs + workerStepMs) {
        simulation.reportViolation(std::to_string(worked) + " ms of work were done for " + name +
                                   ", which needs " + std::to_string(runMs));
    }
}

/**
 * A disconnected worker keeps running until well after the lease of its task has lapsed and the
 * task was claimed elsewhere.
 */
void disconnectedWorkerPastLapse(Simulation &simulation, int)
{
    submitTask(simulation, "long", 12000, "");
    simulation.run(1500);
    simulation.disconnectWorkerOf("long", 14000);
    simulation.run(14000);
    simulation.settle();
    expectFinished(simulation, "long");
    if (simulation.taskRecord("long").attempt() != 2) {
        simulation.reportViolation("long ended in attempt " +
                                   std::to_string(simulation.taskRecord("long").attempt()) +
                                   ", expected one more attempt after the lapse");
    }
}

/** A task with the policy "stay" must not be claimed elsewhere while its worker is unresponsive. */
void disconnectedWorkerOfStayingTask(Simulation &simulation, int)
{
    submitTask(simulation, "long", 9000, "stay");
    simulation.run(1500);
    simulation.disconnectWorkerOf("long", 12000);
    simulation.run(12000);
    if (simulation.taskRecord("long").attempt() != 1) {
        simulation.reportViolation(
            "a staying task was claimed again while its worker was unresponsive");
    }
    simulation.settle();
    expectFinished(simulation, "long");
}

void ownerDiesWithOrdersInFlight(Simulation &simulation, int variant)
{
    simulation.slowOrders(3500);
    for (int task = 0; task < 6; ++task) {
        submitTask(simulation, "t" + std::to_string(task), 3000, "");
    }
    simulation.run(150 + variant * stepMs % 1000);
    simulation.kill(variant % 4);
    simulation.kill(variant % 4 ^ 1);
    for (int burst = 0; burst < 40; ++burst) {
        simulation.sendRequest(burst % 4, false);
        simulation.run(100);
    }
    simulation.settle();
}

/**
 * All instances of a zone die at some moment between checkpoint, stop, record and restart; the work
 * must resume exactly once.
 */
void ownerDiesDuringEviction(Simulation &simulation, int variant)
{
    submitTask(simulation, "moved", 4000, "");
    simulation.run(1500);
    // The command is sent through the zone that stays up; the instances of the other one die.
    simulation.command(variant % 2 == 0 ? 2 : 0, "evict task moved");
    simulation.run(variant * stepMs);
    simulation.kill(variant % 2 == 0 ? 0 : 2);
    simulation.kill(variant % 2 == 0 ? 1 : 3);
    simulation.run(8000);
    simulation.settle();
    expectWorkedOnce(simulation, "moved", 4000);
}

void logFailsDuringEviction(Simulation &simulation, int variant)
{
    submitTask(simulation, "moved", 4000, "once");
    simulation.run(1500);
    simulation.command(0, "evict task moved");
    simulation.loseAppendReplies(6000);
    simulation.run(variant * stepMs);
    simulation.logOutage(1500);
    simulation.run(6000);
    simulation.settle();
    expectWorkedOnce(simulation, "moved", 4000);
}

void cancelRacesResume(Simulation &simulation, int variant)
{
    submitTask(simulation, "raced", 3000, "");
    simulation.run(1200);
    simulation.command(0, "evict task raced");
    simulation.run(variant * stepMs);
    simulation.command(3, "cancel task raced");
    simulation.run(300);
    simulation.kill(variant % 4);
    simulation.settle();
    if (simulation.taskRecord("raced").state() != wire::CALLED_OFF) {
        simulation.reportViolation("a cancelled task was not called off");
    }
}

/** The same at-most-once request is sent to every instance, with a fault in between. */
void onceRequestIsSentEverywhere(Simulation &simulation, int variant)
{
    simulation.sendRequest(0, true);
    simulation.run(variant * stepMs % 400);
    if (variant % 3 == 0) {
        simulation.kill(0);
    } else if (variant % 3 == 1) {
        simulation.logOutage(700);
    } else {
        simulation.loseMessages(500);
    }
    for (int instance = 0; instance < 4; ++instance) {
        simulation.resendRequest(instance, 0);
        simulation.run(variant % 5 * 40);
    }
    simulation.run(2000);
    simulation.resendRequest(2, 0);
    simulation.settle();
}

void stopUnderFullLoad(Simulation &simulation, int variant)
{
    for (int burst = 0; burst < 30; ++burst) {
        for (int instance = 0; instance < 4; ++instance) {
            simulation.sendRequest(instance, burst % 5 == 0);
        }
        simulation.run(20);
        if (burst == variant % 30) {
            simulation.stop(variant % 4);
            simulation.stop(variant % 4);
        }
        if (burst == (variant + 3) % 30 && variant % 2 == 0) {
            simulation.kill(variant % 4 ^ 1);
        }
    }
    simulation.settle();
}

void configDuringOutage(Simulation &simulation, int variant)
{
    for (int version = 1; version <= 3; ++version) {
        simulation.command(version, "set note.season = " + std::to_string(version));
        simulation.run(700);
    }
    if (variant % 2 == 0) {
        // Adds more entries than the log retains, so that a new instance needs a snapshot.
        for (int entry = 0; entry < 500; ++entry) {
            simulation.command(entry, "set note.fill = " + std::to_string(entry));
            simulation.run(20);
        }
        simulation.run(1000);
    }
    simulation.logOutage(9000);
    simulation.run(stepMs * variant);
    simulation.kill(0);
    for (int wait = 0; wait < 16; ++wait) {
        simulation.run(500);
        if (simulation.ready(0) && simulation.configOf(0, "note.season") != "3") {
            simulation.reportViolation(
                "an instance started in an outage serves older configuration");
        }
    }
    simulation.settle();
    for (int instance = 0; instance < 4; ++instance) {
        if (simulation.configOf(instance, "note.season") != "3") {
            simulation.reportViolation("accepted configuration was lost");
        }
    }
}

void invalidConfigIsRefusedWhole(Simulation &simulation, int)
{
    simulation.command(0, "set note.good = 1");
    simulation.run(500);
    simulation.command(1, "set note.good = 2, note.bad = 99999999999");
    simulation.command(2, "set note.good = 3, unknown.key = 1");
    simulation.run(1000);
    simulation.settle();
    for (int instance = 0; instance < 4; ++instance) {
        if (simulation.configOf(instance, "note.good") != "1") {
            simulation.reportViolation("a refused change of configuration took effect");
        }
    }
}

void zoneIsPartitionedWithTasksRunning(Simulation &simulation, int variant)
{
    for (int task = 0; task < 4; ++task) {
        submitTask(simulation, "t" + std::to_string(task), 5000, task % 2 == 0 ? "" : "stay");
    }
    simulation.run(800 + variant * stepMs);
    simulation.partitionZones(9000);
    simulation.disconnectPlatform(variant, 9000);
    for (int burst = 0; burst < 20; ++burst) {
        simulation.sendRequest(burst, false);
        simulation.run(400);
    }
    simulation.settle();
    for (int task = 0; task < 4; ++task) {
        expectFinished(simulation, "t" + std::to_string(task));
    }
}

} // namespace

const std::vector<Scenario> &scenarios()
{
    static const std::vector<Scenario> all = {
        {"DisconnectedWorkerPastLapse", 40, &disconnectedWorkerPastLapse},
        {"DisconnectedWorkerOfStayingTask", 20, &disconnectedWorkerOfStayingTask},
        {"OwnerDiesWithOrdersInFlight", 120, &ownerDiesWithOrdersInFlight},
        {"OwnerDiesDuringEviction", 60, &ownerDiesDuringEviction},
        {"LogFailsDuringEviction", 60, &logFailsDuringEviction},
        {"CancelRacesResume", 40, &cancelRacesResume},
        {"OnceRequestIsSentEverywhere", 60, &onceRequestIsSentEverywhere},
        {"StopUnderFullLoad", 60, &stopUnderFullLoad},
        {"ConfigDuringOutage", 20, &configDuringOutage},
        {"InvalidConfigIsRefusedWhole", 5, &invalidConfigIsRefusedWhole},
        {"ZoneIsPartitionedWithTasksRunning", 40, &zoneIsPartitionedWithTasksRunning},
    };
    return all;
}

std::string runScenario(const Scenario &scenario, Weakening weakening)
{
    for (int variant = 0; variant < scenario.variants; ++variant) {
        Simulation simulation(static_cast<std::uint64_t>(variant) + 1, weakening);
        scenario.run(simulation, variant);
        if (!simulation.violations().empty()) {
            return "variant " + std::to_string(variant) + ": " + simulation.violations().front();
        }
    }
    return {};
}

} // namespace godwitfall::guarantees
