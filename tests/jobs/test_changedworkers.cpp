// ROUTE and LIMIT: a worker that restarts under its id as another one gets no start by the entry of
// its former incarnation, in whichever order its entries and its replies are processed.
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

constexpr std::int64_t formerStartMs = 2000;
constexpr std::int64_t presentStartMs = 3000;
/** Of an incarnation whose machine's clock was set back. */
constexpr std::int64_t setBackStartMs = 1000;
const WorkerId worker("w1");

/** What the coordinator learns of the worker, in order. */
struct Event
{
    enum Source { Entry, Reply };
    Source source;
    std::int64_t startMs; ///< Of the incarnation that wrote the entry or replied.
};

/** How the next incarnation differs from the former one. */
struct Difference
{
    const char *name;
    std::function<void(WorkerEntry &)> apply;
};

const std::vector<Difference> &differences()
{
    static const std::vector<Difference> all = {
        {"kind",
         [](WorkerEntry &entry) {
             entry.kind = "b";
         }},
        {"service",
         [](WorkerEntry &entry) {
             entry.service = ServiceId("vineyard");
         }},
        {"capacity",
         [](WorkerEntry &entry) {
             entry.capacity.milliCores = 500;
         }},
        {"draining",
         [](WorkerEntry &entry) {
             entry.draining = true;
         }},
    };
    return all;
}

struct EventOrder
{
    const char *name;
    std::vector<Event> events;
    bool known; ///< Whether the entry of the incarnation that lives in the end has been read.
};

std::ostream &operator<<(std::ostream &stream, const EventOrder &order)
{
    return stream << order.name;
}

class ChangedWorkerTest : public testing::TestWithParam<EventOrder>
{
protected:
    /** Returns the starts that the worker is sent after the events; changed: what its next
     * incarnations differ in. */
    std::size_t startsAfterEvents(const std::function<void(WorkerEntry &)> &changed)
    {
        CoordinatorWorld world;
        world.coordinator.begin(1, Instant(now), now, Instant(now));
        WorkerEntry former = entryOf(worker.value());
        former.incarnationStartMs = formerStartMs;
        world.coordinator.setWorker(former, Instant(now));
        world.reply(worker, now, now - formerStartMs, {}, formerStartMs);
        for (const Event &event : GetParam().events) {
            if (event.source == Event::Reply) {
                world.reply(worker, now + 10, 500, {}, event.startMs);
                continue;
            }
            WorkerEntry entry = former;
            entry.incarnationStartMs = event.startMs;
            if (event.startMs != formerStartMs && changed) {
                changed(entry);
            }
            world.coordinator.setWorker(entry, Instant(now + 10));
        }
        jobs::JobSpec spec = oneTask(false);
        spec.mutable_steps(0)->set_required_label("a");
        world.submit(spec, now + 20);
        world.commit(now + 20);
        return world.orders.starts.size();
    }

    static constexpr std::int64_t now = 10000;
};

// Guards against: the present incarnation gets work that only its former one could take.
TEST_P(ChangedWorkerTest, GetsNoStartByTheEntryOfItsFormerIncarnation)
{
    for (const Difference &difference : differences()) {
        EXPECT_EQ(this->startsAfterEvents(difference.apply), 0U) << difference.name;
    }
}

// Guards against: a worker that is back as before waits for more than its entry.
TEST_P(ChangedWorkerTest, GetsStartsOnceTheEntryOfItsPresentIncarnationIsRead)
{
    EXPECT_EQ(this->startsAfterEvents(nullptr), GetParam().known ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
    Orders, ChangedWorkerTest,
    testing::Values(EventOrder{"ReplyFirst", {{Event::Reply, presentStartMs}}, false},
                    EventOrder{"ReplyThenEntry",
                               {{Event::Reply, presentStartMs}, {Event::Entry, presentStartMs}},
                               true},
                    EventOrder{"EntryThenReply",
                               {{Event::Entry, presentStartMs}, {Event::Reply, presentStartMs}},
                               true},
                    EventOrder{"LateReplyOfFormer",
                               {{Event::Entry, presentStartMs}, {Event::Reply, formerStartMs}},
                               false},
                    EventOrder{"LateEntryOfFormer",
                               {{Event::Entry, presentStartMs},
                                {Event::Reply, presentStartMs},
                                {Event::Entry, formerStartMs}},
                               true},
                    EventOrder{"LateEntryOfFormerAfterReply",
                               {{Event::Reply, presentStartMs}, {Event::Entry, formerStartMs}},
                               false},
                    EventOrder{"ClockSetBackReplyFirst", {{Event::Reply, setBackStartMs}}, false},
                    EventOrder{"ClockSetBackEntryFirst", {{Event::Entry, setBackStartMs}}, false},
                    EventOrder{"ClockSetBackEntryThenReply",
                               {{Event::Entry, setBackStartMs}, {Event::Reply, setBackStartMs}},
                               true},
                    EventOrder{"TwoRestarts",
                               {{Event::Entry, presentStartMs},
                                {Event::Reply, presentStartMs},
                                {Event::Reply, presentStartMs + 500}},
                               false}),
    [](const testing::TestParamInfo<EventOrder> &info) { return std::string(info.param.name); });

/** Plays workers of two kinds that crash again and again and come back as the other kind, smaller
 * or larger, beside jobs that need one kind; returns the violated guarantees. */
std::vector<std::string> playChangingWorkers(std::uint64_t seed)
{
    constexpr int events = 30;
    constexpr std::int64_t longestDownMs = 2000;
    constexpr std::int64_t longestUnlistedMs = 1500;
    constexpr std::int64_t longestGapMs = 1200;
    constexpr std::int64_t milliCoresOfTask = 1000;
    constexpr std::size_t addedWorkers = 4;
    constexpr int ownerEvery = 8;
    constexpr std::int64_t calmMs = 15000;
    std::mt19937_64 random(seed);
    const auto upTo = [&](std::int64_t most) {
        return static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(most + 1));
    };
    JobSimulation simulation(seed, FaultRates());
    simulation.makeHoldsWait();
    for (std::size_t count = 0; count < addedWorkers; ++count) {
        simulation.addWorker();
    }
    simulation.trustCoordinator();
    simulation.run(3000);
    for (int event = 0; event < events; ++event) {
        const std::size_t index = random() % simulation.workersEver();
        if (simulation.workerUp(index)) {
            simulation.crashWorkerAndChange(index, upTo(longestDownMs), upTo(longestUnlistedMs),
                                            event % 2 == 0 ? "b" : "a",
                                            milliCoresOfTask * (1 + upTo(5)));
        }
        if (event % ownerEvery == ownerEvery - 1) {
            simulation.killOwner(upTo(longestDownMs));
        }
        for (const char *label : {"a", "b"}) {
            jobs::StepSpec step = stepOf(8, 900);
            step.set_required_label(label);
            simulation.submit({step});
        }
        simulation.run(200 + upTo(longestGapMs));
    }
    simulation.run(calmMs);
    return simulation.ledger().broken;
}

// Guards against the same over series of restarts that overlap, with takeovers between.
TEST(ChangingWorkersTest, GetNoStartOfAnotherKindAndNoneBeyondTheirCapacity)
{
    constexpr std::uint64_t schedules = 40;
    for (std::uint64_t seed = 0; seed < schedules; ++seed) {
        EXPECT_EQ(playChangingWorkers(seed), std::vector<std::string>()) << "seed " << seed;
    }
}

} // namespace
} // namespace godwitfall::jobtests
