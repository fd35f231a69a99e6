#include "frostnight.h"

#include <algorithm>
#include <csignal>
#include <iomanip>
#include <iostream>
#include <sstream>

#include <boost/asio.hpp>

#include "jsoncodec.h"
#include "settingsloader.h"

namespace godwitfall::standins {

namespace {

constexpr int checksPerSecond = 150;
constexpr int burstPerSecond = 600;
constexpr int budgetMs = 1500;
constexpr int planCount = 30;
constexpr int watcherCount = 6;
/** How long after its budget a request may wait for the answer that it was given up on. */
constexpr double giveUpGraceMs = 200.0;

} // namespace

FrostNight::FrostNight(Layout layout, int seconds, std::string victim)
    : layout(std::move(layout))
    , seconds(seconds)
    , victim(std::move(victim))
    , timer(this->context)
    , client(this->context)
{}

std::string FrostNight::anyInstance()
{
    const auto zones = this->layout.zones.size();
    const int turn = this->nextInstance++;
    const auto zone = static_cast<std::size_t>(turn) % zones;
    const int index = turn / static_cast<int>(zones) % this->layout.instancesPerZone;
    // The balancer of a real platform stops sending to an instance that is gone.
    if (this->killed && zone == 0 && index == 0) {
        return this->anyInstance();
    }
    return this->layout.instanceHttp(zone, index);
}

void FrostNight::runFor(std::chrono::milliseconds time)
{
    this->context.restart();
    this->context.run_for(time);
}

std::string FrostNight::control(const std::string &target)
{
    HttpCall call;
    call.step = "control";
    call.address = this->layout.controlAddress();
    call.target = target;
    std::string body;
    bool done = false;
    this->client.call(call, [&](const Result<HttpResponse> &answer) {
        body = answer ? answer->body : "";
        done = true;
    });
    while (!done) {
        this->runFor(std::chrono::milliseconds(5));
    }
    return body;
}

wire::CommandReply FrostNight::command(const std::string &text)
{
    wire::CommandRequest request;
    request.set_id("demo-" + std::to_string(++this->nextRequest));
    request.set_text(text);
    HttpCall call;
    call.step = "command";
    call.address = this->anyInstance();
    call.target = "/v1/commands";
    call.headers = {{"Authorization", "Bearer " + processEnvironment("GODWITFALL_OPERATOR_TOKEN")},
                    {"X-Operator", "demo"}};
    call.body = toJson(request);
    call.timeout = Duration(15000);
    wire::CommandReply reply;
    reply.set_verdict(wire::DECIDED_UNKNOWN);
    bool done = false;
    this->client.call(call, [&](const Result<HttpResponse> &answer) {
        done = true;
        if (answer) {
            (void)fromJson(answer->body, reply, "reply", call.address);
        }
    });
    while (!done) {
        this->runFor(std::chrono::milliseconds(2));
    }
    return reply;
}

void FrostNight::submitTasks()
{
    for (int index = 0; index < planCount; ++index) {
        const auto reply = this->command("submit task plan-" + std::to_string(index) +
                                         " team allocation milli_cores 4000 memory_mb 8000 "
                                         "kind batch run_ms 4000");
        this->plans += reply.verdict() == wire::DECIDED_ACCEPTED ? 1 : 0;
    }
    for (int index = 0; index < watcherCount; ++index) {
        const auto reply = this->command("submit task depot-" + std::to_string(index) +
                                         " team depots milli_cores 1000 memory_mb 1000 "
                                         "kind watch stay");
        this->watchers += reply.verdict() == wire::DECIDED_ACCEPTED ? 1 : 0;
    }
    const auto refused =
        this->command("submit task impossible team allocation milli_cores 900000 memory_mb 1");
    this->refusedCommands += refused.verdict() == wire::DECIDED_REFUSED ? 1 : 0;
}

void FrostNight::sendCheck(bool order)
{
    const std::string id = (order ? "order-" : "check-") + std::to_string(++this->nextRequest);
    Sent sent{"valley " + id, order, std::chrono::steady_clock::now()};
    ++this->totals.sent;
    this->send(id, sent, true);
    if (order) {
        // A grower whose browser is impatient sends the same order again, to another instance.
        this->sendAgain(id, sent.body);
    }
}

void FrostNight::sendAgain(const std::string &id, const std::string &body)
{
    this->send(id, {body, true, std::chrono::steady_clock::now()}, false);
}

void FrostNight::send(const std::string &id, const Sent &sent, bool first)
{
    HttpCall call;
    call.step = "request";
    call.address = this->anyInstance();
    call.target = "/v1/requests/ordering";
    call.headers = {{"X-Request-Id", id},
                    {"X-Caller", "grower-" + std::to_string(this->nextRequest % 20)},
                    {"X-Budget-Ms", std::to_string(budgetMs)},
                    {"X-Repeatable", sent.order ? "no" : "yes"}};
    call.body = sent.body;
    call.timeout = Duration(budgetMs * 3);
    this->client.call(call, [this, id, sent, first](const Result<HttpResponse> &answer) {
        this->onAnswer(id, sent, first, answer);
    });
}

void FrostNight::onAnswer(const std::string &id, const Sent &sent, bool first,
                          const Result<HttpResponse> &answer)
{
    const std::chrono::duration<double, std::milli> took =
        std::chrono::steady_clock::now() - sent.at;
    if (!answer) {
        ++this->totals.unreachable;
        this->orderOutcome.try_emplace(id, "unknown");
        return;
    }
    const std::string outcome =
        answer->headers.contains("x-outcome") ? answer->headers.at("x-outcome") : "";
    this->totals.lateGiveUp += took.count() > budgetMs + giveUpGraceMs ? 1 : 0;
    if (outcome == "ANSWERED_WHOLE") {
        ++this->totals.answered;
        this->totals.wrong += answer->body == "answer to " + id + ": " + sent.body ? 0 : 1;
        this->latencies.push_back(took.count());
    } else if (outcome == "NOT_RUN") {
        ++this->totals.notRun;
    } else if (outcome == "ALREADY_ANSWERED") {
        ++this->totals.repeated;
    } else {
        ++(first ? this->totals.unknown : this->totals.repeated);
    }
    if (sent.order) {
        std::string &known = this->orderOutcome[id];
        known = known.empty() || known == outcome ? outcome : "mixed";
    }
}

void FrostNight::killVictim()
{
    if (this->victim.empty()) {
        return;
    }
    ::kill(static_cast<pid_t>(std::stol(this->victim)), SIGKILL);
    this->killed = true;
    std::cout << "killed instance " << this->layout.instanceName(0, 0) << std::endl;
}

void FrostNight::schedule(int millisecond)
{
    const int second = millisecond / 1000;
    const bool burst = second >= this->seconds / 3 && second < this->seconds / 3 + 4;
    const int perSecond = burst ? burstPerSecond : checksPerSecond;
    const int due =
        perSecond * (millisecond % 1000 + 10) / 1000 - perSecond * (millisecond % 1000) / 1000;
    for (int count = 0; count < due; ++count) {
        this->sendCheck(this->nextRequest % 15 == 0);
    }
}

int FrostNight::run()
{
    this->submitTasks();
    std::cout << "submitted " << this->plans << " plans and " << this->watchers << " watchers"
              << std::endl;
    const auto begin = std::chrono::steady_clock::now();
    const std::string zone = this->layout.zones.back();
    for (int at = 0; at < this->seconds * 1000; at += 10) {
        this->schedule(at);
        if (at == this->seconds * 1000 / 2) {
            this->killVictim();
        }
        if (at == this->seconds * 1000 * 6 / 10) {
            this->control("/faults/cut/" + zone + "/on");
            std::cout << "cut zone " << zone << " off from the platform" << std::endl;
        }
        if (at == this->seconds * 1000 * 8 / 10) {
            this->control("/faults/cut/" + zone + "/off");
            std::cout << "zone " << zone << " can reach the platform again" << std::endl;
        }
        if (at % 5000 == 0) {
            std::cout << "t=" << at / 1000 << "s sent=" << this->totals.sent
                      << " answered=" << this->totals.answered << " not_run=" << this->totals.notRun
                      << " unknown=" << this->totals.unknown << std::endl;
        }
        const auto next = begin + std::chrono::milliseconds(at + 10);
        const auto left = next - std::chrono::steady_clock::now();
        if (left.count() > 0) {
            this->runFor(std::chrono::duration_cast<std::chrono::milliseconds>(left));
        }
    }
    this->runFor(std::chrono::milliseconds(budgetMs * 3 + 500));
    const bool tasksDone = this->waitForTasks();
    this->checkOrders();
    return this->report(tasksDone) ? 0 : 1;
}

bool FrostNight::waitForTasks()
{
    for (int round = 0; round < 60; ++round) {
        const auto finished = this->command("list tasks where state = finished");
        const auto claimed = this->command("list tasks where kind = WATCH and state = claimed");
        this->finishedPlans = finished.rows_size();
        this->runningWatchers = claimed.rows_size();
        if (this->finishedPlans == this->plans && this->runningWatchers == this->watchers) {
            return true;
        }
        this->runFor(std::chrono::milliseconds(500));
    }
    return false;
}

void FrostNight::checkOrders()
{
    std::istringstream lines(this->control("/counts"));
    std::string name;
    std::string value;
    while (lines >> name >> value) {
        if (name.starts_with("begun:")) {
            this->begun[name.substr(6)] = std::stoi(value);
        } else {
            this->counts[name] = value;
        }
    }
    for (const auto &[id, count] : this->begun) {
        this->totals.begunTwice += count > 1 ? 1 : 0;
        const auto outcome = this->orderOutcome.find(id);
        const bool toldNotRun = outcome != this->orderOutcome.end() && outcome->second == "NOT_RUN";
        this->totals.notRunButBegun += toldNotRun && count > 0 ? 1 : 0;
    }
}

bool FrostNight::report(bool tasksDone)
{
    std::sort(this->latencies.begin(), this->latencies.end());
    const auto quantile = [this](double share) {
        return this->latencies.empty()
                   ? 0.0
                   : this->latencies[static_cast<std::size_t>(
                         share * static_cast<double>(this->latencies.size() - 1))];
    };
    struct Promise
    {
        std::string text;
        long tried;
        long broken;
    };
    const long observed = std::stol(this->counts["observations"]);
    const std::vector<Promise> promises = {
        {"no worker holds more than it can", observed, std::stol(this->counts["overcommits"])},
        {"no task runs in two places", observed, std::stol(this->counts["doubled_tasks"])},
        {"every plan finished, every watcher runs", this->plans + this->watchers,
         this->plans + this->watchers - this->finishedPlans - this->runningWatchers},
        {"the whole answer to one's own request", this->totals.answered, this->totals.wrong},
        {"an order runs at most once", static_cast<long>(this->orderOutcome.size()),
         this->totals.begunTwice},
        {"an order refused as not run did not run", static_cast<long>(this->orderOutcome.size()),
         this->totals.notRunButBegun},
        {"a request given up on is told so", this->totals.sent, this->totals.lateGiveUp},
        {"a job that can never run is refused at once", 1, 1 - this->refusedCommands},
    };
    bool held = tasksDone && this->plans == planCount && this->watchers == watcherCount;
    std::cout << "\n"
              << std::left << std::setw(48) << "promise" << std::setw(10) << "tried"
              << "broken\n";
    for (const Promise &promise : promises) {
        std::cout << std::setw(48) << promise.text << std::setw(10) << promise.tried
                  << promise.broken << "\n";
        held = held && promise.broken == 0;
    }
    std::cout << "\nrequests: sent " << this->totals.sent << ", answered " << this->totals.answered
              << ", not run " << this->totals.notRun << ", unknown " << this->totals.unknown
              << ", repeats told so " << this->totals.repeated << ", connection lost "
              << this->totals.unreachable << "\n"
              << std::fixed << std::setprecision(1) << "latency ms: p50 " << quantile(0.5)
              << ", p99 " << quantile(0.99) << ", p99.9 " << quantile(0.999) << "\n"
              << "log appends: " << this->counts["appends"] << "\n"
              << (held ? "all promises held" : "PROMISES BROKEN") << std::endl;
    return held;
}

} // namespace godwitfall::standins
