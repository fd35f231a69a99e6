#include "soakclients.h"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <utility>

#include "callafter.h"

namespace godwitfall::soak {

namespace {

constexpr Duration patience{3000}; ///< Of a client for one answer; the platform's usual one.
constexpr std::int64_t submitGapMs = 60;
constexpr std::int64_t submitGapRangeMs = 120;
constexpr std::int64_t retryGapMs = 300;
constexpr std::int64_t watchGapMs = 400;
constexpr unsigned mostAttempts = 12; ///< Of a client before it leaves.
constexpr unsigned cancelPercent = 15;
constexpr unsigned lastingEvery = 40; ///< One job in so many runs until it is cancelled.
constexpr unsigned mostLasting = 6;   ///< A quarter of all room stays taken at the most.
constexpr unsigned lastingEveryExtended = 16;
constexpr unsigned mostLastingExtended = 5;
constexpr std::size_t usualInstances = 5; ///< With more, each is asked less often.
constexpr std::uint64_t lastingWorkMs = 100000000;
constexpr unsigned longEvery = 24; ///< One job in so many works for longer than a lease.
constexpr std::uint64_t longWorkMs = 9000;
/** The same while workers are lost, so that runs end soon after the last loss. */
constexpr std::uint64_t longWorkExtendedMs = 7000;
constexpr unsigned otherQueueEvery = 16; ///< One job in so many goes to the other queue.
constexpr unsigned labelEvery = 4;       ///< One step in so many requires a kind of worker.
constexpr unsigned boundEvery = 2;       ///< One step in so many bounds its tasks on one worker.
constexpr unsigned wideEvery = 16;       ///< One of those in so many fills its bound everywhere.
constexpr unsigned highestBound = 2;

} // namespace

SoakClients::SoakClients(boost::asio::io_context &context, const SoakLayout &layout,
                         std::mt19937_64 &random, const jobtests::FleetLedger &ledger,
                         ClosedCheck &closed, KeptCallers *kept, std::uint64_t conditionSeed)
    : context(context)
    , layout(layout)
    , random(random)
    , conditionRandom(conditionSeed)
    , ledger(ledger)
    , closed(closed)
    , kept(kept)
    , http(context)
{}

void SoakClients::tick(std::int64_t now)
{
    this->nowMs = now;
    if (this->kept) {
        this->kept->tick(now);
        this->askOnKept();
    }
    if (this->finishing || now < this->nextAt) {
        return;
    }
    this->nextAt = now + submitGapMs + static_cast<std::int64_t>(this->below(submitGapRangeMs));
    this->submitNew();
}

void SoakClients::submitNew()
{
    auto made = std::make_unique<SoakJob>();
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(this->jobs.size() + 1));
    made->id = JobId(id);
    const bool extended = this->layout.extended || this->layout.closing;
    const bool dense = extended || this->layout.silence;
    const unsigned every = dense ? lastingEveryExtended : lastingEvery;
    const unsigned most = dense ? mostLastingExtended : mostLasting;
    const bool lasts = this->jobs.size() % every == 1 && this->jobs.size() / every < most;
    const bool isLong = this->jobs.size() % longEvery == 2;
    const std::uint64_t steps = lasts || isLong ? 1 : 1 + this->below(3);
    for (std::uint32_t step = 0; step < steps; ++step) {
        SoakStep spec;
        spec.count = static_cast<std::uint32_t>(1 + this->below(lasts    ? (extended ? 2 : 1)
                                                                : isLong ? 1
                                                                         : 3));
        spec.lasts = lasts;
        if (step > 0) {
            spec.after.push_back(step - 1);
        }
        made->steps.push_back(std::move(spec));
    }
    const std::uint64_t work = lasts                ? lastingWorkMs
                               : isLong && extended ? longWorkExtendedMs
                               : isLong             ? longWorkMs + this->below(longWorkMs)
                                                    : 50 + this->below(700);
    const bool fails = !lasts && !isLong && this->below(10) == 0;
    made->payload = "ms=" + std::to_string(work) + " fails=" + (fails ? "1" : "0");
    this->drawConditions(*made);
    SoakJob &job = *made;
    this->byId[job.id.value()] = &job;
    this->jobs.push_back(std::move(made));
    this->send(job);
    if (this->below(100) < cancelPercent) {
        callAfter(this->context, Duration(static_cast<std::int64_t>(this->below(2500))),
                  [this, &job] {
                      job.cancelSent = true;
                      this->cancel(job);
                  });
    }
}

