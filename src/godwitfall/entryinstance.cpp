#include "entryinstance.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>

#include "logging.h"
#include "platform/codec.h"
#include "platform/names.h"

namespace godwitfall {

namespace {

/** Longest wait of one long poll of the store; bounds the age of the view. */
constexpr Duration pollWait{1000};
/** Fraction (1/n) of the time for evacuations that a long poll of their requests waits at most;
 * half of the time without a read holds all starts. */
constexpr std::int64_t evacuationPollDivisor = 5;
/** Pause between reads of a likely successor of the coordinator; the platform charges each read. */
constexpr Duration successorReadGap{90};
/** Pause between reads of other instances; the coordinator answers their requests. */
constexpr Duration otherReadGap{450};
/** Pause between reads of the coordinator, which places tasks as they arrive. */
constexpr Duration ownerReadGap{8};
constexpr Duration workerReadGap{150};
/** Pause between reads of the configuration, which changes rarely; the age of the view counts. */
constexpr Duration configReadGap{20};
constexpr Duration failedReadGap{200};
/** Time beyond the wait of a read from which it is logged as slow. */
constexpr Duration slowTransfer{500};
constexpr Duration ownerTick{20};
constexpr Duration standbyTick{60};
/** Time until the platform sends no new connections here: two failed probes one second apart. */
constexpr Duration drainTime{2500};
/** Time from the completion of a response until it has been sent for certain: several scheduling
 * turns of a slow processor. */
constexpr Duration flushTime{250};
/** Time before the platform's SIGKILL at which the process exits by itself. */
constexpr Duration killMargin{700};
/** Interval of the log line on the coordinator's load. */
constexpr Duration loadReportGap{5000};
/** Interval of the log lines on delayed tasks; below the time that the platform lets a long-running
 * task wait for free capacity. */
constexpr Duration delayReportGap{2000};
/** Idle jobs that one report names; the search for what keeps one idle walks all workers. */
constexpr std::size_t idleJobsReported = 20;

Instant boottime()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(std::int64_t(time.tv_sec) * 1000 + time.tv_nsec / 1000000);
}

/** Returns the sender's version of the configuration; 0 if the headers don't tell it. */
std::uint64_t configVersionIn(const std::map<std::string, std::string> &headers)
{
    constexpr int decimal = 10;
    const auto found = headers.find(platform::names::configVersionHeader);
    return found == headers.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, decimal);
}

HttpResponse closingResponse(unsigned status, const char *reason)
{
    HttpResponse response;
    response.status = status;
    response.body = platform::errorBody(reason);
    return response;
}

} // namespace

EntryInstance::EntryInstance(boost::asio::io_context &context, platform::Settings settings,
                             std::uint64_t incarnation, std::uint16_t metricsPort)
    : context(context)
    , settings(std::move(settings))
    , incarnation(incarnation)
    , metricsPort(metricsPort)
    , random(incarnation)
    , http(context, ConnectionLimits{.total = this->settings.keptConnections})
    , store(this->http, this->settings.storeAddress)
    , orders(
          this->http, this->settings.adviceAddress,
          platform::OrderCallbacks{
              [this](const WorkerId &worker, OrderOutcome outcome, const WorkerReport &report,
                     Instant sentAt) {
                  this->node.coordination().holdAnswered(worker, sentAt, this->now(), outcome,
                                                         report);
                  this->wake();
              },
              [this](const WorkerId &worker, const TaskRef &task, std::uint32_t run,
                     OrderOutcome outcome) {
                  this->node.coordination().startAnswered(worker, task, run, this->now(), outcome);
                  this->wake();
              },
              [this](const WorkerId &worker, const TaskRef &task, std::uint32_t run,
                     OrderOutcome outcome) {
                  this->node.coordination().stopAnswered(worker, task, run, this->now(), outcome);
                  this->wake();
              },
              [this](const WorkerId &worker, const TaskRef &task, std::uint32_t run,
                     std::uint32_t percent, OrderOutcome outcome) {
                  this->node.coordination().paceAnswered(worker, task, run, percent, outcome);
              },
              [this](const StepRef &step, const std::optional<Advice> &advice) {
                  this->node.coordination().adviceAnswered(step, advice, this->now());
                  this->wake();
              },
              [this](const OrderTarget &target, std::int64_t repliedStartMs) {
                  this->reportOtherIncarnation(target, repliedStartMs);
              },
              [this] { return this->now(); },
              [this](const OrderTarget &target) {
                  this->node.coordination().connectionClosed(target.worker, this->now(),
                                                             target.incarnationStartMs);
              },
              [this](const OrderTarget &target) {
                  return this->node.mayStartOn(target.worker, this->now());
              }})
    , node(JobNodeSettings{this->settings.instance, incarnation, this->settings.peerAddress,
                           this->settings.processors, this->settings.worker,
                           this->settings.statusRetention, this->settings.configApplyTime,
                           this->settings.store, this->settings.evacuationTime,
                           this->settings.jobMemory},
           this->store, this->orders, *this, this->random)
    , jobApi(
          this->node.jobService(), this->node.jobs(), this->node.config(),
          [this] { return this->now(); }, [this] { return this->unixMs(); },
          [this](const HttpRequest &request, unsigned status, const char *reason) {
              if (status >= 400 && status != 410) {
                  this->reportRefusal(request, status, reason);
              }
          })
    , relay(this->http,
            {"host", platform::names::deadlineHeader, platform::names::configVersionHeader},
            {[this](const HttpResponse &response) {
                 this->node.noteConfigVersion(configVersionIn(response.headers));
                 return this->node.config().outdated();
             },
             [this](const HttpResponse &response) {
                 this->node.noteShownConfig(configVersionIn(response.headers));
             }})
    , connections(std::make_shared<ConnectionLimiter>(this->settings.clients))
    , timer(context)
    , signals(context, SIGTERM, SIGHUP)
{
    this->jobFollower.topic = platform::names::jobTopic;
    this->progressFollower.topic = platform::names::progressTopic;
    this->configFollower.topic = platform::names::configTopic;
    this->workerFollower.topic = platform::names::workerTopic;
}

