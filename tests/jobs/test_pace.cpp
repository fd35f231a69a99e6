// Best-effort tasks that are slowed or halted beside serving tasks.
#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "coordinatorworld.h"

namespace godwitfall::jobtests {
namespace {

struct HaltedTask
{
    const char *name;
    bool checkpointing;
    std::uint32_t percent;    ///< Of its work, done when it is halted.
    std::int64_t stoppedByMs; ///< After it was halted; 0: it stays.
};

class HaltedTaskTest : public testing::TestWithParam<HaltedTask>
{};

// Guards against: a best-effort task that was halted beside a serving task stayed there until its
// job was given up, with other workers free and later steps of its job waiting for it.
TEST_P(HaltedTaskTest, IsMovedOnceItHasWaitedAsLongAsItsWorkTakes)
{
    CoordinatorWorld world;
    world.coordinator.begin(1, Instant(0), 1, Instant(0));
    WorkerReport report;
    const auto respond = [&](const char *worker, std::int64_t at) {
        report.clockMs = at;
        world.coordinator.holdAnswered(WorkerId(worker), Instant(at), Instant(at),
                                       OrderOutcome::Accepted, report);
    };
    const auto place = [&](std::int64_t at) {
        world.commit(at);
        for (const StartOrder &start : std::exchange(world.orders.starts, {})) {
            world.coordinator.startAnswered(start.target.worker, start.task, start.run, Instant(at),
                                            OrderOutcome::Accepted);
        }
    };
    world.coordinator.setWorker(entryOf("w0"), Instant(0));
    respond("w0", 10);
    jobs::JobSpec serving = oneTask(true);
    serving.mutable_steps(0)->set_image("shop");
    serving.mutable_steps(0)->set_target_ms(100);
    const JobId shop = world.submit(serving, 20);
    place(30);
    jobs::JobSpec bestEffort;
    bestEffort.set_service("orchard");
    *bestEffort.add_steps() = stepOf(1, 20000);
    bestEffort.mutable_steps(0)->set_image("grind");
    bestEffort.mutable_steps(0)->set_fills(true);
    bestEffort.mutable_steps(0)->set_checkpointing(GetParam().checkpointing);
    const JobId grind = world.submit(bestEffort, 40);
    // It waits a while for a worker without serving tasks.
    std::int64_t at = 500;
    while (world.coordinator.statistics(Instant(at)).bestEffortMilliCores == 0) {
        ASSERT_LT(at, 5000);
        report.running = {RunningTask{TaskRef{shop, 0, 0, 0}, 1, {}, 100, 20}};
        respond("w0", at);
        place(at);
        at += 500;
    }
    // Another worker joins; the serving task continues to miss its target.
    world.coordinator.setWorker(entryOf("w1"), Instant(at));
    std::int64_t haltedAt = 0;
    std::int64_t stoppedAt = 0;
    for (; at <= 33000 && stoppedAt == 0; at += 500) {
        report.running.clear();
        respond("w1", at);
        report.running = {
            RunningTask{TaskRef{shop, 0, 0, 0}, 1, {}, 100, 500},
            RunningTask{
                TaskRef{grind, 0, 0, 0}, 1, {}, GetParam().percent, haltedAt == 0 ? 1000 : 0}};
        respond("w0", at);
        haltedAt = haltedAt == 0 && world.task(grind).pace == 0 ? at : haltedAt;
        stoppedAt = world.orders.stops.empty() ? 0 : at;
    }
    ASSERT_NE(haltedAt, 0);
    if (GetParam().stoppedByMs == 0) {
        EXPECT_EQ(stoppedAt, 0);
    } else {
        EXPECT_NE(stoppedAt, 0);
        EXPECT_LE(stoppedAt - haltedAt, GetParam().stoppedByMs);
    }
}

INSTANTIATE_TEST_SUITE_P(Tasks, HaltedTaskTest,
                         testing::Values(HaltedTask{"Checkpointing", true, 90, 3000},
                                         HaltedTask{"LittleDone", false, 10, 7000},
                                         HaltedTask{"HalfDone", false, 50, 12000}),
                         [](const auto &info) { return std::string(info.param.name); });

/** Workers whose serving tasks are slowed by best-effort tasks as the interference model expects.
 */
class SharedWorkers
{
public:
    /** Time between two reports of a worker. */
    static constexpr std::int64_t stepMs = 100;
    static constexpr double pressureOfGrind = 2.0;