void SoakClients::drawConditions(SoakJob &job)
{
    const auto oneIn = [this](unsigned many) {
        return this->conditionRandom() % many == 0;
    };
    if (job.lasts()) {
        job.steps.front().mostPerWorker = oneIn(boundEvery) ? 1 : 0;
        return;
    }
    job.inOtherQueue = oneIn(otherQueueEvery);
    for (SoakStep &step : job.steps) {
        if (oneIn(labelEvery) && !job.inOtherQueue) {
            step.label = SoakLayout::kindOf(this->conditionRandom());
        }
        if (oneIn(boundEvery)) {
            step.mostPerWorker =
                static_cast<std::uint32_t>(1 + this->conditionRandom() % highestBound);
            if (oneIn(wideEvery)) {
                step.count = static_cast<std::uint32_t>(this->layout.workers) * step.mostPerWorker;
            }
        }
    }
}

void SoakClients::call(std::size_t instance, KeptCallers::Caller *caller, const char *method,
                       const SoakJob &job, std::string body, const Handler &handler)
{
    const std::size_t called = caller ? caller->instance : instance;
    HttpCall call;
    call.step = "client";
    call.address = this->layout.clientAddress(called);
    call.method = method;
    call.target = job.path();
    call.headers["Host"] = SoakLayout::queueHost;
    call.headers["X-Deadline-Ms"] = std::to_string(patience.count());
    call.body = std::move(body);
    call.timeout = patience;
    if (caller) {
        caller->busy = true;
    }
    const auto sentAt = std::chrono::steady_clock::now();
    HttpClient &client = caller ? caller->http : this->http;
    client.call(std::move(call),
                [this, called, caller, handler, sentAt](const Result<HttpResponse> &result) {
                    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::steady_clock::now() - sentAt);
                    const bool broken = !result && result.error().fate != Fate::NotDone;
                    if (result || (broken && Duration(waited.count()) < patience)) {
                        this->ended(called, Duration(waited.count()), static_cast<bool>(result));
                    }
                    if (caller) {
                        this->answeredOnKept += result ? 1 : 0;
                        this->kept->finished(*caller, result);
                    }
                    handler(result);
                });
}

void SoakClients::callAny(const char *method, const SoakJob &job, std::string body,
                          const Handler &handler)
{
    const std::size_t instance = this->below(this->layout.instances);
    std::vector<KeptCallers::Caller *> idle;
    if (this->kept && this->kept->below(2) == 0) {
        idle = this->kept->idle(false);
    }
    KeptCallers::Caller *caller = idle.empty() ? nullptr : idle[this->kept->below(idle.size())];
    this->call(instance, caller, method, job, std::move(body), handler);
}

void SoakClients::askOnKept()
{
    if (this->jobs.empty()) {
        return;
    }
    for (KeptCallers::Caller *caller : this->kept->idle(true)) {
        const SoakJob &job = *this->jobs[this->kept->below(this->jobs.size())];
        const std::size_t instance = caller->instance;
        this->call(instance, caller, "GET", job, {}, [this, &job, instance](const auto &result) {
            this->noteShown(job, instance, result);
        });
    }
}

void SoakClients::noteShown(const SoakJob &job, std::size_t instance,
                            const Result<HttpResponse> &result)
{
    if (!result || result->status != 200) {
        return;
    }
    if (ClosedCheck::isFailed(result->body)) {
        this->failedJobs.insert(job.id);
    }
    const std::string fault =
        this->closed.check(job, this->layout.instanceName(instance), result->body);
    if (!fault.empty()) {
        std::cout << "after ms: " << this->nowMs << " " << fault << "\n";
        this->broken(fault);
    }
}

void SoakClients::send(SoakJob &job)
{
    ++job.attempts;
    std::string body = job.body(this->layout.tellsConditions);
    this->callAny("POST", job, std::move(body), [this, &job](const Result<HttpResponse> &result) {
        if (result && result->status == 200) {
            job.accepted = true;
            return;
        }
        const bool refused = result ? result->status == 429 || result->status == 503
                                    : result.error().fate == Fate::NotDone;
        job.rejected += refused ? 1 : 0;
        this->rejected += refused ? 1 : 0;
        this->unknown += refused ? 0 : 1;
        if (job.attempts < mostAttempts) {
            callAfter(this->context,
                      Duration(retryGapMs + static_cast<std::int64_t>(this->below(retryGapMs))),
                      [this, &job] { this->send(job); });
        }
    });
}

void SoakClients::cancel(SoakJob &job)
{
    this->callAny("DELETE", job, {}, [this, &job](const Result<HttpResponse> &result) {
        const bool known = result && result->status == 200;
        // Of a job whose accept is not known yet 410 says nothing.
        const bool gone = result && result->status == 410 && !job.accepted;
        if (known) {
            job.cancelled = true;
            std::cout << "cancelled " << job.id.value() << " after ms: " << this->nowMs << "\n";
        } else if (!gone || !this->finishing) {
            callAfter(this->context, Duration(retryGapMs), [this, &job] { this->cancel(job); });
        }
    });
}

void SoakClients::finish()
{
    this->finishing = true;
    for (const auto &job : this->jobs) {
        this->watch(*job);
    }
}