EntryInstance::~EntryInstance() = default;

Instant EntryInstance::now() const
{
    return boottime();
}

std::int64_t EntryInstance::unixMs() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

Result<void> EntryInstance::start()
{
    const HttpLimits limits;
    this->jobApiServer = std::make_unique<HttpServer>(
        this->context, limits,
        [this](HttpRequest request, const Respond &respond) {
            this->serveClient(std::move(request), respond, false);
        },
        ListenerKind::Client, this->connections);
    this->applyRequestLimits(RequestLimits());
    this->peerServer = std::make_unique<HttpServer>(
        this->context, limits,
        [this](HttpRequest request, const Respond &respond) {
            this->serveClient(std::move(request), respond, true);
        },
        ListenerKind::Peer, this->connections);
    this->readinessServer = std::make_unique<HttpServer>(
        this->context, limits,
        [this](const HttpRequest &request, const Respond &respond) {
            this->serveReadiness(request, respond);
        },
        ListenerKind::Readiness, this->connections);
    if (const auto listening = this->jobApiServer->listen(this->settings.jobApiAddress);
        !listening) {
        return listening;
    }
    if (const auto listening = this->peerServer->listen(this->settings.peerAddress); !listening) {
        return listening;
    }
    if (const auto listening = this->readinessServer->listen(this->settings.readinessAddress);
        !listening) {
        return listening;
    }
    if (this->metricsPort != 0) {
        this->metricsServer = std::make_unique<HttpServer>(
            this->context, limits,
            [this](const HttpRequest &, const Respond &respond) { this->serveMetrics(respond); },
            ListenerKind::Metrics, this->connections);
        const std::string address = this->settings.ip + ":" + std::to_string(this->metricsPort);
        // Clients are served without the metrics page as well.
        if (const auto listening = this->metricsServer->listen(address); !listening) {
            logLine(LogLevel::Warning, "metrics_unavailable", {{"why", listening.error().text()}});
        }
    }
    this->waitForSignals();
    this->tick();
    return {};
}

void EntryInstance::recover(const char *error)
{
    this->metrics.count("godwitfall_unexpected_errors_total");
    logLine(LogLevel::Error, "unexpected_error", {{"what", error}});
    this->node.abandon();
    // The error may have kept tick() from scheduling the next tick.
    this->scheduleTick();
}

// Following the store

void EntryInstance::follow(Follower &follower, Instant at)
{
    if (follower.readInFlight || at < follower.dueAt) {
        return;
    }
    follower.readInFlight = true;
    if (follower.loaded) {
        this->readNext(follower);
    } else {
        this->load(follower, {});
    }
}

void EntryInstance::load(Follower &follower, const std::string &after)
{
    const std::uint64_t generation = follower.generation;
    if (after.empty()) {
        follower.requestedAt = this->now();
    }
    this->store.readNewest(
        follower.topic, after,
        [this, &follower, generation, after](const Result<platform::NewestPage> &page) {
            if (generation != follower.generation) {
                return;
            }
            if (!page) {
                follower.readInFlight = false;
                follower.dueAt = this->now() + failedReadGap;
                return;
            }
            // Reads continue at the end as of the first page; later pages may have newer records.
            if (after.empty()) {
                follower.cursor = page->end;
                if (&follower == &this->configFollower) {
                    this->node.beginNewestEvacuations();
                }
            }
            for (const JobRecord &record : page->records) {
                this->applyRecord(follower, record);
            }
            if (page->hasMore && !page->records.empty()) {
                this->load(follower, page->records.back().key);
                return;
            }
            follower.loaded = true;
            follower.readInFlight = false;
            if (&follower == &this->configFollower) {
                this->node.endNewestEvacuations(this->now());
            }
            this->markCaughtUp(follower, follower.requestedAt);
            this->wake();
        });
}

void EntryInstance::readNext(Follower &follower)
{
    const std::uint64_t generation = follower.generation;
    follower.requestedAt = this->now();
    const Duration wait = this->waitOf(follower);
    this->store.read(
        follower.topic, follower.cursor, wait,
        [this, &follower, generation, wait](const platform::StoreClient::ReadReply &reply) {
            using Outcome = platform::StoreClient::ReadOutcome;
            if (generation != follower.generation) {
                return;
            }
            follower.readInFlight = false;
            const Instant at = this->now();
            this->reportRead(follower, reply, at);
            if (reply.outcome == Outcome::Failed) {
                follower.dueAt = at + failedReadGap;
                return;
            }
            if (reply.outcome == Outcome::Deleted) {
                // The store still has the newest record of each key; load these again.
                follower.loaded = false;
                logLine(LogLevel::Info, "history_dropped", {{"topic", follower.topic}});
                return;
            }
            for (const JobRecord &record : reply.page.records) {
                follower.cursor = record.offset + 1;
                this->applyRecord(follower, record);
                if (generation != follower.generation) {
                    return;
                }
            }
            const Duration gap = this->readGap(follower);
            const bool atEnd = follower.cursor >= reply.page.end;
            follower.dueAt = atEnd ? at + gap : at;
            if (atEnd) {
                // The reply may have waited until this process was scheduled.
                this->markCaughtUp(follower, std::min(at, follower.requestedAt + wait));
            }
            this->wake();
        });
}

