// Starts beyond what the coordinator's link carries.
#include <gtest/gtest.h>

#include <functional>
#include <map>

#include "coordinatorworld.h"
#include "startlimit.h"

namespace godwitfall::jobtests {
namespace {

/** Feeds replies that come one per ms and all have the same delay. */
void feed(StartLimit &limit, std::size_t replies, Duration delay, std::size_t open, Instant &now)
{
    for (std::size_t reply = 0; reply < replies; ++reply) {
        now = now + Duration(1);
        limit.noteReply(now - delay, open, now);
    }
}

TEST(StartLimitTest, FallsToHalfOfWhatIsOpenWhileEveryReplyIsLate)
{
    StartLimit limit(1024);
    Instant now(1000);
    feed(limit, 250, StartLimit::lateReply + Duration(50), 400, now);
    EXPECT_EQ(limit.current(), 200U);
    feed(limit, 250, StartLimit::lateReply + Duration(50), 400, now);
    EXPECT_EQ(limit.current(), 200U) << "these starts were sent before it fell";
    feed(limit, 5000, StartLimit::lateReply + Duration(50), 200, now);
    EXPECT_EQ(limit.current(), StartLimit::lowest);
}

// Guards against a limit that falls because some workers reply late.
TEST(StartLimitTest, StaysWhereOnlySomeRepliesAreLate)
{
    StartLimit limit(1024);
    Instant now(1000);
    for (unsigned round = 0; round < 1000; ++round) {
        feed(limit, 9, Duration(600), 400, now);
        feed(limit, 1, Duration(20), 400, now);
    }
    EXPECT_EQ(limit.current(), 1024U);
}

TEST(StartLimitTest, RisesWithPromptRepliesWhileItIsReached)
{
    StartLimit limit(100);
    Instant now(1000);
    feed(limit, 250, Duration(600), 80, now);
    ASSERT_EQ(limit.current(), 40U);
    feed(limit, 1000, Duration(20), 39, now);
    EXPECT_EQ(limit.current(), 40U) << "the limit is not reached";
    feed(limit, 1000, Duration(20), 100, now);
    EXPECT_EQ(limit.current(), 100U);
    limit.reset();
    EXPECT_EQ(limit.current(), 100U);
}

TEST(StartLimitTest, NeverExceedsAHighestThatIsBelowTheLowest)
{
    StartLimit limit(10);
    Instant now(1000);
    feed(limit, 2000, Duration(600), 10, now);
    EXPECT_EQ(limit.current(), 10U);
}

/** Workers that a coordinator reaches over one link, which carries its orders in turn. Time is in
 * ms; the workers' clocks show the same. */
class NarrowLink
{
public:
    static constexpr std::int64_t startBytes = 420;
    static constexpr std::int64_t holdBytes = 215;
    static constexpr std::int64_t runMs = 1000;
    static constexpr int workerCount = 100;

    explicit NarrowLink(std::int64_t bytesPerMs)
        : bytesPerMs(bytesPerMs)
    {
        this->world.coordinator.begin(1, Instant(this->now), this->now, Instant(this->now));
        for (int number = 0; number < workerCount; ++number) {
            this->world.coordinator.setWorker(entryOf("w" + std::to_string(number)),
                                              Instant(this->now));
        }
    }

    void runUntil(std::int64_t end)
    {
        for (; this->now < end; this->now += 10) {
            while (!this->events.empty() && this->events.begin()->first <= this->now) {
                const auto event = std::move(this->events.begin()->second);
                this->events.erase(this->events.begin());
                event();
            }
            this->lapse();
            this->world.tick(this->now);
            this->world.commit(this->now);
            this->sendOrders();
        }
    }

    CoordinatorWorld world;
    std::int64_t now = 1000;
    std::size_t sent = 0;
    std::size_t unanswered = 0;
    std::size_t completed = 0;
    std::size_t lapsed = 0;

private:
    struct Run
    {
        std::uint32_t number = 0;
        std::int64_t endsAt = 0;
    };

    struct Worker
    {
        std::map<TaskRef, Run> running;
        std::vector<EndedTask> ended;
        std::uint64_t ends = 0;
        std::int64_t leaseEnd = 0;
    };

    /** Queues the order on the link; it reaches its worker at the returned time. */
    std::int64_t carry(std::int64_t bytes)
    {
        this->freeAt = std::max(this->freeAt, this->now * this->bytesPerMs) + bytes;
        return this->freeAt / this->bytesPerMs + 1;
    }

    void sendOrders()
    {
        OrderRecorder &orders = this->world.orders;
        for (const StartOrder &order : std::exchange(orders.starts, {})) {
            this->send(order);
        }
        for (const HoldOrder &order : std::exchange(orders.holds, {})) {
            this->send(order);
        }
        for (const StopOrder &order : std::exchange(orders.stops, {})) {
            this->events.emplace(this->carry(holdBytes), [this, order] {
                this->end(order.target.worker, order.task, RunEnd::Stopped);
                this->world.coordinator.stopAnswered(order.target.worker, order.task, order.run,
                                                     Instant(this->now), OrderOutcome::Accepted);
            });
        }
    }

    void send(const StartOrder &order)
    {
        ++this->sent;
        const std::int64_t arrival = this->carry(startBytes);
        const bool inTime = arrival <= this->now + orderTimeoutMs;
        this->unanswered += inTime ? 0 : 1;
        this->events.emplace(arrival, [this, order] { this->begin(order); });
        this->events.emplace(inTime ? arrival : this->now + orderTimeoutMs, [this, order, inTime] {
            this->world.coordinator.startAnswered(
                order.target.worker, order.task, order.run, Instant(this->now),
                inTime ? OrderOutcome::Accepted : OrderOutcome::Unanswered);
        });
    }