void SoakClients::watch(SoakJob &job)
{
    if (!job.accepted && !job.cancelled) {
        // A job whose client has left with every attempt refused, or not known, is owed nothing.
        job.settled = job.attempts >= mostAttempts;
        if (!job.settled) {
            callAfter(this->context, Duration(watchGapMs), [this, &job] { this->watch(job); });
        }
        return;
    }
    for (std::size_t instance = 0; instance < this->layout.instances; ++instance) {
        this->call(instance, nullptr, "GET", job, {}, [this, &job, instance](const auto &result) {
            this->noteShown(job, instance, result);
            const std::string state = result ? result->body : result.error().text();
            this->lastShown[job.id.value()] = state;
            const bool cancelled = state.find("cancelled") != std::string::npos;
            const bool completed = state.find("completed") != std::string::npos;
            const bool running = state.find("running") != std::string::npos;
            // Crashes under a task are part of the closing plan only.
            const bool failed =
                this->layout.closing && ClosedCheck::isFailed(state) && this->closed.hasCause(job);
            const bool ended = failed || (job.cancelSent ? cancelled || completed
                                          : job.lasts()  ? running
                                                         : completed);
            if (ended && result->status == 200) {
                this->agreed[job.id.value()].insert(instance);
                job.settled = this->agreed[job.id.value()].size() == this->layout.instances;
            }
        });
    }
    const std::size_t share = std::max<std::size_t>(1, this->layout.instances / usualInstances);
    callAfter(this->context, Duration(watchGapMs * static_cast<std::int64_t>(share)), [this, &job] {
        if (!job.settled) {
            this->watch(job);
        }
    });
}

bool SoakClients::settled() const
{
    // Tasks that last are at work again once all is well.
    const std::vector<TaskRef> lasting = this->lastingTasks();
    return std::all_of(this->jobs.begin(), this->jobs.end(),
                       [](const auto &job) { return job->settled; }) &&
           std::all_of(lasting.begin(), lasting.end(), [&](const TaskRef &task) {
               const auto at = this->ledger.running.find(task);
               return at != this->ledger.running.end() && !at->second.empty();
           });
}

std::vector<TaskRef> SoakClients::lastingTasks() const
{
    std::vector<TaskRef> tasks;
    for (const auto &job : this->jobs) {
        if (!job->lasts() || !job->accepted || job->cancelSent) {
            continue;
        }
        for (std::uint32_t index = 0; index < job->steps.front().count; ++index) {
            tasks.push_back(TaskRef{job->id, 0, 0, index});
        }
    }
    return tasks;
}

std::size_t SoakClients::acceptedCount() const
{
    return static_cast<std::size_t>(std::count_if(this->jobs.begin(), this->jobs.end(),
                                                  [](const auto &job) { return job->accepted; }));
}

StartVerdict SoakClients::judge(const TaskRef &task, const std::string &payload)
{
    const std::string name =
        task.job.value() + "." + std::to_string(task.step) + "." + std::to_string(task.index);
    const auto found = this->byId.find(task.job.value());
    if (found == this->byId.end()) {
        return {"start of " + name + ", which no client sent", {}};
    }
    SoakJob &job = *found->second;
    job.started = true;
    const bool fits = task.step < job.steps.size() && task.index < job.steps[task.step].count;
    if (!fits || payload != job.payload) {
        return {"start of " + name + " with what its client did not send", {}};
    }
    const jobtests::RouteConditions conditions = job.conditionsOf(task.step);
    for (const std::uint32_t earlier : job.steps[task.step].after) {
        for (std::uint32_t index = 0; index < job.steps[earlier].count; ++index) {
            if (!this->ledger.everDone.contains(TaskRef{task.job, 0, earlier, index})) {
                return {"start of " + name + " before step " + std::to_string(earlier) +
                            " was done",
                        conditions};
            }
        }
    }
    return {{}, conditions};
}

std::vector<std::string> SoakClients::faults() const
{
    std::vector<std::string> found;
    for (const auto &job : this->jobs) {
        if (!job->settled) {
            const auto shown = this->lastShown.find(job->id.value());
            found.push_back("job " + job->id.value() + " is not settled: " +
                            (shown == this->lastShown.end() ? "never shown" : shown->second));
        }
        if (job->started && job->attempts == job->rejected) {
            found.push_back("job " + job->id.value() + " ran, and was refused every time");
        }
        for (const auto &[task, runs] : this->ledger.running) {
            const bool over = job->settled && (job->cancelSent || !job->lasts());
            if (task.job == job->id && !runs.empty() && over) {
                found.push_back("a task of " + job->id.value() + " runs though its job is over");
            }
        }
    }
    if (found.empty() && !this->settled()) {
        found.emplace_back("a task that lasts is not at work");
    }
    return found;
}

} // namespace godwitfall::soak