Duration EntryInstance::waitOf(const Follower &follower) const
{
    const Duration evacuationTime = this->settings.evacuationTime;
    const bool bounded = &follower == &this->configFollower && evacuationTime > Duration(0);
    return bounded ? std::min(pollWait, evacuationTime / evacuationPollDivisor) : pollWait;
}

Duration EntryInstance::readGap(const Follower &follower) const
{
    if (&follower == &this->workerFollower) {
        return workerReadGap;
    }
    if (&follower == &this->configFollower) {
        return configReadGap;
    }
    if (this->node.coordinates()) {
        return ownerReadGap;
    }
    return this->node.likelySuccessor() ? successorReadGap : otherReadGap;
}

void EntryInstance::markCaughtUp(const Follower &follower, Instant asOf)
{
    if (&follower == &this->jobFollower) {
        this->node.logReadTo(follower.cursor, asOf);
    } else if (&follower == &this->progressFollower) {
        this->progressWanted = false;
        this->node.progressLoaded();
    } else if (&follower == &this->configFollower) {
        // A start in an evacuated zone can't be undone, so this view is as old as its request.
        this->node.evacuationsReadTo(follower.requestedAt);
        if (this->configReadable) {
            this->node.configReadTo(asOf);
        }
    }
}

void EntryInstance::reportRead(const Follower &follower,
                               const platform::StoreClient::ReadReply &reply, Instant at) const
{
    const Duration took = at - follower.requestedAt;
    const bool failed = reply.outcome == platform::StoreClient::ReadOutcome::Failed;
    if (!failed && took <= pollWait + slowTransfer) {
        return;
    }
    logLine(failed ? LogLevel::Warning : LogLevel::Info, failed ? "read_failed" : "read_slow",
            {{"topic", follower.topic},
             {"from", std::to_string(follower.cursor)},
             {"took_ms", std::to_string(took.count())},
             {"records", std::to_string(reply.page.records.size())},
             {"why", failed ? reply.why : "none"}});
}

void EntryInstance::reload(Follower &follower)
{
    ++follower.generation;
    follower.readInFlight = false;
    follower.loaded = false;
    follower.dueAt = this->now();
}

void EntryInstance::applyRecord(Follower &follower, const JobRecord &record)
{
    if (&follower == &this->jobFollower || &follower == &this->progressFollower) {
        this->node.applyRecord(record, this->now());
    } else if (&follower == &this->configFollower) {
        this->applyConfigRecord(record);
    } else {
        this->applyWorkerRecord(record);
    }
}

void EntryInstance::applyRequestLimits(const RequestLimits &limits)
{
    // A limit of 0 would refuse every request; it counts as absent.
    const RequestLimits standard;
    const auto orStandard = [](Duration given, Duration fallback) {
        return given > Duration() ? given : fallback;
    };
    HttpLimits ofClients;
    ofClients.maxBodyBytes = limits.bodyBytes;
    ofClients.maxHeaderBytes = static_cast<std::uint32_t>(
        limits.headerBytes > 0 ? limits.headerBytes : standard.headerBytes);
    ofClients.headerTimeout = orStandard(limits.headerTimeout, standard.headerTimeout);
    ofClients.idleTimeout = orStandard(limits.idleTimeout, standard.idleTimeout);
    this->jobApiServer->setLimits(ofClients);
}

void EntryInstance::applyConfigRecord(const JobRecord &record)
{
    if (const std::optional<ZoneId> zone = platform::parseEvacuationKey(record.key)) {
        this->node.applyEvacuation(*zone, !record.value.empty(), record.offset, this->now());
        return;
    }
    if (record.key != platform::names::configKey || record.value.empty()) {
        return;
    }
    const Result<JobConfig> parsed = platform::parseConfig(record.value);
    this->configReadable = parsed.has_value();
    if (!parsed) {
        logLine(LogLevel::Warning, "config_unreadable", {{"why", parsed.error().text()}});
        return;
    }
    if (!this->node.setConfig(*parsed)) {
        return;
    }
    this->applyRequestLimits(parsed->requests);
    logLine(
        LogLevel::Info, "config_applied",
        {{"version", std::to_string(parsed->version)},
         {"queues", std::to_string(parsed->queues.size())},
         {"bytes", std::to_string(record.value.size())},
         {"offset", std::to_string(record.offset)},
         {"read_ms", std::to_string((this->now() - this->configFollower.requestedAt).count())}});
}

void EntryInstance::applyWorkerRecord(const JobRecord &record)
{
    if (!this->node.coordinates()) {
        return;
    }
    if (record.value.empty()) {
        this->node.coordination().removeWorker(WorkerId(record.key), this->now());
        return;
    }
    const Result<WorkerEntry> entry = platform::parseWorkerEntry(record.key, record.value);
    if (entry) {
        this->node.coordination().setWorker(*entry, this->now());
    } else {
        // What was known of the worker no longer holds; the registry may list it again.
        this->node.coordination().removeWorker(WorkerId(record.key), this->now());
        logLine(LogLevel::Info, "worker_entry_unusable", {{"why", entry.error().text()}});
    }
}

// Event loop

void EntryInstance::scheduleTick()
{
    const Duration length = this->node.coordinates() ? ownerTick : standbyTick;
    this->timer.expires_after(std::chrono::milliseconds(length.count()));
    this->timer.async_wait([this](const boost::system::error_code &failure) {
        if (!failure) {
            this->tick();
        }
    });
}