    SharedWorkers()
    {
        jobs::LearntPressures learned;
        const auto addFactor = [&](const char *bestEffort, double factor) {
            jobs::PressureFactors &entry = *learned.add_factors();
            entry.set_serving("shop");
            entry.set_filling(bestEffort);
            entry.set_calm(static_cast<float>(factor));
            entry.set_calm_variance(0.001F);
            entry.set_busy(static_cast<float>(factor));
            entry.set_busy_variance(0.001F);
        };
        addFactor("grind", pressureOfGrind);
        addFactor("light", 0.0);
        learned.add_bases()->set_image("shop");
        learned.mutable_bases(0)->set_milliseconds(baseMs);
        Job *job = nullptr;
        this->world.table.apply(
            record(JobTable::pressuresKey, learned.SerializeAsString(), ++this->world.offset),
            Instant(0), job);
        this->world.coordinator.begin(1, Instant(0), 1, Instant(0));
    }

    void addWorker(const std::string &id)
    {
        this->world.coordinator.setWorker(entryOf(id), Instant(this->now));
        this->workers.emplace(id, 0);
    }

    /** Adds a serving task that, alone, has the headroom to its target; as a load. */
    JobId serve(double headroom, std::uint32_t milliCores)
    {
        this->ownLoad = targetLoad - headroom;
        jobs::JobSpec spec = oneTask(true);
        spec.mutable_steps(0)->set_image("shop");
        spec.mutable_steps(0)->set_target_ms(targetMs);
        spec.mutable_steps(0)->set_milli_cores(milliCores);
        return this->world.submit(spec, this->now);
    }

    JobId bestEffort(const char *image, std::uint32_t milliCores, std::uint32_t workMs,
                     std::uint32_t tasks = 1)
    {
        jobs::JobSpec spec;
        spec.set_queue("plan");
        spec.set_service("orchard");
        *spec.add_steps() = stepOf(tasks, workMs);
        spec.mutable_steps(0)->set_image(image);
        spec.mutable_steps(0)->set_fills(true);
        spec.mutable_steps(0)->set_milli_cores(milliCores);
        return this->world.submit(spec, this->now);
    }

    JobId longRunningBestEffort(const char *image, std::uint32_t milliCores)
    {
        jobs::JobSpec spec = oneTask(true);
        spec.mutable_steps(0)->set_image(image);
        spec.mutable_steps(0)->set_fills(true);
        spec.mutable_steps(0)->set_milli_cores(milliCores);
        return this->world.submit(spec, this->now);
    }

    /** Advances until the condition holds; returns when, or -1 if it does not hold in time. */
    template <typename Condition>
    std::int64_t advance(std::int64_t milliseconds, const Condition &holds)
    {
        const std::int64_t until = this->now + milliseconds;
        while (!holds()) {
            if (this->now >= until) {
                return -1;
            }
            this->step();
        }
        return this->now;
    }

    void loseRun(const JobId &id) { this->runs.erase(TaskRef{id, 0, 0, 0}); }

    void loseWorker(const std::string &id)
    {
        this->workers.erase(id);
        std::erase_if(this->runs, [&](const auto &run) { return run.second.worker == id; });
    }

    bool isDone(const JobId &id) { return this->world.table.find(id)->closed(); }
    std::int64_t tasksAtWork(const JobId &id) const
    {
        return std::count_if(this->runs.begin(), this->runs.end(),
                             [&](const auto &run) { return run.first.job == id; });
    }
    bool runsNow(const JobId &id) const { return this->runs.contains(TaskRef{id, 0, 0, 0}); }
    /** Returns the state of the only task; that of a new one before it is placed. */
    Task task(const JobId &id)
    {
        const Task *known = this->world.table.find(id)->task(TaskRef{id, 0, 0, 0});
        return known ? *known : Task();
    }

