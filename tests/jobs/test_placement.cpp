// Placement with many workers and many waiting jobs, and detection of unresponsive zones.
#include <algorithm>
#include <random>

#include <gtest/gtest.h>

#include "coordinator.h"
#include "jobsimulation.h"
#include "unplaceabledemands.h"
#include "workersearch.h"
#include "zonefailuredetector.h"

namespace godwitfall::jobtests {
namespace {

constexpr std::size_t manyWorkers = 540;

WorkerEntry entryOf(std::size_t number)
{
    constexpr std::size_t rackSize = 20;
    WorkerEntry entry;
    entry.id = WorkerId("w" + std::to_string(number));
    entry.service = ServiceId("orchard");
    entry.address = "127.0.0.1:1";
    entry.capacity.milliCores = number % 3 == 2 ? 96000 : 64000;
    entry.capacity.memoryMb = 256000;
    entry.kind = "a";
    entry.rack = "r" + std::to_string(number / rackSize);
    return entry;
}

/** A fleet with serving and best-effort tasks, the same for equal seeds. */
class Fleet
{
public:
    explicit Fleet(std::uint64_t seed)
        : random(seed)
        , policy(this->model)
    {
        this->model.loadOf("shop", 25.0);
        this->model.observe("shop", {0.3, 0.0}, 0.3, 0.8, {{"heavy", 0.3}});
        for (std::size_t number = 0; number < manyWorkers; ++number) {
            auto worker = std::make_unique<WorkerState>(entryOf(number));
            worker->responded = true;
            worker->lastSeenAt = Instant(10000);
            if (this->random() % 10 == 0) {
                worker->entry.draining = true;
            }
            this->candidates.push_back(worker.get());
            this->workers.push_back(std::move(worker));
        }
        for (std::uint32_t job = 0; job < 200; ++job) {
            this->load(job);
        }
    }

    /** Creates a job and places its tasks on random workers. */
    void load(std::uint32_t number)
    {
        jobs::JobSpec spec;
        jobs::StepSpec step = stepOf(8, 5000);
        step.set_milli_cores(static_cast<std::uint32_t>(4000 + this->random() % 12000));
        step.set_memory_mb(static_cast<std::uint32_t>(5000 + this->random() % 20000));
        if (this->random() % 2 == 0) {
            step.set_fills(true);
            step.set_image(this->random() % 2 == 0 ? "heavy" : "light");
        } else {
            step.set_long_running(true);
            step.set_image("shop");
            step.set_target_ms(150);
        }
        *spec.add_steps() = step;
        char id[17];
        std::snprintf(id, sizeof id, "%016x", number);
        this->placedJobs.push_back(std::make_unique<Job>(JobId(id), spec));
        Job &job = *this->placedJobs.back();
        job.stepRun(0, 0);
        for (std::uint32_t index = 0; index < step.count(); ++index) {
            WorkerState &worker = *this->candidates[this->random() % this->candidates.size()];
            if (worker.fits(step)) {
                worker.assign(TaskRef{job.id(), 0, 0, index}, job);
            }
        }
    }