void EntryInstance::tick()
{
    this->process();
    this->scheduleTick();
}

void EntryInstance::wake()
{
    if (this->wakePosted) {
        return;
    }
    this->wakePosted = true;
    boost::asio::post(this->context, [this] {
        this->wakePosted = false;
        this->process();
    });
}

void EntryInstance::process()
{
    const Instant at = this->now();
    this->follow(this->jobFollower, at);
    this->follow(this->configFollower, at);
    if (this->progressWanted) {
        this->follow(this->progressFollower, at);
    }
    if (this->node.coordinates()) {
        this->follow(this->workerFollower, at);
    }
    this->node.work(at, this->unixMs());
    this->reportLoad(at);
    this->reportDelays(at);
    if (this->stopping) {
        this->finishShutdownWhenIdle(at);
    }
}

// Client requests and shutdown

void EntryInstance::serveReadiness(const HttpRequest &, const Respond &respond)
{
    HttpResponse response;
    response.status = this->node.ready(this->now()) ? 200 : 503;
    respond(std::move(response));
}

void EntryInstance::serveClient(HttpRequest request, const Respond &respond, bool forwarded)
{
    const std::uint64_t number = ++this->lastRequest;
    const Respond finish = [this, respond, forwarded, since = this->now()](HttpResponse response) {
        this->lastResponseAt = this->now();
        this->metrics.count("godwitfall_answers_total",
                            "status=\"" + std::to_string(response.status) + "\"");
        this->metrics.observe("godwitfall_answer_ms",
                              static_cast<double>((this->now() - since).count()));
        if (this->stopping) {
            response.headers["Connection"] = "close";
        }
        if (forwarded) {
            response.headers[platform::names::configVersionHeader] =
                std::to_string(this->node.config().version());
        }
        respond(std::move(response));
    };
    if (this->lastAnswersGiven) {
        finish(closingResponse(503, "not accepted: this instance is stopping"));
        return;
    }
    if (forwarded) {
        this->node.noteConfigVersion(configVersionIn(request.headers));
        if (this->node.config().outdated()) {
            finish(closingResponse(503, "not accepted: this instance's configuration is older"));
            return;
        }
    }
    this->openRequests.emplace(number, finish);
    const Respond answer = [this, number](HttpResponse response) {
        const auto request = this->openRequests.extract(number);
        if (!request.empty()) {
            request.mapped()(std::move(response));
        }
    };
    // Records of forwarded requests share the coordinator's appends, and its view is the newest.
    const bool toCoordinator =
        !forwarded && !this->node.coordinates() && !this->jobApi.canRespondLocally(request) &&
        this->relay.shouldForward(this->node.coordinatorAddress(), this->now());
    if (!toCoordinator) {
        this->serveLocally(request, answer, false);
        return;
    }
    this->metrics.count("godwitfall_forwards_total");
    request.headers[platform::names::configVersionHeader] =
        std::to_string(this->node.config().newestVersion());
    // The request is kept once, to be served locally if the coordinator doesn't.
    const auto kept = std::make_shared<const HttpRequest>(std::move(request));
    this->relay.forward(
        *kept, this->jobApi.knowsJob(*kept), [this] { return this->now(); }, answer,
        [this, kept, answer](bool maybeAccepted) {
            this->serveLocally(*kept, answer, maybeAccepted);
        });
}

void EntryInstance::serveLocally(const HttpRequest &request, const Respond &respond,
                                 bool maybeAccepted)
{
    this->jobApi.handle(request, [respond, maybeAccepted](HttpResponse response) {
        if (maybeAccepted && (response.status == 429 || response.status == 503)) {
            // The coordinator may have accepted it, so a refusal must not say "not accepted".
            response.status = 504;
            response.headers.erase("Retry-After");
        }
        respond(std::move(response));
    });
    this->node.sendSubmissions(this->now());
}

void EntryInstance::reportRefusal(const HttpRequest &request, unsigned status, const char *reason)
{
    // 504 says that the outcome is unknown.
    if (request.method == "POST" && status != 504) {
        this->metrics.count("godwitfall_submissions_refused_total",
                            "reason=\"" + std::string(reason) + "\"");
    }
    const ConfigView &config = this->node.config();
    logLine(LogLevel::Info, "request_refused",
            {{"method", request.method},
             {"target", request.target},
             {"status", std::to_string(status)},
             {"reason", reason},
             {"config_version", std::to_string(config.version())},
             {"config_age_ms", std::to_string(config.age(this->now()).count())}});
}

void EntryInstance::waitForSignals()
{
    this->signals.async_wait([this](const boost::system::error_code &failure, int signal) {
        if (failure) {
            return;
        }
        if (signal == SIGTERM) {
            this->beginShutdown();
        } else {
            const auto reloaded = platform::loadSettings();
            logLine(reloaded ? LogLevel::Info : LogLevel::Warning, "settings_read_again",
                    {{"result",
                      reloaded ? "valid; applied at the next start" : reloaded.error().text()}});
        }
        this->waitForSignals();
    });
}

void EntryInstance::beginShutdown()
{
    if (this->stopping) {
        return;
    }
    this->stopping = true;
    this->node.beginShutdown();
    this->stoppingSince = this->now();
    logLine(LogLevel::Info, "shutdown_begun", {});
}

