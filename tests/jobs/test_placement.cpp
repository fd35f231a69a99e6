// Where tasks go when workers and waiting jobs are many.
#include <algorithm>
#include <random>

#include <gtest/gtest.h>

#include "coordinator.h"
#include "jobsimulation.h"
#include "unmetneeds.h"
#include "workersearch.h"
#include "zonewatch.h"

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

/** A fleet with serving and filling work, alike for equal seeds. */
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
            worker->heard = true;
            worker->heardAt = Instant(10000);
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

    /** Places a task of the job wherever chance wants. */
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

/** Returns the first of the workers that cost least, each priced in full. */
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

TEST(WorkerSearchTest, ChoosesAsAFullSearchDoes)
{
    struct Case
    {
        const char *name;
        void (*shape)(jobs::StepSpec &);
        bool insist;
    };
    for (const Case &given :
         {Case{"plain", [](jobs::StepSpec &) {}, false},
          Case{"near its data", [](jobs::StepSpec &step) { step.set_rack_affinity("r7"); }, false},
          Case{"apart", [](jobs::StepSpec &step) { step.set_max_per_worker(1); }, false},
          Case{"serving",
               [](jobs::StepSpec &step) {
                   step.set_image("shop");
                   step.set_target_ms(150);
               },
               false},
          Case{"filling",
               [](jobs::StepSpec &step) {
                   step.set_fills(true);
                   step.set_image("heavy");
               },
               false},
          Case{"filling that insists",
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
        const PlacementRequest request{job, 0, 0, {}, given.insist};
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
        // A full search prices every worker for every task.
        EXPECT_LE(search.priced(), manyWorkers + 39);
    }
}

TEST(UnmetNeedsTest, CoverNeedsThatAreAtLeastAsGreat)
{
    const auto need = [](std::int64_t cores, std::int64_t memory) {
        RoomNeed made;
        made.service = "orchard";
        made.amount.milliCores = cores;
        made.amount.memoryMb = memory;
        return made;
    };
    UnmetNeeds unmet;
    EXPECT_FALSE(unmet.covers(need(1, 1)));
    unmet.note(need(4000, 100));
    unmet.note(need(1000, 900));
    struct Case
    {
        std::int64_t cores;
        std::int64_t memory;
        bool covered;
    };
    for (const Case &given : {Case{4000, 100, true}, Case{5000, 100, true}, Case{4000, 99, false},
                              Case{3999, 800, false}, Case{1000, 900, true}}) {
        EXPECT_EQ(unmet.covers(need(given.cores, given.memory)), given.covered)
            << given.cores << " " << given.memory;
    }
    RoomNeed other = need(9000, 9000);
    other.label = "gpu";
    EXPECT_FALSE(unmet.covers(other)) << "another kind of need";
}

TEST(ZoneWatchTest, TellsAZoneThatIsCutOffFromWorkersThatAreSlow)
{
    struct Case
    {
        const char *name;
        int workers;          ///< Of each of two zones.
        std::int64_t silence; ///< Of the first one, in ms.
        bool othersAreHeard;  ///< Else this process was paused.
        bool silent;
    };
    for (const Case &given :
         {Case{"answers as usual", 108, 200, true, false}, Case{"cut off", 108, 400, true, true},
          Case{"paused", 108, 5000, false, false}, Case{"few workers", 12, 400, true, false},
          Case{"few workers, cut off", 12, 800, true, true},
          Case{"one worker", 1, 1400, true, false}}) {
        ZoneWatch watch(Duration(1000));
        const ZoneId quiet("quiet");
        const ZoneId other("other");
        for (int worker = 0; worker < given.workers; ++worker) {
            watch.addWorker(quiet);
            watch.addWorker(other);
        }
        EXPECT_FALSE(watch.silent(quiet)) << "never heard";
        watch.heard(quiet, Instant(10000));
        watch.heard(other, Instant(10000));
        if (given.othersAreHeard) {
            watch.heard(other, Instant(10000 + given.silence));
        }
        EXPECT_EQ(watch.silent(quiet), given.silent) << given.name;
        EXPECT_FALSE(watch.silent(other)) << given.name;
        watch.heard(quiet, Instant(20000));
        EXPECT_FALSE(watch.silent(quiet)) << given.name;
    }
}

/** Takes orders down by task. */
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

TEST(CoordinatorLoadTest, AWaveCostsFewSearchesAndUrgentWorkGoesFirst)
{
    constexpr std::uint32_t waitingJobs = 600;
    constexpr std::int64_t roomLeft = 2000;
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
        // Room for one small task on the first worker, for nothing on the others.
        entry.capacity.milliCores = number == 0 ? roomLeft : 500;
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
        submit(number, "plan", static_cast<std::uint32_t>(roomLeft + 1 + random() % 12000));
    }
    coordinator.plan(Instant(1030), 1);
    EXPECT_LE(coordinator.statistics(Instant(1030)).workerSearches, waitingJobs / 10);
    // One more task comes in the wave; it is urgent and is the only one that finds room.
    submit(waitingJobs, "check", roomLeft);
    coordinator.plan(Instant(1040), 1);
    coordinator.takeBatch();
    coordinator.committed(Instant(1041), true);
    ASSERT_EQ(orders.starts.size(), 1U);
    EXPECT_EQ(orders.starts[0].target.worker, WorkerId("w0"));
    EXPECT_LE(coordinator.statistics(Instant(1040)).workerSearches, waitingJobs / 5);
}

TEST(CoordinatorLoadTest, NothingIsPlacedInAZoneThatHasFallenSilent)
{
    constexpr std::size_t zoneSize = 100;
    JobTable table;
    StartList orders;
    RecordingHost host;
    Coordinator coordinator(table, WorkerBounds(), orders, host);
    coordinator.begin(1, Instant(1000), 1, Instant(1000));
    WorkerReport report;
    report.clockMs = 500;
    const auto answer = [&](std::size_t from, std::size_t to, std::int64_t at) {
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
    answer(0, 2 * zoneSize, 1010);
    // Half a second later only one zone answers; one by one the others' workers are not silent yet.
    answer(zoneSize, 2 * zoneSize, 1500);
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
    answer(0, zoneSize, 1600);
    commit(1800);
    EXPECT_EQ(orders.starts.size(), 150U);
}

TEST(CoordinatorLoadTest, ATaskThatLastsAndLostItsWorkerGoesOnBeforeShortWork)
{
    constexpr std::uint32_t taskCores = 4000;
    JobTable table;
    StartList orders;
    RecordingHost host;
    Coordinator coordinator(table, WorkerBounds(), orders, host);
    coordinator.begin(1, Instant(1000), 1, Instant(1000));
    WorkerReport report;
    report.clockMs = 500;
    report.bornMs = 7;
    const auto join = [&](std::size_t number) {
        WorkerEntry entry = entryOf(number);
        entry.bornMs = 7;
        entry.capacity.milliCores = 2 * taskCores;
        coordinator.setWorker(entry, Instant(1000));
        coordinator.holdAnswered(entry.id, Instant(1000), Instant(1010), OrderOutcome::Accepted,
                                 report);
    };
    std::uint64_t offset = 0;
    const auto submit = [&](const std::string &id, std::uint32_t count, bool lasts, Instant at) {
        jobs::JobSpec spec;
        spec.set_service("orchard");
        spec.set_stretch(2.0);
        *spec.add_steps() = stepOf(count, 800);
        spec.mutable_steps(0)->set_milli_cores(taskCores);
        spec.mutable_steps(0)->set_long_running(lasts);
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
    const std::string watch = "00000000000000aa";
    join(0);
    submit(watch, 2, true, Instant(1010));
    commit(1020);
    ASSERT_EQ(orders.starts.size(), 2U);
    // A minute later more short work has come than there is room for.
    for (const std::uint32_t index : {0U, 1U}) {
        report.running.push_back(RunningTask{TaskRef{JobId(watch), 0, 0, index}, 1, {}, 100, 0});
    }
    coordinator.holdAnswered(WorkerId("w0"), Instant(60000), Instant(60010), OrderOutcome::Accepted,
                             report);
    submit("00000000000000bb", 40, false, Instant(60030));
    submit("00000000000000cc", 40, false, Instant(60031));
    commit(60040);
    ASSERT_EQ(orders.starts.size(), 2U);
    orders.starts.clear();
    // The worker begins a new life; both of its places are free again.
    report.running.clear();
    report.bornMs = 8;
    coordinator.holdAnswered(WorkerId("w0"), Instant(60100), Instant(60110), OrderOutcome::Accepted,
                             report);
    for (const std::uint32_t index : {0U, 1U}) {
        coordinator.stopAnswered(WorkerId("w0"), TaskRef{JobId(watch), 0, 0, index}, 1,
                                 Instant(60120), OrderOutcome::Accepted);
    }
    coordinator.holdAnswered(WorkerId("w0"), Instant(60130), Instant(60140), OrderOutcome::Accepted,
                             report);
    commit(60150);
    ASSERT_EQ(orders.starts.size(), 2U);
    for (const StartOrder &start : orders.starts) {
        EXPECT_EQ(start.task.job, JobId(watch));
    }
}

} // namespace
} // namespace godwitfall::jobtests