    std::mt19937_64 random;
    InterferenceModel model;
    PlacementPolicy policy;
    std::vector<std::unique_ptr<WorkerState>> workers;
    std::vector<WorkerState *> candidates;
    std::vector<std::unique_ptr<Job>> placedJobs;
};

/** Returns the first worker of least cost; computes the full cost of each. */
WorkerState *exhaustive(const Fleet &fleet, const PlacementRequest &request, Instant now)
{
    const jobs::StepSpec &step = request.job.stepSpec(request.step);
    WorkerState *best = nullptr;
    double least = 0.0;
    for (WorkerState *worker : fleet.candidates) {
        if (!fleet.policy.usable(*worker, request, now)) {
            continue;
        }
        const double cost = fleet.policy.cost(*worker, step, now);
        if (!best || cost < least) {
            best = worker;
            least = cost;
        }
    }
    return best;
}

TEST(WorkerSearchTest, ChoosesSameWorkersAsExhaustiveSearch)
{
    struct Case
    {
        const char *name;
        void (*shape)(jobs::StepSpec &);
        bool allowInterference;
    };
    for (const Case &given :
         {Case{"plain", [](jobs::StepSpec &) {}, false},
          Case{"rack affinity", [](jobs::StepSpec &step) { step.set_rack_affinity("r7"); }, false},
          Case{"one per worker", [](jobs::StepSpec &step) { step.set_max_per_worker(1); }, false},
          Case{"serving",
               [](jobs::StepSpec &step) {
                   step.set_image("shop");
                   step.set_target_ms(150);
               },
               false},
          Case{"best-effort",
               [](jobs::StepSpec &step) {
                   step.set_fills(true);
                   step.set_image("heavy");
               },
               false},
          Case{"best-effort that may interfere",
               [](jobs::StepSpec &step) {
                   step.set_fills(true);
                   step.set_image("heavy");
               },
               true}}) {
        SCOPED_TRACE(given.name);
        Fleet fleet(7);
        jobs::JobSpec spec;
        *spec.add_steps() = stepOf(39, 2700);
        spec.mutable_steps(0)->set_milli_cores(7000);
        spec.mutable_steps(0)->set_memory_mb(13000);
        given.shape(*spec.mutable_steps(0));
        Job job(JobId("00000000000000ff"), spec);
        job.stepRun(0, 0);
        const PlacementRequest request{job, 0, 0, {}, given.allowInterference};
        const Instant now(10100);
        WorkerSearch search(fleet.policy, fleet.candidates, request, now);
        for (std::uint32_t index = 0; index < 39; ++index) {
            WorkerState *expected = exhaustive(fleet, request, now);
            WorkerState *chosen = search.next();
            ASSERT_EQ(chosen, expected) << index;
            if (!chosen) {
                break;
            }
            chosen->assign(TaskRef{job.id(), 0, 0, index}, job);
        }
        // An exhaustive search evaluates every worker for every task.
        EXPECT_LE(search.evaluated(), manyWorkers + 39);
    }
}

// Guards against tasks on a worker that has just begun while equal ones are warm, and against warm
// ones that are filled up first, whatever they cost.
TEST(WorkerSearchTest, PlacesOnColdWorkersAfterWarmOnesOfEqualCost)
{
    struct Case
    {
        const char *name;
        void (*shape)(jobs::StepSpec &);
        std::int64_t coldUntilMs; ///< Of the first worker.
        bool firstCostsLess;
        std::size_t chosen;
    };
    const auto plain = [](jobs::StepSpec &) {
    };
    const auto serving = [](jobs::StepSpec &step) {
        step.set_image("shop");
        step.set_target_ms(150);
    };
    const auto bestEffort = [](jobs::StepSpec &step) {
        step.set_fills(true);
    };
    for (const Case &given :
         {Case{"warm", plain, 0, false, 0}, Case{"cold", plain, 20000, false, 1},
          Case{"cold no more", plain, 10100, false, 0}, Case{"costs less", plain, 20000, true, 0},
          Case{"serving", serving, 20000, false, 1},
          Case{"best-effort", bestEffort, 20000, false, 1}}) {
        const InterferenceModel model;
        const PlacementPolicy policy(model);
        WorkerState workers[] = {WorkerState(entryOf(0)), WorkerState(entryOf(1))};
        for (WorkerState &worker : workers) {
            worker.responded = true;
            worker.lastSeenAt = Instant(10000);
        }
        workers[0].coldUntil = Instant(given.coldUntilMs);
        workers[0].reserved.milliCores = given.firstCostsLess ? 1000 : 0;
        jobs::JobSpec spec;
        *spec.add_steps() = stepOf(1, 2700);
        given.shape(*spec.mutable_steps(0));
        const Job job(JobId("00000000000000ff"), spec);
        const WorkerState *chosen = policy.choose(
            {&workers[0], &workers[1]}, PlacementRequest{job, 0, 0, {}, false}, Instant(10100));
        EXPECT_EQ(chosen, &workers[given.chosen]) << given.name;
    }
}

TEST(UnplaceableDemandsTest, CoversDemandsAtLeastAsGreat)
{
    const auto demand = [](std::int64_t cores, std::int64_t memory) {
        ResourceDemand made;
        made.service = "orchard";
        made.amount.milliCores = cores;
        made.amount.memoryMb = memory;
        return made;
    };
    UnplaceableDemands unplaceable;
    EXPECT_FALSE(unplaceable.covers(demand(1, 1)));
    unplaceable.add(demand(4000, 100));
    unplaceable.add(demand(1000, 900));
    struct Case
    {
        std::int64_t cores;
        std::int64_t memory;
        bool covered;
    };
    for (const Case &given : {Case{4000, 100, true}, Case{5000, 100, true}, Case{4000, 99, false},
                              Case{3999, 800, false}, Case{1000, 900, true}}) {
        EXPECT_EQ(unplaceable.covers(demand(given.cores, given.memory)), given.covered)
            << given.cores << " " << given.memory;
    }
    ResourceDemand other = demand(9000, 9000);
    other.label = "gpu";
    EXPECT_FALSE(unplaceable.covers(other)) << "another kind of demand";
}

TEST(ZoneFailureDetectorTest, TellsCutOffZoneFromSlowWorkers)
{
    struct Case
    {
        const char *name;
        int workers;                 ///< In each of the two zones.
        std::int64_t unresponsiveMs; ///< Time without a response of the first zone, in ms.
        bool othersRespond;          ///< Off: this process was paused.
        bool unresponsive;
    };
    for (const Case &given :
         {Case{"responds as usual", 108, 200, true, false}, Case{"cut off", 108, 400, true, true},
          Case{"paused", 108, 5000, false, false}, Case{"few workers", 12, 400, true, false},
          Case{"few workers, cut off", 12, 800, true, true},
          Case{"one worker", 1, 1400, true, false}}) {
        ZoneFailureDetector detector(Duration(1000));
        const ZoneId cutOff("quiet");
        const ZoneId other("other");
        for (int worker = 0; worker < given.workers; ++worker) {
            detector.addWorker(cutOff);
            detector.addWorker(other);
        }
        EXPECT_FALSE(detector.unresponsive(cutOff)) << "no response yet";
        detector.responded(cutOff, Instant(10000));
        detector.responded(other, Instant(10000));
        if (given.othersRespond) {
            detector.responded(other, Instant(10000 + given.unresponsiveMs));
        }
        EXPECT_EQ(detector.unresponsive(cutOff), given.unresponsive) << given.name;
        EXPECT_FALSE(detector.unresponsive(other)) << given.name;
        detector.responded(cutOff, Instant(20000));
        EXPECT_FALSE(detector.unresponsive(cutOff)) << given.name;
    }
}

/** Records the starts and ignores all other orders. */
class StartList : public OrderSender
{
public:
    void start(StartOrder order) override { this->starts.push_back(std::move(order)); }
    void stop(StopOrder) override {}
    void hold(HoldOrder) override {}
    void pace(PaceOrder) override {}
    void advise(AdviceOrder) override {}