void EntryInstance::finishShutdownWhenIdle(Instant at)
{
    const Instant endsAt = this->stoppingSince + this->settings.grace - killMargin;
    if (!this->lastAnswersGiven && at >= endsAt - flushTime) {
        this->answerOpenRequests();
    }
    const bool idle = this->openRequests.empty() && at >= this->lastResponseAt + flushTime;
    const bool drained = at >= this->stoppingSince + drainTime && idle && this->node.released();
    if (drained || at >= endsAt) {
        logLine(LogLevel::Info, "shutdown_done",
                {{"open_requests", std::to_string(this->openRequests.size())}});
        this->context.stop();
    }
}

void EntryInstance::answerOpenRequests()
{
    this->lastAnswersGiven = true;
    for (const auto &[number, finish] : std::exchange(this->openRequests, {})) {
        finish(closingResponse(504, "outcome unknown; send the request again"));
    }
}

// Notifications from the coordinator

namespace {

std::string listOf(const std::vector<std::uint32_t> &runs)
{
    std::string list;
    for (const std::uint32_t run : runs) {
        list += (list.empty() ? "" : ",") + std::to_string(run);
    }
    return list.empty() ? "none" : list;
}

/** Returns RUN:WORKER:EPOCH:SIGN:EVIDENCE of each crash. */
std::string listOf(const std::vector<CrashedRun> &crashes)
{
    std::string list;
    for (const CrashedRun &crash : crashes) {
        list += (list.empty() ? "" : ",") + std::to_string(crash.run) + ":" + crash.worker + ":" +
                std::to_string(crash.epoch) + ":" + jobs::CrashSign_Name(crash.sign) + ":" +
                jobs::CrashEvidence_Name(crash.evidence);
    }
    return list.empty() ? "none" : list;
}

/** Returns the kind of a line on a job that has ended; failures are not to be suppressed by the
 * numerous lines on jobs that are completed. */
LogEvent endEvent(const char *name, jobs::JobState state)
{
    return LogEvent(name, jobs::JobState_Name(state));
}

LogLevel endLevel(jobs::JobState state)
{
    return state == jobs::FAILED ? LogLevel::Warning : LogLevel::Info;
}

/** Returns why the job ended, as far as its records say. */
std::string reasonOf(const Job &job, jobs::JobState state)
{
    if (state == jobs::FAILED) {
        return job.failure ? toText(job.failure->reason) : "not_recorded";
    }
    return toText(state == jobs::CANCELLED ? JobEndReason::Cancelled : JobEndReason::AllDone);
}

} // namespace

void EntryInstance::crashCounted(const CountedCrash &counted)
{
    const CrashedRun &crash = counted.crash;
    const std::string evidence = jobs::CrashEvidence_Name(crash.evidence);
    const std::string sign = jobs::CrashSign_Name(crash.sign);
    this->metrics.count("godwitfall_crashes_counted_total",
                        std::string("task=\"") + (counted.givenUp ? "given_up\"" : "kept\""));
    this->metrics.count("godwitfall_crash_evidence_total",
                        "evidence=\"" + evidence + "\",sign=\"" + sign + "\"");
    const auto milliseconds = [](const std::optional<Duration> &time) {
        return time ? std::to_string(time->count()) : std::string("none");
    };
    logLine(counted.givenUp ? LogLevel::Warning : LogLevel::Info,
            counted.givenUp ? "task_given_up" : "crash_counted",
            {{"task", platform::taskName(counted.task)},
             {"run", std::to_string(crash.run)},
             {"worker", crash.worker},
             {"crashes", std::to_string(counted.crashes)},
             {"sign", sign},
             {"evidence", evidence},
             {"causes", std::to_string(counted.causes)},
             {"start", counted.listed       ? "listed"
                       : counted.startTaken ? "taken"
                                            : "unanswered"},
             {"since_start_ms", milliseconds(counted.sinceStart)},
             {"since_reply_ms", milliseconds(counted.sinceReply)},
             {"since_closed_ms", milliseconds(counted.sinceClosed)}});
}

void EntryInstance::crashWithdrawn(const TaskRef &task, std::uint32_t run, const WorkerId &worker)
{
    this->metrics.count("godwitfall_crashes_withdrawn_total");
    logLine(LogLevel::Info, "crash_withdrawn",
            {{"task", platform::taskName(task)},
             {"run", std::to_string(run)},
             {"worker", worker.value()}});
}

void EntryInstance::taskReturned(const TaskRef &task, std::uint32_t run, const WorkerId &worker,
                                 RunOutcome outcome)
{
    this->metrics.count("godwitfall_runs_returned_total",
                        std::string("outcome=\"") + toText(outcome) + "\"");
    logLine(LogLevel::Info, "run_over",
            {{"task", platform::taskName(task)},
             {"run", std::to_string(run)},
             {"worker", worker.value()},
             {"outcome", toText(outcome)}});
}

void EntryInstance::jobFinished(const Job &job, const JobEnd &end)
{
    const bool namesTask = !end.failedRuns.empty() || !end.crashedRuns.empty();
    this->metrics.count("godwitfall_jobs_finished_total",
                        "state=\"" + jobs::JobState_Name(job.state) + "\",reason=\"" +
                            toText(end.reason) + "\"");
    this->metrics.observe("godwitfall_job_ms",
                          static_cast<double>((job.closedAt - job.knownSince).count()));
    if (job.firstPlacedAt != Instant()) {
        this->metrics.observe("godwitfall_job_wait_ms",
                              static_cast<double>((job.firstPlacedAt - job.knownSince).count()));
    }
    logLine(endLevel(job.state), endEvent("job_finished", job.state),
            {{"job", job.id().value()},
             {"queue", job.spec().queue()},
             {"state", jobs::JobState_Name(job.state)},
             {"waited_ms", job.firstPlacedAt == Instant()
                               ? "none"
                               : std::to_string((job.firstPlacedAt - job.knownSince).count())},
             {"took_ms", std::to_string((job.closedAt - job.knownSince).count())},
             {"estimated_chain_ms", std::to_string(job.criticalPath().count())},
             {"runs_returned", std::to_string(job.returnedRuns)},
             {"reason", toText(end.reason)},
             {"task", namesTask ? platform::taskName(end.task) : "none"},
             {"failed_runs", listOf(end.failedRuns)},
             {"crashes", listOf(end.crashedRuns)}});
}

