#include "node.h"

#include <atomic>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "fakes/fakelog.h"
#include "fakes/fakeworker.h"

namespace godwitfall {
namespace {

constexpr int threadCount = 4;
constexpr int requestsPerThread = 500;
constexpr Resources size{100000, 100000, 0, 64};

/** Carries orders to a fake worker at once, from whichever thread they come, and answers later. */
class ThreadedOutbox : public Outbox
{
public:
    void sendPeer(const std::string &, const wire::PeerMessage &) override {}

    void sendWorker(const SentOrder &order) override
    {
        std::lock_guard lock(this->mutex);
        const auto reply = this->worker.handle(order.order, order.sentAt);
        if (reply) {
            this->replies.emplace_back(order, *reply);
        } else {
            this->running[order.order.execute().call()] = order;
        }
    }

    void append(Stream stream, const std::string &payload) override
    {
        std::lock_guard lock(this->mutex);
        this->log.append(stream == Stream::State ? "state" : "snapshots", payload);
    }

    void read(Stream stream, Offset from, std::size_t most, Duration) override
    {
        std::lock_guard lock(this->mutex);
        this->reads.emplace_back(stream, from, most);
    }

    void fetchList(Instant) override {}
    void answer(CallerToken, const wire::CallerAnswer &answer) override
    {
        ++this->answers;
        this->whole += answer.outcome() == wire::ANSWERED_WHOLE ? 1 : 0;
    }
    void reply(CallerToken, const wire::CommandReply &) override {}

    /** Hands everything that waits to the node. */
    void pump(Node &node, Instant now)
    {
        std::vector<std::pair<SentOrder, wire::WorkerReply>> due;
        std::vector<std::tuple<Stream, wire::ReadReply>> read;
        {
            std::lock_guard lock(this->mutex);
            due.swap(this->replies);
            for (const fakes::FinishedCall &call : this->worker.advance(now)) {
                due.emplace_back(this->running.at(call.call), call.reply);
                this->running.erase(call.call);
            }
            for (const auto &[stream, from, most] : this->reads) {
                read.emplace_back(stream,
                                  this->log.read(stream == Stream::State ? "state" : "snapshots",
                                                 from.value(), most));
            }
            this->reads.clear();
        }
        for (const auto &[order, reply] : due) {
            node.onWorkerReply(order, reply, now);
        }
        for (const auto &[stream, reply] : read) {
            node.onRead(stream, reply, now);
        }
        node.onAppended(Stream::State, Offset(1), now);
    }

    std::mutex mutex;
    fakes::FakeWorker worker{"w", size, 1};
    fakes::FakeLog log;
    std::vector<std::pair<SentOrder, wire::WorkerReply>> replies;
    std::map<std::string, SentOrder> running;
    std::vector<std::tuple<Stream, Offset, std::size_t>> reads;
    std::atomic<int> answers = 0;
    std::atomic<int> whole = 0;
};

wire::InstanceList listOfOne()
{
    wire::InstanceList list;
    wire::ListedWorker &worker = *list.add_workers();
    worker.set_worker("w");
    worker.set_zone("z");
    worker.set_address("w");
    *worker.mutable_capacity() = size.toWire();
    worker.add_services("s");
    return list;
}

/** All calls come from several threads at once; every caller gets one answer. */
TEST(NodeThreads, AnswerEveryCallerOnce)
{
    ThreadedOutbox outbox;
    outbox.worker.callTime = Duration(1);
    Random random(1);
    NodeSettings settings;
    settings.instance = InstanceId("i");
    settings.zone = ZoneId("z");
    settings.incarnation = Incarnation(1);
    settings.times = {Duration(5000),  Duration(100),   Duration(15000),
                      Duration(60000), Duration(10000), 10};
    settings.commitEvery = Duration(1);
    settings.limits.queueLimit = 100000;
    settings.limits.defaultBudget = Duration(1000000);
    Node node(settings, outbox, random);
    std::atomic<std::int64_t> clock = 1;
    const auto now = [&] {
        return Instant(clock.load());
    };
    node.onList(now(), listOfOne(), now());
    const auto turn = [&] {
        ++clock;
        node.onTick(now());
        outbox.pump(node, now());
    };
    while (!node.ready() || node.statistics(now()).ownedWorkers == 0) {
        turn();
    }
    std::vector<std::thread> threads;
    for (int thread = 0; thread < threadCount; ++thread) {
        threads.emplace_back([&, thread] {
            for (int index = 0; index < requestsPerThread; ++index) {
                wire::CallerRequest request;
                request.set_request(std::to_string(thread) + "-" + std::to_string(index));
                request.set_service("s");
                request.set_caller(std::to_string(thread));
                request.set_repeatable(index % 10 != 0);
                node.onRequest(
                    request,
                    CallerToken(static_cast<std::uint64_t>(thread * requestsPerThread + index)),
                    now());
                turn();
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    for (int index = 0; index < 200000 && node.statistics(now()).inFlight > 0; ++index) {
        turn();
    }
    EXPECT_EQ(outbox.answers, threadCount * requestsPerThread);
    EXPECT_EQ(outbox.whole, threadCount * requestsPerThread);
}

} // namespace
} // namespace godwitfall