    std::vector<StartOrder> starts;
};

TEST(CoordinatorLoadTest, BurstTakesFewSearchesAndUrgentTaskGoesFirst)
{
    constexpr std::uint32_t waitingJobs = 600;
    constexpr std::int64_t freeMilliCores = 2000;
    JobTable table;
    StartList orders;
    RecordingHost host;
    Coordinator coordinator(table, WorkerBounds(), orders, host);
    JobConfig config;
    for (const char *name : {"check", "plan"}) {
        QueueConfig &queue = config.queues.emplace_back();
        queue.name = name;
        queue.service = ServiceId("orchard");
        queue.priority = name == std::string("plan") ? 2 : 0;
    }
    coordinator.setConfig(config);
    coordinator.begin(1, Instant(1000), 1, Instant(1000));
    WorkerReport report;
    report.clockMs = 500;
    for (std::size_t number = 0; number < manyWorkers; ++number) {
        WorkerEntry entry = entryOf(number);
        // The first worker has capacity for one small task, the others have none.
        entry.capacity.milliCores = number == 0 ? freeMilliCores : 500;
        coordinator.setWorker(entry, Instant(1000));
        coordinator.holdAnswered(entry.id, Instant(1000), Instant(1010), OrderOutcome::Accepted,
                                 report);
    }
    std::mt19937_64 random(3);
    std::uint64_t offset = 0;
    const auto submit = [&](std::uint32_t number, const char *queue, std::uint32_t cores) {
        jobs::JobSpec spec;
        spec.set_queue(queue);
        *spec.add_steps() = stepOf(39, 2700);
        spec.mutable_steps(0)->set_milli_cores(cores);
        spec.mutable_steps(0)->set_memory_mb(static_cast<std::uint32_t>(1000 + random() % 20000));
        char id[17];
        std::snprintf(id, sizeof id, "%016x", number);
        JobRecord record;
        record.key = JobTable::submissionKey(JobId(id));
        record.value = spec.SerializeAsString();
        record.offset = ++offset;
        Job *job = nullptr;
        table.apply(record, Instant(1020), job);
        coordinator.jobSubmitted(*job);
    };
    for (std::uint32_t number = 0; number < waitingJobs; ++number) {
        submit(number, "plan", static_cast<std::uint32_t>(freeMilliCores + 1 + random() % 12000));
    }
    coordinator.plan(Instant(1030), 1);
    EXPECT_LE(coordinator.statistics(Instant(1030)).workerSearches, waitingJobs / 10);
    // One more job of the burst is urgent, and only one of its tasks fits on a worker.
    submit(waitingJobs, "check", freeMilliCores);
    coordinator.plan(Instant(1040), 1);
    coordinator.takeBatch();
    coordinator.committed(Instant(1041), true);
    ASSERT_EQ(orders.starts.size(), 1U);
    EXPECT_EQ(orders.starts[0].target.worker, WorkerId("w0"));
    EXPECT_LE(coordinator.statistics(Instant(1040)).workerSearches, waitingJobs / 5);
}

TEST(CoordinatorLoadTest, PlacesNothingInUnresponsiveZone)
{
    constexpr std::size_t zoneSize = 100;
    JobTable table;
    StartList orders;
    RecordingHost host;
    Coordinator coordinator(table, WorkerBounds(), orders, host);
    coordinator.begin(1, Instant(1000), 1, Instant(1000));
    WorkerReport report;
    report.clockMs = 500;
    const auto respond = [&](std::size_t from, std::size_t to, std::int64_t at) {
        for (std::size_t number = from; number < to; ++number) {
            coordinator.holdAnswered(WorkerId("w" + std::to_string(number)), Instant(at),
                                     Instant(at), OrderOutcome::Accepted, report);
        }
    };
    for (std::size_t number = 0; number < 2 * zoneSize; ++number) {
        WorkerEntry entry = entryOf(number);
        entry.zone = ZoneId(number < zoneSize ? "cut" : "well");
        coordinator.setWorker(entry, Instant(1000));
    }
    respond(0, 2 * zoneSize, 1010);
    // 500 ms later only one zone responds; each worker of the other is within its own timeout.
    respond(zoneSize, 2 * zoneSize, 1500);
    jobs::JobSpec spec;
    spec.set_service("orchard");
    *spec.add_steps() = stepOf(150, 800);
    spec.mutable_steps(0)->set_max_per_worker(1);
    JobRecord record;
    record.key = JobTable::submissionKey(JobId("00000000000000aa"));
    record.value = spec.SerializeAsString();
    Job *job = nullptr;
    table.apply(record, Instant(1510), job);
    coordinator.jobSubmitted(*job);
    const auto commit = [&](std::int64_t at) {
        coordinator.plan(Instant(at), 1);
        coordinator.takeBatch();
        coordinator.committed(Instant(at), true);
    };
    commit(1510);
    EXPECT_EQ(orders.starts.size(), zoneSize);
    for (const StartOrder &start : orders.starts) {
        EXPECT_GE(std::stoul(start.target.worker.value().substr(1)), zoneSize);
    }
    respond(0, zoneSize, 1600);
    commit(1800);
    EXPECT_EQ(orders.starts.size(), 150U);
}

TEST(CoordinatorLoadTest, LongRunningTaskThatLostItsWorkerResumesBeforeShortLivedTasks)
{
    constexpr std::uint32_t taskCores = 4000;
    JobTable table;
    StartList orders;
    RecordingHost host;
    Coordinator coordinator(table, WorkerBounds(), orders, host);
    coordinator.begin(1, Instant(1000), 1, Instant(1000));
    WorkerReport report;
    report.clockMs = 500;
    report.incarnationStartMs = 7;
    const auto join = [&](std::size_t number) {
        WorkerEntry entry = entryOf(number);
        entry.incarnationStartMs = 7;
        entry.capacity.milliCores = 2 * taskCores;
        coordinator.setWorker(entry, Instant(1000));
        coordinator.holdAnswered(entry.id, Instant(1000), Instant(1010), OrderOutcome::Accepted,
                                 report);
    };
    std::uint64_t offset = 0;
    const auto submit = [&](const std::string &id, std::uint32_t count, bool longRunning,
                            Instant at) {
        jobs::JobSpec spec;
        spec.set_service("orchard");
        spec.set_stretch(2.0);
        *spec.add_steps() = stepOf(count, 800);
        spec.mutable_steps(0)->set_milli_cores(taskCores);
        spec.mutable_steps(0)->set_long_running(longRunning);
        JobRecord record;
        record.key = JobTable::submissionKey(JobId(id));
        record.value = spec.SerializeAsString();
        record.offset = ++offset;
        Job *job = nullptr;
        table.apply(record, at, job);
        coordinator.jobSubmitted(*job);
    };
    const auto commit = [&](std::int64_t at) {
        coordinator.plan(Instant(at), 1);
        coordinator.takeBatch();
        coordinator.committed(Instant(at), true);
        for (const StartOrder &start : orders.starts) {
            coordinator.startAnswered(start.target.worker, start.task, start.run, Instant(at),
                                      OrderOutcome::Accepted);
        }
    };
    const std::string longRunningJob = "00000000000000aa";
    join(0);
    submit(longRunningJob, 2, true, Instant(1010));
    commit(1020);
    ASSERT_EQ(orders.starts.size(), 2U);
    // A minute later more short-lived tasks wait than fit on the worker.
    for (const std::uint32_t index : {0U, 1U}) {
        report.running.push_back(
            RunningTask{TaskRef{JobId(longRunningJob), 0, 0, index}, 1, {}, 100, 0});
    }
    coordinator.holdAnswered(WorkerId("w0"), Instant(60000), Instant(60010), OrderOutcome::Accepted,
                             report);
    submit("00000000000000bb", 40, false, Instant(60030));
    submit("00000000000000cc", 40, false, Instant(60031));
    commit(60040);
    ASSERT_EQ(orders.starts.size(), 2U);
    orders.starts.clear();
    // The worker restarts; both of its slots are free again.
    report.running.clear();
    report.incarnationStartMs = 8;
    WorkerEntry next = entryOf(0);
    next.incarnationStartMs = 8;
    next.capacity.milliCores = 2 * taskCores;
    coordinator.setWorker(next, Instant(60100));
    coordinator.holdAnswered(WorkerId("w0"), Instant(60100), Instant(60110), OrderOutcome::Accepted,
                             report);
    for (const std::uint32_t index : {0U, 1U}) {
        coordinator.stopAnswered(WorkerId("w0"), TaskRef{JobId(longRunningJob), 0, 0, index}, 1,
                                 Instant(60120), OrderOutcome::Accepted);
    }
    coordinator.holdAnswered(WorkerId("w0"), Instant(60130), Instant(60140), OrderOutcome::Accepted,
                             report);
    commit(60150);
    ASSERT_EQ(orders.starts.size(), 2U);
    for (const StartOrder &start : orders.starts) {
        EXPECT_EQ(start.task.job, JobId(longRunningJob));
    }
}

} // namespace
} // namespace godwitfall::jobtests
