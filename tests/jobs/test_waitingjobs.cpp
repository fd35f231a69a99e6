// MIXED: jobs of which no task has started count as waiting, whatever is placed, ordered or
// recorded of them.
#include <algorithm>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "coordinatorworld.h"

namespace godwitfall::jobtests {
namespace {

constexpr std::int64_t beginMs = 1000;
constexpr const char *queue = "plan";
const WorkerId worker("w1");

/** One coordinator and one worker that takes tasks, with a job of one task that is placed there. */
struct PlacedJob
{
    PlacedJob()
    {
        this->world.coordinator.begin(1, Instant(beginMs), beginMs, Instant(beginMs));
        this->world.coordinator.setWorker(entryOf(worker.value()), Instant(beginMs));
        this->world.reply(worker, beginMs, 0);
        this->job = this->world.submit(oneTask(false), beginMs);
        this->world.commit(this->now);
    }

    TaskRef ref() const { return TaskRef{this->job, 0, 0, 0}; }

    void answerStart(OrderOutcome outcome)
    {
        this->world.coordinator.startAnswered(worker, this->ref(), 1, Instant(this->now), outcome);
    }

    void listEnd(RunEnd how, std::uint32_t run = 1)
    {
        WorkerReport report;
        report.clockMs = 500;
        report.ended.push_back(EndedTask{1, this->ref(), run, how, {}});
        this->world.coordinator.holdAnswered(worker, Instant(this->now), Instant(this->now),
                                             OrderOutcome::Accepted, report);
    }

    std::size_t waiting()
    {
        for (const JobRecord &status : this->world.coordinator.takeStatuses()) {
            Job *changed = nullptr;
            this->world.table.apply(record(status.key, status.value, ++this->world.offset),
                                    Instant(this->now), changed);
        }
        return this->world.table.queuedJobs(queue);
    }