    std::int64_t now = 0;
    /** Longest time for which a serving task was over its target beside a task that works. */
    std::int64_t longestHarmMs = 0;

private:
    static constexpr float baseMs = 20;
    static constexpr std::uint32_t targetMs = 100;
    static constexpr double targetLoad = 0.8;
    static constexpr double coresOfWorker = 64000.0;

    struct Run
    {
        std::string worker;
        std::uint32_t number = 0;
        double workedMs = 0.0;
    };

    const jobs::StepSpec &specOf(const TaskRef &ref)
    {
        return this->world.table.find(ref.job)->stepSpec(0);
    }

    double loadOn(const std::string &worker)
    {
        double load = this->ownLoad;
        for (const auto &[ref, run] : this->runs) {
            const jobs::StepSpec &spec = this->specOf(ref);
            if (run.worker == worker && spec.image() == "grind") {
                load += pressureOfGrind * spec.milli_cores() / coresOfWorker *
                        this->task(ref.job).pace / 100.0;
            }
        }
        return load;
    }

    std::int64_t metricOf(const std::string &worker, const TaskRef &ref)
    {
        const jobs::StepSpec &spec = this->specOf(ref);
        if (spec.target_ms() == 0) {
            return static_cast<std::int64_t>(spec.milli_cores()) * this->task(ref.job).pace / 100;
        }
        const double load = this->loadOn(worker);
        const double factor =
            load <= targetLoad ? 1.0 / (1.0 - load) : 5.0 + (load - targetLoad) * 200.0;
        return std::lround(baseMs * factor);
    }

    void report(const std::string &worker, std::uint64_t &ends)
    {
        WorkerReport report;
        report.clockMs = this->now;
        bool works = false;
        bool overTarget = false;
        for (auto at = this->runs.begin(); at != this->runs.end();) {
            const auto &[ref, known] = *at;
            const TaskRef task = ref;
            Run &run = at->second;
            if (run.worker != worker) {
                ++at;
                continue;
            }
            const jobs::StepSpec &spec = this->specOf(task);
            const double pace = spec.fills() ? this->task(task.job).pace / 100.0 : 1.0;
            works = works || (spec.image() == "grind" && pace > 0.0);
            run.workedMs += pace * stepMs;
            const bool done = !spec.long_running() && run.workedMs >= spec.estimated_ms();
            const auto percent = static_cast<std::uint32_t>(
                spec.long_running() ? 100.0 : 100.0 * run.workedMs / spec.estimated_ms());
            const std::int64_t metric = this->metricOf(worker, task);
            overTarget = overTarget || (spec.target_ms() > 0 && metric > spec.target_ms());
            if (done) {
                report.ended.push_back(EndedTask{++ends, task, run.number, RunEnd::Done, {}});
                at = this->runs.erase(at);
            } else {
                report.running.push_back(RunningTask{task, run.number, {}, percent, metric});
                ++at;
            }
        }
        std::int64_t &harm = this->harmMs[worker];
        harm = overTarget && works ? harm + stepMs : 0;
        this->longestHarmMs = std::max(this->longestHarmMs, harm);
        this->world.coordinator.holdAnswered(WorkerId(worker), Instant(this->now),
                                             Instant(this->now), OrderOutcome::Accepted, report);
    }

