// Routing under load and noise: the strategies of WorkerChooser in the same run, open loop.
//
// Fifty workers of eight slots; noisy tasks come in waves and slow the calls beside them, which the
// strategies are not told. Prints a Markdown table with the median and the spread over the seeds.

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "fakes/fakelog.h"
#include "fakes/fakeworker.h"
#include "node.h"

namespace godwitfall::bench {
namespace {

constexpr int workerCount = 50;
constexpr Resources workerSize{64000, 250000, 0, 8};
constexpr std::int64_t oneWayMs = 1;
constexpr std::int64_t tickMs = 5;
constexpr std::int64_t warmUpMs = 3000;
constexpr std::int64_t runMs = 12000;
constexpr std::int64_t baseCallMs = 20;
constexpr std::int64_t noisyFactor = 6;
constexpr std::int64_t waveMs = 5000;
constexpr std::uint64_t budgetMs = 1000;
constexpr int seedCount = 3;

struct Scenario
{
    const char *name;
    double requestsPerMs;
    double burstFactor; ///< Load during the burst seconds, as a multiple.
    int noisyPercent;   ///< Workers that each wave slows.
};

constexpr Scenario scenarios[] = {
    {"calm", 8.0, 1.0, 0},
    {"burst of 5", 4.0, 5.0, 0},
    {"noisy wave", 8.0, 1.0, 30},
};

struct Figures
{
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    double inBudgetPercent = 0;
    double lateToldMs = 0; ///< Longest time between giving up and telling the caller.
};

/** One entry instance that owns all workers, under a simulated clock. */
class Run : public Outbox
{
public:
    Run(const std::string &chooser, const Scenario &scenario, std::uint64_t seed)
        : scenario(scenario)
        , world(seed)
        , nodeRandom(seed + 1)
    {
        NodeSettings settings;
        settings.instance = InstanceId("i");
        settings.zone = ZoneId("z");
        settings.incarnation = Incarnation(1);
        settings.times = {Duration(5000),  Duration(1000),  Duration(15000),
                          Duration(60000), Duration(10000), 10};
        settings.limits.queueLimit = 2000;
        settings.chooser = chooser;
        for (int index = 0; index < workerCount; ++index) {
            this->workers.push_back(
                std::make_unique<fakes::FakeWorker>("w" + std::to_string(index), workerSize, 1));
        }
        this->node = std::make_unique<Node>(settings, *this, this->nodeRandom);
        this->node->onList(Instant(0), this->makeList(), Instant(0));
    }