    void send(const HoldOrder &order)
    {
        const std::int64_t sentAt = this->now;
        const std::int64_t arrival = this->carry(holdBytes);
        const std::int64_t answer = arrival + std::min<std::int64_t>(order.wait.count(), 100);
        const bool inTime = answer <= sentAt + order.wait.count() + orderTimeoutMs;
        this->events.emplace(arrival, [this, order] {
            Worker &worker = this->workers[order.target.worker.value()];
            worker.leaseEnd = std::max(worker.leaseEnd, order.leaseEndMs);
            std::erase_if(worker.ended, [&](const EndedTask &ended) {
                return ended.number <= order.acknowledged;
            });
        });
        this->events.emplace(inTime ? answer : sentAt + order.wait.count() + orderTimeoutMs,
                             [this, id = order.target.worker, sentAt, inTime] {
                                 this->world.coordinator.holdAnswered(
                                     id, Instant(sentAt), Instant(this->now),
                                     inTime ? OrderOutcome::Accepted : OrderOutcome::Unanswered,
                                     inTime ? this->reportOf(id) : WorkerReport());
                             });
    }

    void begin(const StartOrder &order)
    {
        Worker &worker = this->workers[order.target.worker.value()];
        worker.leaseEnd = std::max(worker.leaseEnd, order.leaseEndMs);
        const auto [run, isNew] =
            worker.running.try_emplace(order.task, Run{order.run, this->now + runMs});
        if (isNew) {
            this->events.emplace(run->second.endsAt, [this, order] {
                const auto &running = this->workers[order.target.worker.value()].running;
                const auto found = running.find(order.task);
                if (found != running.end() && found->second.number == order.run) {
                    ++this->completed;
                    this->end(order.target.worker, order.task, RunEnd::Done);
                }
            });
        }
    }

    void end(const WorkerId &id, const TaskRef &task, RunEnd how)
    {
        Worker &worker = this->workers[id.value()];
        const auto found = worker.running.find(task);
        if (found != worker.running.end()) {
            worker.ended.push_back(
                EndedTask{++worker.ends, task, found->second.number, how, std::string()});
            worker.running.erase(found);
        }
    }

    void lapse()
    {
        for (auto &[id, worker] : this->workers) {
            while (!worker.running.empty() && this->now > worker.leaseEnd) {
                ++this->lapsed;
                this->end(WorkerId(id), worker.running.begin()->first, RunEnd::Lapsed);
            }
        }
    }

    WorkerReport reportOf(const WorkerId &id)
    {
        const Worker &worker = this->workers[id.value()];
        WorkerReport report;
        report.clockMs = this->now;
        for (const auto &[task, run] : worker.running) {
            const auto percent =
                static_cast<std::uint32_t>((this->now - run.endsAt + runMs) * 100 / runMs);
            report.running.push_back(RunningTask{task, run.number, {}, percent, 0});
        }
        report.ended = worker.ended;
        return report;
    }

    const std::int64_t bytesPerMs;
    std::int64_t freeAt = 0; ///< Number of the byte at which the link is free.
    std::multimap<std::int64_t, std::function<void()>> events;
    std::map<std::string, Worker> workers;
};

constexpr std::int64_t beginMs = 3000;
constexpr std::int64_t narrowBytesPerMs = 120;

/** Submits jobs with more tasks than the link can start, until the time. */
void overload(NarrowLink &link, std::int64_t until)
{
    jobs::JobSpec spec;
    spec.set_queue("plan");
    spec.set_service("orchard");
    *spec.add_steps() = stepOf(60, NarrowLink::runMs);
    while (link.now < until) {
        for (int job = 0; job < 4; ++job) {
            link.world.submit(spec, link.now);
        }
        link.runUntil(link.now + 500);
    }
}

// Guards against a collapse: starts fill the coordinator's link, so that replies come after the
// timeouts, orders are sent again, and leases lapse as no hold arrives in time.
TEST(NarrowLinkTest, KeepsLeasesAndStartsWhatTheLinkCarries)
{
    constexpr std::int64_t settledMs = 8000;
    constexpr std::int64_t endMs = 27000;
    NarrowLink link(narrowBytesPerMs);
    link.runUntil(beginMs);
    overload(link, settledMs);
    const std::size_t unansweredAtFirst = link.unanswered;
    overload(link, endMs);
    EXPECT_EQ(link.lapsed, 0U);
    EXPECT_LE(link.unanswered - unansweredAtFirst, link.sent / 100);
    // Half of what starts alone would fill the link with.
    constexpr std::size_t carried = (endMs - beginMs) * narrowBytesPerMs / NarrowLink::startBytes;
    EXPECT_GE(link.completed, carried / 2);
}

// Guards against jobs that stand still, with workers free, as the starts of others fill the link.
TEST(NarrowLinkTest, NoJobStandsStillBehindStartsOfOthers)
{
    NarrowLink link(narrowBytesPerMs);
    link.runUntil(beginMs);
    for (std::int64_t until = beginMs + 8000; until <= beginMs + 20000; until += 2000) {
        overload(link, until);
        EXPECT_EQ(link.world.coordinator.idleJobs(Instant(link.now)).size(), 0U) << until;
    }
}

} // namespace
} // namespace godwitfall::jobtests