void EntryInstance::jobEndRead(const Job &job)
{
    const JobEnd end = job.failure.value_or(JobEnd());
    logLine(endLevel(job.published), endEvent("job_end_read", job.published),
            {{"job", job.id().value()},
             {"queue", job.spec().queue()},
             {"state", jobs::JobState_Name(job.published)},
             {"reason", reasonOf(job, job.published)},
             {"task", job.failure ? platform::taskName(end.task) : "none"},
             {"failed_runs", listOf(end.failedRuns)},
             {"crashes", listOf(end.crashedRuns)}});
}

void EntryInstance::closedJobAdopted(const Job &job)
{
    const JobEnd end = job.failure.value_or(JobEnd());
    std::size_t placed = 0;
    for (const auto &[key, run] : job.stepRuns()) {
        placed += static_cast<std::size_t>(
            std::count_if(run.tasks.begin(), run.tasks.end(),
                          [](const Task &task) { return !task.worker.empty(); }));
    }
    logLine(endLevel(job.state), endEvent("closed_job_adopted", job.state),
            {{"job", job.id().value()},
             {"queue", job.spec().queue()},
             {"state", jobs::JobState_Name(job.state)},
             {"published", jobs::JobState_Name(job.published)},
             {"finished", std::to_string(job.finishedMs)},
             {"placed", std::to_string(placed)},
             {"reason", reasonOf(job, job.state)},
             {"task", job.failure ? platform::taskName(end.task) : "none"},
             {"failed_runs", listOf(end.failedRuns)},
             {"crashes", listOf(end.crashedRuns)}});
}

void EntryInstance::taskHeldBack(const TaskRef &task, std::size_t crashes, const HoldBack &hold)
{
    this->metrics.count("godwitfall_tasks_held_back_total");
    logLine(LogLevel::Info, "task_held_back",
            {{"task", platform::taskName(task)},
             {"crashes", std::to_string(crashes)},
             {"for_ms", std::to_string(hold.length.count())},
             {"until", std::to_string(hold.untilMs)}});
}

void EntryInstance::workerEjected(const WorkerId &worker, Duration length)
{
    logLine(LogLevel::Info, "worker_rests",
            {{"worker", worker.value()}, {"ms", std::to_string(length.count())}});
}

void EntryInstance::capacityShort(const std::string &service, bool isShort)
{
    if (isShort) {
        this->metrics.count("godwitfall_capacity_short_total");
    }
    logLine(LogLevel::Info, isShort ? "capacity_short" : "capacity_suffices",
            {{"service", service}, {"order", isShort ? "delay_cost" : "usual"}});
}

void EntryInstance::workerRestarted(const WorkerState &former, std::int64_t startMs)
{
    logLine(LogLevel::Info, "worker_reborn",
            {{"worker", former.entry.id.value()},
             {"born", std::to_string(startMs)},
             {"former_born", std::to_string(former.incarnationStartMs)},
             {"former_ends_applied", std::to_string(former.ends.applied)},
             {"former_ends_discarded", std::to_string(former.ends.discarded)},
             {"former_ends_in_hold", std::to_string(former.ends.discarding)}});
}

void EntryInstance::reportOtherIncarnation(const OrderTarget &target, std::int64_t repliedStartMs)
{
    this->metrics.count("godwitfall_orders_other_incarnation_total");
    logLine(LogLevel::Info, "order_other_incarnation",
            {{"worker", target.worker.value()},
             {"born", std::to_string(target.incarnationStartMs)},
             {"replied_born", std::to_string(repliedStartMs)}});
}

void EntryInstance::orderFenced(const WorkerId &worker)
{
    logLine(LogLevel::Warning, "order_fenced", {{"worker", worker.value()}});
}

void EntryInstance::reportLoad(Instant at)
{
    if (!this->node.coordinates() || at < this->loadReportedAt + loadReportGap) {
        return;
    }
    this->loadReportedAt = at;
    const CoordinatorStatistics statistics = this->node.coordination().statistics(at);
    const auto tasks = [&](WorkKind kind) {
        const TaskCounts &counts = statistics.tasks.at(static_cast<std::size_t>(kind));
        return std::to_string(counts.waiting) + "/" + std::to_string(counts.starting) + "/" +
               std::to_string(counts.running) + "/" + std::to_string(counts.stopping);
    };
    logLine(LogLevel::Info, "coordinator_load",
            {{"workers", std::to_string(statistics.workers)},
             {"silent", std::to_string(statistics.unresponsive)},
             {"resting", std::to_string(statistics.ejected)},
             {"draining", std::to_string(statistics.draining)},
             {"millicores", std::to_string(statistics.milliCores)},
             {"reserved_millicores", std::to_string(statistics.reservedMilliCores)},
             {"filling_millicores", std::to_string(statistics.bestEffortMilliCores)},
             {"memory_mb", std::to_string(statistics.memoryMb)},
             {"reserved_memory_mb", std::to_string(statistics.reservedMemoryMb)},
             {"open_jobs", std::to_string(statistics.openJobs)},
             {"short_services", std::to_string(statistics.shortServices)},
             {"missed_targets", std::to_string(statistics.missedTargets)},
             {"open_starts", std::to_string(statistics.openStarts)},
             {"start_limit", std::to_string(statistics.startLimit)},
             // Numbers of waiting, starting, running and stopping tasks of each kind of work.
             {"plain_tasks", tasks(WorkKind::Plain)},
             {"serving_tasks", tasks(WorkKind::Serving)},
             {"filling_tasks", tasks(WorkKind::BestEffort)}});
    this->reportCalls();
}