    Figures figures()
    {
        this->tick();
        this->arrive();
        while (!this->events.empty() && this->clock < warmUpMs + runMs + 3000) {
            const Event event = this->events.top();
            this->events.pop();
            this->clock = event.at;
            event.act();
        }
        std::sort(this->latencies.begin(), this->latencies.end());
        const auto quantile = [&](double share) {
            return this->latencies[static_cast<std::size_t>(
                share * static_cast<double>(this->latencies.size() - 1))];
        };
        return {quantile(0.5), quantile(0.99), quantile(0.999),
                100.0 * static_cast<double>(this->answeredInBudget) /
                    static_cast<double>(this->sent),
                this->lateTold};
    }

private:
    struct Event
    {
        std::int64_t at;
        std::uint64_t order;
        std::function<void()> act;
        bool operator<(const Event &other) const
        {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    void later(std::int64_t delay, std::function<void()> act)
    {
        this->events.push({this->clock + delay, ++this->eventOrder, std::move(act)});
    }

    Instant now() const { return Instant(this->clock); }

    wire::InstanceList makeList() const
    {
        wire::InstanceList list;
        for (const auto &each : this->workers) {
            wire::ListedWorker &worker = *list.add_workers();
            worker.set_worker(each->name());
            worker.set_zone("z");
            worker.set_address(each->name());
            *worker.mutable_capacity() = workerSize.toWire();
            worker.add_services("ordering");
        }
        return list;
    }

    void tick()
    {
        this->node->onTick(this->now());
        for (std::size_t index = 0; index < this->workers.size(); ++index) {
            for (const fakes::FinishedCall &call : this->workers[index]->advance(this->now())) {
                const SentOrder order = this->running.at(call.call);
                this->running.erase(call.call);
                this->reply(order, call.reply);
            }
        }
        this->later(tickMs, [this] { this->tick(); });
    }

    void arrive()
    {
        const bool over = this->clock >= warmUpMs + runMs;
        if (this->clock >= warmUpMs && !over) {
            const std::int64_t second = (this->clock - warmUpMs) / 1000;
            const bool burst = second % 10 == 5;
            this->due += this->scenario.requestsPerMs * (burst ? this->scenario.burstFactor : 1.0);
            for (; this->due >= 1.0; this->due -= 1.0) {
                this->request();
            }
        }
        if (!over) {
            this->later(1, [this] { this->arrive(); });
        }
    }

    void request()
    {
        wire::CallerRequest request;
        request.set_request(std::to_string(++this->sent));
        request.set_service("ordering");
        request.set_caller("grower-" + std::to_string(this->world.below(40)));
        request.set_budget_ms(budgetMs);
        request.set_repeatable(true);
        this->askedAt[this->sent] = this->clock;
        this->node->onRequest(request, CallerToken(this->sent), this->now());
    }

    /** The true slow-down, which no strategy is told. */
    std::int64_t callTime(std::size_t worker)
    {
        const auto wave = static_cast<std::uint64_t>(this->clock / waveMs);
        Random ofWave(wave * 1000 + worker);
        const bool noisy =
            ofWave.below(100) < static_cast<std::uint64_t>(this->scenario.noisyPercent);
        const auto jitter = static_cast<std::int64_t>(this->world.below(10));
        return (baseCallMs + jitter) * (noisy ? noisyFactor : 1);
    }

    void sendPeer(const std::string &, const wire::PeerMessage &) override {}

    void sendWorker(const SentOrder &order) override
    {
        this->later(oneWayMs, [this, order] {
            const auto index = static_cast<std::size_t>(std::stoi(order.address.substr(1)));
            fakes::FakeWorker &worker = *this->workers[index];
            worker.callTime = Duration(this->callTime(index));
            if (order.order.has_execute()) {
                this->running[order.order.execute().call()] = order;
            }
            const auto answer = worker.handle(order.order, this->now());
            if (answer) {
                this->running.erase(order.order.execute().call());
                this->reply(order, *answer);
            }
        });
    }

    void reply(const SentOrder &order, const wire::WorkerReply &answer)
    {
        this->later(oneWayMs, [this, order, answer] {
            this->node->onWorkerReply(order, answer, this->now());
        });
    }

    void append(Stream, const std::string &payload) override
    {
        this->log.append("state", payload);
        this->later(2, [this] { this->node->onAppended(Stream::State, Offset(1), this->now()); });
    }

    void read(Stream stream, Offset from, std::size_t most, Duration) override
    {
        this->later(2, [this, stream, from, most] {
            this->node->onRead(
                stream,
                this->log.read(stream == Stream::State ? "state" : "none", from.value(), most),
                this->now());
        });
    }

    void fetchList(Instant) override {}

    void answer(CallerToken caller, const wire::CallerAnswer &answer) override
    {
        const std::int64_t took = this->clock - this->askedAt.at(caller.value());
        if (answer.outcome() == wire::ANSWERED_WHOLE) {
            this->latencies.push_back(static_cast<double>(took));
            ++this->answeredInBudget;
        } else {
            this->lateTold =
                std::max(this->lateTold, static_cast<double>(took) - static_cast<double>(budgetMs));
        }
    }

    void reply(CallerToken, const wire::CommandReply &) override {}

    const Scenario &scenario;
    Random world;
    Random nodeRandom;
    std::int64_t clock = 0;
    std::uint64_t eventOrder = 0;
    std::priority_queue<Event> events;
    std::vector<std::unique_ptr<fakes::FakeWorker>> workers;
    fakes::FakeLog log;
    std::unique_ptr<Node> node;
    std::map<std::string, SentOrder> running;
    std::map<std::uint64_t, std::int64_t> askedAt;
    std::vector<double> latencies;
    double due = 0.0;
    std::uint64_t sent = 0;
    std::uint64_t answeredInBudget = 0;
    double lateTold = 0.0;
};

/** Returns "median (least to most)" of the member over the runs. */
std::string spread(std::vector<Figures> runs, double Figures::*member)
{
    std::sort(runs.begin(), runs.end(), [&](const Figures &left, const Figures &right) {
        return left.*member < right.*member;
    });
    char text[64];
    std::snprintf(text, sizeof(text), "%.1f (%.1f to %.1f)", runs[runs.size() / 2].*member,
                  runs.front().*member, runs.back().*member);
    return text;
}

} // namespace
} // namespace godwitfall::bench

int main(int argumentCount, char **argumentValues)
{
    // With an argument, only the scenario of that name.
    const std::string only = argumentCount > 1 ? argumentValues[1] : "";
    using namespace godwitfall;
    using namespace godwitfall::bench;
    std::printf("| scenario | strategy | p50 ms | p99 ms | p99.9 ms | answered in budget, %% | "
                "told late by at most, ms |\n|---|---|---|---|---|---|---|\n");
    for (const Scenario &scenario : scenarios) {
        if (!only.empty() && only != scenario.name) {
            continue;
        }
        for (const std::string &chooser : workerChooserNames()) {
            std::vector<Figures> runs;
            for (int seed = 1; seed <= seedCount; ++seed) {
                runs.push_back(Run(chooser, scenario, static_cast<std::uint64_t>(seed)).figures());
            }
            std::printf("| %s | %s | %s | %s | %s | %s | %s |\n", scenario.name, chooser.c_str(),
                        spread(runs, &Figures::p50).c_str(), spread(runs, &Figures::p99).c_str(),
                        spread(runs, &Figures::p999).c_str(),
                        spread(runs, &Figures::inBudgetPercent).c_str(),
                        spread(runs, &Figures::lateToldMs).c_str());
        }
    }
    return 0;
}