    void step()
    {
        this->now += stepMs;
        this->world.tick(this->now);
        this->world.commit(this->now);
        for (const StartOrder &start : std::exchange(this->world.orders.starts, {})) {
            if (this->workers.contains(start.target.worker.value())) {
                this->runs[start.task] = Run{start.target.worker.value(), start.run};
                this->world.coordinator.startAnswered(start.target.worker, start.task, start.run,
                                                      Instant(this->now), OrderOutcome::Accepted);
            }
        }
        for (const StopOrder &stop : std::exchange(this->world.orders.stops, {})) {
            if (this->workers.contains(stop.target.worker.value())) {
                this->runs.erase(stop.task);
                this->world.coordinator.stopAnswered(stop.target.worker, stop.task, stop.run,
                                                     Instant(this->now), OrderOutcome::Accepted);
            }
        }
        for (const HoldOrder &hold : std::exchange(this->world.orders.holds, {})) {
            if (!this->workers.contains(hold.target.worker.value())) {
                this->world.coordinator.holdAnswered(hold.target.worker, Instant(this->now),
                                                     Instant(this->now), OrderOutcome::Unanswered,
                                                     {});
            }
        }
        for (auto &[id, ends] : this->workers) {
            this->report(id, ends);
        }
    }

    CoordinatorWorld world;
    std::map<std::string, std::uint64_t> workers; ///< With the number of the last end.
    std::map<TaskRef, Run> runs;
    std::map<std::string, std::int64_t> harmMs;
    double ownLoad = 0.0;
};

/** Time for which a job may stand still while a worker could take its tasks, in ms; set by the
 * platform. */
constexpr std::int64_t longestIdleMs = 3000;

// Guards against: a best-effort task waited for 15 s with less than a third of the processors
// reserved, as those of other best-effort tasks counted as in use.
TEST(BestEffortWaitTest, IsShortWhileFewProcessorsAreReserved)
{
    SharedWorkers sim;
    sim.addWorker("w0");
    const JobId shop = sim.serve(0.02, 20000);
    ASSERT_GT(sim.advance(2000, [&] { return sim.runsNow(shop); }), 0);
    const JobId resident = sim.bestEffort("light", 24000, 60000);
    ASSERT_GT(sim.advance(4000, [&] { return sim.runsNow(resident); }), 0);
    sim.advance(1000, [] { return false; });
    const JobId grind = sim.bestEffort("grind", 8000, 1000);
    EXPECT_GT(sim.advance(longestIdleMs, [&] { return sim.runsNow(grind); }), 0);
}

struct SlowedTask
{
    const char *name;
    double headroom; ///< Of the serving task beside it.
    std::uint32_t milliCores;
    std::uint32_t slowedTo; ///< Its pace in percent.
};

class SlowedTaskTest : public testing::TestWithParam<SlowedTask>
{};

// Guards against: a best-effort task without checkpoints stood still for 5 s, or for good at a
// fifth of its pace, beside a serving task while another worker was idle.
TEST_P(SlowedTaskTest, MovesToAWorkerWhereItSlowsNothing)
{
    SharedWorkers sim;
    sim.addWorker("w0");
    const JobId shop = sim.serve(GetParam().headroom, 20000);
    ASSERT_GT(sim.advance(2000, [&] { return sim.runsNow(shop); }), 0);
    const JobId grind = sim.bestEffort("grind", GetParam().milliCores, 5000);
    const std::int64_t slowed = sim.advance(4000, [&] { return sim.task(grind).pace < 100; });
    ASSERT_GT(slowed, 0);
    EXPECT_EQ(sim.task(grind).pace, GetParam().slowedTo);
    sim.addWorker("w1");
    const std::int64_t moved = sim.advance(10000, [&] { return sim.task(grind).worker == "w1"; });
    ASSERT_GT(moved, 0);
    EXPECT_LE(moved - slowed, longestIdleMs);
}

INSTANTIATE_TEST_SUITE_P(Tasks, SlowedTaskTest,
                         testing::Values(SlowedTask{"Halted", 0.02, 8000, 0},
                                         SlowedTask{"ToAFifth", 0.21, 16000, 20}),
                         [](const auto &info) { return std::string(info.param.name); });

struct CrowdedTask
{
    const char *name;
    double headroom;         ///< Of the serving task beside it.
    bool runsAgain;          ///< Its first run is lost.
    std::int64_t endsWithin; ///< After it began to run, in ms.
};

class CrowdedTaskTest : public testing::TestWithParam<CrowdedTask>
{};

// Guards against: a best-effort task of 2 s was halted to the end of the day beside serving tasks
// that met their targets, so that the next steps of its job, or the task that had ended with a lost
// worker, waited with most of the processors free.
TEST_P(CrowdedTaskTest, EndsInABoundedTime)
{
    SharedWorkers sim;
    sim.addWorker("w0");
    const JobId shop = sim.serve(GetParam().headroom, 20000);
    ASSERT_GT(sim.advance(2000, [&] { return sim.runsNow(shop); }), 0);
    const JobId grind = sim.bestEffort("grind", 4000, 2000);
    ASSERT_GT(sim.advance(4000, [&] { return sim.runsNow(grind); }), 0);
    std::int64_t began = sim.now;
    if (GetParam().runsAgain) {
        ASSERT_GT(sim.advance(4000, [&] { return sim.task(grind).pace == 0; }), 0);
        sim.loseRun(grind);
        ASSERT_GT(sim.advance(8000, [&] { return sim.task(grind).run == 2; }), 0);
        began = sim.now;
    }
    const std::int64_t done = sim.advance(40000, [&] { return sim.isDone(grind); });
    ASSERT_GT(done, 0);
    EXPECT_LE(done - began, GetParam().endsWithin);
    EXPECT_LE(sim.longestHarmMs, WorkerBounds().targetMissLimit.count() * 3 / 4);
}

INSTANTIATE_TEST_SUITE_P(Tasks, CrowdedTaskTest,
                         testing::Values(CrowdedTask{"LittleHeadroom", 0.06, false, 10000},
                                         CrowdedTask{"LittleHeadroomAgain", 0.06, true, 6500},
                                         CrowdedTask{"NoHeadroom", 0.02, false, 20000},
                                         CrowdedTask{"NoHeadroomAgain", 0.02, true, 17000}),
                         [](const auto &info) { return std::string(info.param.name); });

// Guards against: a job whose tasks are best-effort waited for as long as those of other jobs used
// the processors, with most of them not reserved.
TEST(BestEffortWaitTest, IsShortForAJobOfWhichNothingIsAtWork)
{
    SharedWorkers sim;
    sim.addWorker("w0");
    const JobId resident = sim.bestEffort("light", 60000, 60000);
    ASSERT_GT(sim.advance(4000, [&] { return sim.runsNow(resident); }), 0);
    const JobId waiting = sim.bestEffort("light", 8000, 3000, 4);
    EXPECT_GT(sim.advance(longestIdleMs, [&] { return sim.runsNow(waiting); }), 0);
    sim.advance(1000, [] { return false; });
    EXPECT_EQ(sim.tasksAtWork(waiting), 1);
}

// Guards against: a long-running best-effort task never ran again after its worker was lost, as
// other best-effort tasks used the processors of the workers that were left (review/5).
TEST(LongRunningBestEffortTest, RunsAgainBesideOtherBestEffortTasks)
{
    SharedWorkers sim;
    for (const char *worker : {"w0", "w1", "w2"}) {
        sim.addWorker(worker);
    }
    std::vector<JobId> jobs;
    for (int count = 0; count < 3; ++count) {
        jobs.push_back(sim.longRunningBestEffort("light", 40000));
        ASSERT_GT(sim.advance(3000, [&] { return sim.runsNow(jobs.back()); }), 0);
    }
    sim.advance(2000, [] { return false; });
    const std::int64_t lost = sim.now;
    sim.loseWorker("w1");
    const auto allRun = [&] {
        return std::all_of(jobs.begin(), jobs.end(),
                           [&](const JobId &id) { return sim.runsNow(id); });
    };
    ASSERT_FALSE(allRun());
    const std::int64_t again = sim.advance(30000, allRun);
    ASSERT_GT(again, 0);
    EXPECT_LE(again - lost, longestDelayMs);
}

} // namespace
} // namespace godwitfall::jobtests