void EntryInstance::reportCalls()
{
    std::string kinds;
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t timedOut = 0;
    for (const auto &[kind, figures] : this->http.traffic().takeRecent()) {
        sent += figures.sentBytes;
        received += figures.receivedBytes;
        timedOut += figures.timedOut;
        kinds += (kinds.empty() ? "" : ", ") + kind + " " + std::to_string(figures.calls) + "/" +
                 std::to_string(figures.sentBytes) + "/" + std::to_string(figures.receivedBytes) +
                 "/" + std::to_string(figures.timedOut) + "/" +
                 std::to_string(figures.longestDelay.count());
    }
    logLine(LogLevel::Info, "call_traffic",
            {{"sent_bytes", std::to_string(sent)},
             {"received_bytes", std::to_string(received)},
             {"timed_out", std::to_string(timedOut)},
             // Calls, bytes sent and received, calls timed out and longest delay in ms, by kind.
             {"kinds", kinds}});
}

void EntryInstance::reportDelays(Instant at)
{
    if (!this->node.coordinates() || at < this->delaysReportedAt + delayReportGap) {
        return;
    }
    this->delaysReportedAt = at;
    for (const DelayedTask &delayed : this->node.coordination().delayedTasks(at)) {
        logLine(LogLevel::Info, "task_delayed",
                {{"task", platform::taskName(delayed.task)},
                 {"reason", toText(delayed.reason)},
                 {"worker", delayed.worker.empty() ? "none" : delayed.worker},
                 {"waited_ms", std::to_string(delayed.waited.count())},
                 {"left_ms", std::to_string(delayed.left.count())},
                 {"placed_ago_ms",
                  delayed.placedAgo ? std::to_string(delayed.placedAgo->count()) : "none"}});
    }
    this->reportIdleJobs(at);
}

void EntryInstance::reportIdleJobs(Instant at)
{
    Coordinator &coordination = this->node.coordination();
    std::size_t reported = 0;
    for (const IdleJob &idle : coordination.idleJobs(at)) {
        if (++reported > idleJobsReported) {
            break;
        }
        const DelayedTask &first = idle.first;
        const bool placed = !first.worker.empty();
        logLine(LogLevel::Info, "job_idle",
                {{"job", idle.job.value()},
                 {"idle_ms", std::to_string(idle.idle.count())},
                 {"task", platform::taskName(first.task)},
                 {"reason", toText(first.reason)},
                 {"worker", placed ? first.worker : "none"},
                 {"left_ms", std::to_string(first.left.count())},
                 {"obstacle", placed ? "placed" : toText(coordination.obstacleFor(first.task, at))},
                 {"waiting", std::to_string(idle.waiting)},
                 {"placed", std::to_string(idle.placed)},
                 {"halted", std::to_string(idle.halted)}});
    }
}

void EntryInstance::serveMetrics(const Respond &respond) const
{
    HttpResponse response;
    response.contentType = "text/plain";
    const ConfigView &config = this->node.config();
    const ConfigFigures inForce{config.version(), config.age(this->now()),
                                this->node.evacuatedZones().size()};
    const JobMemoryFigures jobMemory{this->node.jobMemory(), this->settings.jobMemory};
    const Coordinator &coordination = this->node.coordination();
    if (coordination.active()) {
        const CoordinatorStatistics statistics = coordination.statistics(this->now());
        response.body = this->metrics.page(inForce, jobMemory, &statistics, suppressedLogLines(),
                                           droppedLogLines());
    } else {
        response.body = this->metrics.page(inForce, jobMemory, nullptr, suppressedLogLines(),
                                           droppedLogLines());
    }
    response.body += this->connections->metricLines();
    response.body += this->http.traffic().metricLines();
    respond(std::move(response));
}

void EntryInstance::progressNeeded(std::uint64_t epoch)
{
    logLine(LogLevel::Info, "claim_won", {{"epoch", std::to_string(epoch)}});
    this->progressWanted = true;
    this->reload(this->progressFollower);
}

void EntryInstance::ownershipGained(std::uint64_t epoch)
{
    this->metrics.count("godwitfall_ownership_changes_total", "change=\"gained\"");
    const AdoptedTasks &adopted = this->node.coordination().adoptedTasks();
    logLine(LogLevel::Info, "ownership_gained",
            {{"epoch", std::to_string(epoch)},
             {"placed_tasks", std::to_string(adopted.placed)},
             {"unconfirmed_tasks", std::to_string(adopted.unconfirmed)}});
    this->reload(this->workerFollower);
    this->jobFollower.dueAt = this->now();
}

void EntryInstance::ownershipLost(std::uint64_t epoch, const char *reason)
{
    this->metrics.count("godwitfall_ownership_changes_total", "change=\"lost\"");
    logLine(LogLevel::Warning, "ownership_lost",
            {{"epoch", std::to_string(epoch)}, {"why", reason}});
    this->progressWanted = false;
    this->reload(this->jobFollower);
}