    CoordinatorWorld world;
    JobId job{""};
    std::int64_t now = beginMs + 10;
};

struct EventCase
{
    const char *name;
    std::function<void(PlacedJob &)> happen;
    std::size_t waiting; ///< Jobs that count as waiting afterwards.
};

std::ostream &operator<<(std::ostream &stream, const EventCase &given)
{
    return stream << given.name;
}

class WaitingJobTest : public testing::TestWithParam<EventCase>
{};

// Guards against: a job counts as running from its first placement on, though its start was
// refused, dropped or never answered; and against one that counts as waiting again after it has
// begun.
TEST_P(WaitingJobTest, CountsUntilATaskHasBegun)
{
    PlacedJob given;
    ASSERT_EQ(given.world.orders.starts.size(), 1U);
    EXPECT_EQ(given.waiting(), 1U);
    GetParam().happen(given);
    EXPECT_EQ(given.waiting(), GetParam().waiting);
}

INSTANTIATE_TEST_SUITE_P(
    Events, WaitingJobTest,
    testing::Values(
        EventCase{"Accepted", [](PlacedJob &given) { given.answerStart(OrderOutcome::Accepted); },
                  0},
        EventCase{"NoCapacity",
                  [](PlacedJob &given) { given.answerStart(OrderOutcome::NoCapacity); }, 1},
        EventCase{"Unhealthy", [](PlacedJob &given) { given.answerStart(OrderOutcome::Unhealthy); },
                  1},
        EventCase{"TicketInvalid",
                  [](PlacedJob &given) { given.answerStart(OrderOutcome::TicketInvalid); }, 1},
        EventCase{"NotSent", [](PlacedJob &given) { given.answerStart(OrderOutcome::NotSent); }, 1},
        EventCase{"Unanswered",
                  [](PlacedJob &given) { given.answerStart(OrderOutcome::Unanswered); }, 1},
        EventCase{"DroppedInAnEvacuatedZone",
                  [](PlacedJob &given) {
                      given.answerStart(OrderOutcome::NotSent);
                      given.world.coordinator.setEvacuatedZones({ZoneId()}, Instant(given.now));
                  },
                  1},
        EventCase{"UnansweredThenListed",
                  [](PlacedJob &given) {
                      given.answerStart(OrderOutcome::Unanswered);
                      given.world.reply(worker, given.now, 500, {given.ref()});
                  },
                  0},
        EventCase{"UnansweredThenEnded",
                  [](PlacedJob &given) {
                      given.answerStart(OrderOutcome::Unanswered);
                      given.listEnd(RunEnd::Failed);
                  },
                  0},
        EventCase{"EndOfARunThatIsNotPlaced",
                  [](PlacedJob &given) {
                      given.answerStart(OrderOutcome::NoCapacity);
                      given.listEnd(RunEnd::Lapsed);
                  },
                  0},
        // The job waits for a worker again, and has begun.
        EventCase{"AcceptedThenLost",
                  [](PlacedJob &given) {
                      given.answerStart(OrderOutcome::Accepted);
                      given.world.reply(worker, given.now + 100, 600);
                      EXPECT_EQ(given.world.task(given.job).worker, "");
                  },
                  0}),
    [](const testing::TestParamInfo<EventCase> &info) { return std::string(info.param.name); });

/** What a successor finds of a job that a former coordinator has placed. */
struct AdoptedCase
{
    const char *name;
    bool confirmed; ///< The record of the placement says that the worker took the start.
    bool published; ///< Clients were told that the job runs.
    std::size_t waiting;
};

std::ostream &operator<<(std::ostream &stream, const AdoptedCase &given)
{
    return stream << given.name;
}

class AdoptedWaitingJobTest : public testing::TestWithParam<AdoptedCase>
{};

// Guards against: a successor takes an adopted placement for a start, or has a job that has begun
// count as waiting again.
TEST_P(AdoptedWaitingJobTest, CountsByWhatTheRecordsTell)
{
    CoordinatorWorld world;
    const JobId id = world.submit(oneTask(false), beginMs);
    jobs::JobProgress progress;
    jobs::StepProgress &step = *progress.add_steps();
    step.add_runs(1);
    step.add_placed()->set_worker(worker.value());
    step.mutable_placed(0)->set_confirmed(GetParam().confirmed);
    Job *job = nullptr;
    world.table.apply(record(JobTable::progressKey(id), progress.SerializeAsString(), 2),
                      Instant(beginMs), job);
    if (GetParam().published) {
        jobs::JobStatus status;
        status.set_state(jobs::RUNNING);
        world.table.apply(record(JobTable::statusKey(id), status.SerializeAsString(), 3),
                          Instant(beginMs), job);
    }
    world.coordinator.begin(2, Instant(beginMs), beginMs, Instant(beginMs + 6700));
    for (const JobRecord &written : world.coordinator.takeStatuses()) {
        world.table.apply(record(written.key, written.value, 4), Instant(beginMs), job);
    }
    EXPECT_EQ(world.table.queuedJobs(queue), GetParam().waiting);
}

INSTANTIATE_TEST_SUITE_P(Records, AdoptedWaitingJobTest,
                         testing::Values(AdoptedCase{"Unconfirmed", false, false, 1},
                                         AdoptedCase{"Confirmed", true, false, 0},
                                         AdoptedCase{"PublishedUnconfirmed", false, true, 0},
                                         AdoptedCase{"PublishedConfirmed", true, true, 0}),
                         [](const testing::TestParamInfo<AdoptedCase> &info) {
                             return std::string(info.param.name);
                         });

/** Plays cuts, lost orders and lost owners beside short jobs; returns each answer of an instance
 * with under half of the jobs that wait. */
std::vector<std::string> playWaitingJobs(std::uint64_t seed)
{
    /** Age from which an accepted job that has not begun has to be counted; set by the platform. */
    constexpr std::int64_t countedAfterMs = 5000;
    constexpr int events = 25;
    constexpr std::int64_t checkGapMs = 50;
    constexpr std::int64_t longestCutMs = 9000;
    constexpr int ownerEvery = 6;
    std::mt19937_64 random(seed);
    const auto upTo = [&](std::int64_t most) {
        return static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(most + 1));
    };
    JobSimulation simulation(seed, FaultRates());
    simulation.makeHoldsWait();
    simulation.run(3000);
    std::vector<std::string> broken;
    for (int event = 0; event < events; ++event) {
        const std::size_t index = random() % simulation.workersEver();
        const std::int64_t lengthMs = 1000 + upTo(longestCutMs);
        if (event % 2 == 0) {
            simulation.cutWorker(index, lengthMs);
        } else {
            simulation.disturbOrders(index, OrderDisturbance::Lost, lengthMs);
        }
        if (event % ownerEvery == ownerEvery - 1) {
            simulation.killOwner(upTo(2000));
        }
        for (int count = 0; count < 6; ++count) {
            simulation.submit({stepOf(1, 400)});
        }
        const std::int64_t until = simulation.now() + 300 + upTo(1500);
        while (simulation.now() < until) {
            simulation.run(checkGapMs);
            const auto waits = [&](const JobId &id) {
                return simulation.now() - *simulation.acceptedAt(id) > countedAfterMs &&
                       !simulation.ledger().begunJobs.contains(id);
            };
            const auto waiting = static_cast<std::size_t>(
                std::count_if(simulation.accepted().begin(), simulation.accepted().end(), waits));
            for (const std::size_t shown : simulation.waitingShown()) {
                if (shown * 2 < waiting) {
                    broken.push_back(std::to_string(simulation.now()) + ": " +
                                     std::to_string(shown) + " of " + std::to_string(waiting));
                }
            }
        }
    }
    return broken;
}

// Guards against the same over schedules: an instance gives under half of the jobs that wait.
TEST(WaitingJobsTest, EachInstanceGivesHalfOfThemAtLeast)
{
    constexpr std::uint64_t schedules = 40;
    for (std::uint64_t seed = 0; seed < schedules; ++seed) {
        EXPECT_EQ(playWaitingJobs(seed), std::vector<std::string>()) << "seed " << seed;
    }
}

} // namespace
} // namespace godwitfall::jobtests