void EntryInstance::startsPaused(bool held, StartsPause reason, Duration viewAge)
{
    this->metrics.count("godwitfall_starts_held_total", std::string("change=\"") +
                                                            (held ? "held\"" : "released\"") +
                                                            ",reason=\"" + toText(reason) + "\"");
    logLine(held ? LogLevel::Warning : LogLevel::Info, held ? "starts_held" : "starts_go_on",
            {{"reason", toText(reason)}, {"view_age_ms", std::to_string(viewAge.count())}});
}

void EntryInstance::zoneEvacuation(const ZoneId &zone, bool requested)
{
    // Only a coordinator knows the workers; a zone of which it knows none may get some later.
    logLine(
        LogLevel::Info, requested ? "zone_evacuated" : "zone_returned",
        {{"zone", zone.value()},
         {"workers", this->node.coordinates()
                         ? std::to_string(this->node.coordination().workersOf(zone))
                         : "unknown"},
         {"zones", std::to_string(this->node.evacuatedZones().size())},
         {"read_ms", std::to_string((this->now() - this->configFollower.requestedAt).count())}});
}

void EntryInstance::unplacedRunListed(const TaskRef &task, std::uint32_t run,
                                      const WorkerState &worker, std::optional<RunEnd> end)
{
    this->metrics.count("godwitfall_unplaced_runs_total");
    logLine(LogLevel::Info, "unplaced_run",
            {{"task", platform::taskName(task)},
             {"run", std::to_string(run)},
             {"worker", worker.entry.id.value()},
             {"born", std::to_string(worker.incarnationStartMs)},
             {"state", end ? toText(*end) : "running"}});
}

void EntryInstance::startUnanswered(const TaskRef &task, std::uint32_t run, const WorkerId &worker,
                                    unsigned tries)
{
    this->metrics.count("godwitfall_starts_unanswered_total");
    logLine(LogLevel::Info, "start_unanswered",
            {{"task", platform::taskName(task)},
             {"run", std::to_string(run)},
             {"worker", worker.value()},
             {"tries", std::to_string(tries)}});
}

void EntryInstance::startDropped(const TaskRef &task, std::uint32_t run, const WorkerState &worker,
                                 DropReason reason)
{
    this->metrics.count("godwitfall_starts_dropped_total",
                        std::string("reason=\"") + toText(reason) + "\"");
    logLine(LogLevel::Info, "start_dropped",
            {{"task", platform::taskName(task)},
             {"run", std::to_string(run)},
             {"worker", worker.entry.id.value()},
             {"zone", worker.entry.zone.value()},
             {"reason", toText(reason)},
             {"report_age_ms", std::to_string((this->now() - worker.lastSeenAt).count())}});
}

void EntryInstance::boundedStartSent(const BoundedStart &start, const WorkerState &worker)
{
    logLine(LogLevel::Info, "bounded_start",
            {{"task", platform::taskName(start.task)},
             {"run", std::to_string(start.run)},
             {"worker", worker.entry.id.value()},
             {"tries", std::to_string(start.tries)},
             {"most", std::to_string(start.most)},
             {"placed", std::to_string(start.placed)},
             {"orphans", std::to_string(start.orphans)},
             {"report_age_ms", std::to_string(start.sinceReport.count())},
             {"placed_ago_ms", std::to_string(start.sincePlaced.count())}});
}

void EntryInstance::runSuperseded(const TaskRef &task, std::uint32_t run, const WorkerState &worker,
                                  std::uint32_t doneRun)
{
    this->metrics.count("godwitfall_runs_superseded_total");
    logLine(LogLevel::Info, "run_superseded",
            {{"task", platform::taskName(task)},
             {"run", std::to_string(run)},
             {"worker", worker.entry.id.value()},
             {"done_run", std::to_string(doneRun)}});
}

void EntryInstance::stepBoundExceeded(const StepRef &step, std::size_t listed,
                                      const WorkerState &worker)
{
    this->metrics.count("godwitfall_step_bounds_exceeded_total");
    logLine(LogLevel::Warning, "step_bound_exceeded",
            {{"step", platform::stepName(step)},
             {"worker", worker.entry.id.value()},
             {"listed", std::to_string(listed)},
             {"placed", std::to_string(worker.countPlaced(step))}});
}

void EntryInstance::configOutdated()
{
    logLine(LogLevel::Info, "config_outdated",
            {{"version", std::to_string(this->node.config().version())},
             {"age_ms", std::to_string(this->node.config().age(this->now()).count())}});
    // A read that waits for the next record may have missed it.
    ++this->configFollower.generation;
    this->configFollower.readInFlight = false;
    this->configFollower.dueAt = this->now();
    this->wake();
}

void EntryInstance::recordsRejected(const std::vector<JobRecord> &records)
{
    this->metrics.count("godwitfall_records_rejected_total");
    std::size_t bytes = 0;
    for (const JobRecord &record : records) {
        bytes = std::max(bytes, storedBytes(record));
    }
    logLine(LogLevel::Error, "records_rejected",
            {{"first_key", records.empty() ? std::string() : records.front().key},
             {"records", std::to_string(records.size())},
             {"largest_bytes", std::to_string(bytes)}});
}

void EntryInstance::recordUnreadable(const JobRecord &record)
{
    logLine(LogLevel::Warning, "record_unreadable",
            {{"key", record.key}, {"offset", std::to_string(record.offset)}});
}

} // namespace godwitfall
