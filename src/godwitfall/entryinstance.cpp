#include "entryinstance.h"

#include <chrono>
#include <csignal>
#include <ctime>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>

#include "logging.h"
#include "platform/names.h"

namespace godwitfall {

namespace {

/** Longest wait of one read of the store; bounds the age of the view. */
constexpr Duration readWait{1000};
/** Pause between reads of a stand-by; each read is a priced call. */
constexpr Duration standbyReadGap{60};
/** Pause between reads of the coordinator, which places work as it comes. */
constexpr Duration ownerReadGap{8};
constexpr Duration workerReadGap{150};
constexpr Duration failedReadGap{200};
/** Pause between appends of the coordinator; ends and starts of the time share one append. */
constexpr Duration commitGap{10};
/** Time between ownership records; four fit into the silence that loses ownership. */
constexpr Duration ownershipGap{500};
constexpr Duration ownerTick{20};
constexpr Duration standbyTick{60};
/** Time without contact to the store after which new clients should go elsewhere. */
constexpr Duration readinessContact{2500};
/** Time that the platform needs to send no new connections here: two misses a second apart. */
constexpr Duration drainTime{2500};
/** Time before the platform kills the process at which it ends by itself. */
constexpr Duration killMargin{700};
constexpr Duration claimTimeout{1500};
constexpr Duration trimGap{5000};
constexpr std::size_t trimBatch = 64;
constexpr std::uint64_t sequenceRange = 1U << 30U;

Instant boottime()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(std::int64_t(time.tv_sec) * 1000 + time.tv_nsec / 1000000);
}

std::string taskText(const TaskRef &ref)
{
    return ref.job.value() + "." + std::to_string(ref.occurrence) + "." + std::to_string(ref.step) +
           "." + std::to_string(ref.index);
}

} // namespace

EntryInstance::EntryInstance(boost::asio::io_context &context, platform::Settings settings,
                             std::uint64_t incarnation)
    : context(context)
    , settings(std::move(settings))
    , incarnation(incarnation)
    , random(incarnation)
    , http(context)
    , store(this->http, this->settings.storeAddress)
    , submissions(this->store, this->random)
    , records(this->store, this->random)
    , desk(this->table, this->submissions)
    , lease(this->settings.instance, incarnation, this->random)
    , orders(this->http,
             platform::OrderReplies{
                 [this](const WorkerId &worker, OrderOutcome outcome, const WorkerReport &report,
                        Instant sentAt) {
                     this->coordinator->reported(worker, sentAt, this->now(), outcome, report);
                     this->wake();
                 },
                 [this](const WorkerId &worker, const TaskRef &task, std::uint32_t run,
                        OrderOutcome outcome) {
                     this->coordinator->startAnswered(worker, task, run, this->now(), outcome);
                     this->wake();
                 },
                 [this](const WorkerId &worker, const TaskRef &task, std::uint32_t run,
                        OrderOutcome outcome) {
                     this->coordinator->stopAnswered(worker, task, run, this->now(), outcome);
                     this->wake();
                 },
                 [this](const WorkerId &worker, const TaskRef &task, std::uint32_t run,
                        std::uint32_t percent, OrderOutcome outcome) {
                     this->coordinator->paceAnswered(worker, task, run, percent, outcome);
                 },
                 [this] {
                     return this->now();
                 }})
    , coordinator(
          std::make_unique<Coordinator>(this->table, this->settings.worker, this->orders, *this))
    , entrance(
          this->desk, this->table,
          [this]() -> const JobConfig * { return this->config ? &*this->config : nullptr; },
          [this] { return this->now(); }, [this] { return this->unixMs(); },
          [](const HttpRequest &request, unsigned status, const char *reason) {
              if (status >= 400 && status != 410) {
                  logLine(LogLevel::Info, "request_refused",
                          {{"method", request.method},
                           {"target", request.target},
                           {"status", std::to_string(status)},
                           {"reason", reason}});
              }
          })
    , timer(context)
    , signals(context, SIGTERM, SIGHUP)
{
    this->jobFollower.topic = platform::names::jobTopic;
    this->configFollower.topic = platform::names::configTopic;
    this->workerFollower.topic = platform::names::workerTopic;
    this->submissions.open(this->settings.instance + "/" + std::to_string(incarnation), 1, 1);
    this->records.onStored = [this](Instant sentAt) {
        this->lease.confirm(sentAt);
    };
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
    HttpLimits limits;
    this->entranceServer = std::make_unique<HttpServer>(
        this->context, limits, [this](const HttpRequest &request, const Respond &respond) {
            this->serveClient(request, respond);
        });
    this->readinessServer = std::make_unique<HttpServer>(
        this->context, limits, [this](const HttpRequest &request, const Respond &respond) {
            this->serveReadiness(request, respond);
        });
    if (const auto listening = this->entranceServer->listen(this->settings.entranceAddress);
        !listening) {
        return listening;
    }
    if (const auto listening = this->readinessServer->listen(this->settings.readinessAddress);
        !listening) {
        return listening;
    }
    this->waitForSignals();
    this->tick();
    return {};
}

// ---- following the store

void EntryInstance::follow(Follower &follower, Instant at)
{
    if (follower.busy || at < follower.dueAt) {
        return;
    }
    follower.busy = true;
    follower.sentAt = at;
    if (follower.loaded) {
        this->readOn(follower);
    } else {
        this->load(follower, {});
    }
}

void EntryInstance::load(Follower &follower, const std::string &after)
{
    const std::uint64_t generation = follower.generation;
    this->store.newest(
        follower.topic, after,
        [this, &follower, generation, after](const Result<platform::NewestPage> &page) {
            if (generation != follower.generation) {
                return;
            }
            if (!page) {
                follower.busy = false;
                follower.dueAt = this->now() + failedReadGap;
                return;
            }
            // Reading goes on from the end at the first page; later pages may hold newer records.
            if (after.empty()) {
                follower.cursor = page->end;
            }
            for (const JobRecord &record : page->records) {
                this->applyRecord(follower, record);
            }
            if (page->more && !page->records.empty()) {
                this->load(follower, page->records.back().key);
                return;
            }
            follower.loaded = true;
            follower.busy = false;
            this->noteContact(follower);
            this->wake();
        });
}

void EntryInstance::readOn(Follower &follower)
{
    const std::uint64_t generation = follower.generation;
    this->store.read(
        follower.topic, follower.cursor, readWait,
        [this, &follower, generation](platform::StoreClient::ReadOutcome outcome,
                                      const platform::LogPage &page) {
            using Outcome = platform::StoreClient::ReadOutcome;
            if (generation != follower.generation) {
                return;
            }
            follower.busy = false;
            const Instant at = this->now();
            if (outcome == Outcome::Failed) {
                follower.dueAt = at + failedReadGap;
                return;
            }
            if (outcome == Outcome::Deleted) {
                // The newest record of each key is still held.
                follower.loaded = false;
                logLine(LogLevel::Info, "history_dropped", {{"topic", follower.topic}});
                return;
            }
            for (const JobRecord &record : page.records) {
                follower.cursor = record.offset + 1;
                this->applyRecord(follower, record);
                if (generation != follower.generation) {
                    return;
                }
            }
            const bool owner = this->coordinator->active();
            const Duration gap = &follower == &this->workerFollower ? workerReadGap
                                 : owner                            ? ownerReadGap
                                                                    : standbyReadGap;
            follower.dueAt = at + gap;
            this->noteContact(follower);
            this->wake();
        });
}

void EntryInstance::noteContact(Follower &follower)
{
    if (&follower == &this->jobFollower) {
        this->desk.setViewedAt(this->now());
    }
}

void EntryInstance::applyRecord(Follower &follower, const JobRecord &record)
{
    if (&follower == &this->jobFollower) {
        this->applyJobRecord(record);
    } else if (&follower == &this->configFollower) {
        this->applyConfigRecord(record);
    } else {
        this->applyWorkerRecord(record);
    }
}

void EntryInstance::applyJobRecord(const JobRecord &record)
{
    Job *job = nullptr;
    const Instant at = this->now();
    switch (this->table.apply(record, at, job)) {
    case JobTable::Change::Submitted:
        if (this->coordinator->active()) {
            this->coordinator->jobSubmitted(*job);
            if (job->cancelled) {
                this->coordinator->jobCancelled(*job, at);
            }
        }
        break;
    case JobTable::Change::Cancelled:
        if (this->coordinator->active()) {
            this->coordinator->jobCancelled(*job, at);
        }
        break;
    case JobTable::Change::Malformed:
        logLine(LogLevel::Warning, "record_unreadable",
                {{"key", record.key}, {"offset", std::to_string(record.offset)}});
        break;
    case JobTable::Change::Owner:
        if (this->coordinator->active() && !this->lease.owns(this->table.owner())) {
            this->stepDown("another instance claimed");
        }
        break;
    default:
        break;
    }
}

void EntryInstance::applyConfigRecord(const JobRecord &record)
{
    if (record.key != platform::names::configKey || record.value.empty()) {
        return;
    }
    const Result<JobConfig> parsed = platform::parseConfig(record.value);
    if (!parsed) {
        logLine(LogLevel::Warning, "config_unreadable", {{"why", parsed.error().text()}});
        return;
    }
    if (this->config && parsed->version <= this->config->version) {
        return;
    }
    this->config = *parsed;
    this->coordinator->setConfig(*parsed);
    logLine(LogLevel::Info, "config_applied",
            {{"version", std::to_string(parsed->version)},
             {"queues", std::to_string(parsed->queues.size())}});
}

void EntryInstance::applyWorkerRecord(const JobRecord &record)
{
    if (!this->coordinator->active()) {
        return;
    }
    if (record.value.empty()) {
        this->coordinator->removeWorker(WorkerId(record.key), this->now());
        return;
    }
    const Result<WorkerEntry> entry = platform::parseWorkerEntry(record.key, record.value);
    if (entry) {
        this->coordinator->setWorker(*entry, this->now());
    } else {
        logLine(LogLevel::Debug, "worker_entry_unusable", {{"why", entry.error().text()}});
    }
}

// ---- ownership

void EntryInstance::considerClaim(Instant at)
{
    const OwnerView &owner = this->table.owner();
    if (this->coordinator->active() || this->stopping || !this->jobFollower.loaded) {
        return;
    }
    if (this->lease.owns(owner)) {
        this->becomeOwner(at);
        return;
    }
    const bool waiting = this->claimInFlight && at < this->claimSentAt + claimTimeout;
    if (!waiting && this->lease.shouldClaim(owner, at, this->desk.viewed())) {
        this->claim(at);
    }
}

void EntryInstance::claim(Instant at)
{
    const OwnerView &owner = this->table.owner();
    this->claimInFlight = true;
    this->claimSentAt = at;
    this->claimSequence = 1 + this->random.below(sequenceRange);
    this->claimPrompt =
        owner.epoch == 0 || owner.released || owner.instance == this->settings.instance;
    jobs::Ownership message;
    message.set_epoch(owner.epoch + 1);
    message.set_instance(this->settings.instance);
    message.set_incarnation(this->incarnation);
    JobRecord record;
    record.key = JobTable::ownerKey;
    record.value = message.SerializeAsString();
    const AppendIdentity identity{"coordinator", owner.epoch + 1, this->claimSequence};
    // Whether the claim won shows when the log is read; a lost answer changes nothing.
    this->store.append({record}, identity, this->jobFollower.cursor,
                       [this](const AppendReply &reply) {
                           if (reply.outcome == AppendOutcome::EndMoved ||
                               reply.outcome == AppendOutcome::Refused) {
                               this->claimInFlight = false;
                           }
                           this->wake();
                       });
}

void EntryInstance::becomeOwner(Instant at)
{
    this->claimInFlight = false;
    this->lease.confirm(this->claimSentAt);
    const std::uint64_t epoch = this->table.owner().epoch;
    Instant formerLapse = at;
    if (epoch > 1) {
        const Duration renewed = this->claimPrompt
                                     ? Duration(0)
                                     : OwnerLease::renewWithoutStore - OwnerLease::ownerSilence;
        const WorkerBounds &bounds = this->settings.worker;
        formerLapse = at + renewed + bounds.longestLease + bounds.longestLease / 40 +
                      bounds.stopTime + WorkerState::lapseMargin;
    }
    this->table.setOwnEpoch(epoch);
    this->records.open("coordinator", epoch, this->claimSequence + 1);
    this->commitInFlight = false;
    this->coordinator->begin(epoch, at, formerLapse);
    if (this->config) {
        this->coordinator->setConfig(*this->config);
    }
    ++this->workerFollower.generation;
    this->workerFollower.busy = false;
    this->workerFollower.loaded = false;
    this->workerFollower.dueAt = at;
    this->ownershipWrittenAt = at;
    this->jobFollower.dueAt = at;
    logLine(LogLevel::Info, "ownership_gained", {{"epoch", std::to_string(epoch)}});
}

void EntryInstance::stepDown(const char *reason)
{
    logLine(LogLevel::Warning, "ownership_lost",
            {{"epoch", std::to_string(this->coordinator->currentEpoch())}, {"why", reason}});
    this->coordinator->end();
    this->records.reset();
    this->commitInFlight = false;
    this->stepDownAsked = false;
    this->reloadJobs();
}

void EntryInstance::reloadJobs()
{
    // Own progress may be ahead of the log, so the view begins anew.
    this->table.clear();
    ++this->jobFollower.generation;
    this->jobFollower.loaded = false;
    this->jobFollower.busy = false;
    this->jobFollower.dueAt = this->now();
    this->claimInFlight = false;
    this->desk.setViewedAt(Instant(-1000000));
}

JobRecord EntryInstance::ownershipRecord(bool released) const
{
    jobs::Ownership message;
    message.set_epoch(this->coordinator->currentEpoch());
    message.set_instance(this->settings.instance);
    message.set_incarnation(this->incarnation);
    message.set_released(released);
    for (jobs::ServiceLoad &load : this->coordinator->loads(this->now())) {
        *message.add_loads() = std::move(load);
    }
    JobRecord record;
    record.key = JobTable::ownerKey;
    record.value = message.SerializeAsString();
    return record;
}

void EntryInstance::commit(Instant at)
{
    if (this->commitInFlight || at < this->committedAt + commitGap) {
        return;
    }
    if (!this->stopping) {
        this->coordinator->plan(at, this->unixMs());
    }
    const bool announce = at >= this->ownershipWrittenAt + ownershipGap;
    if (!this->coordinator->wantsCommit() && !announce) {
        return;
    }
    std::vector<JobRecord> batch = this->coordinator->takeBatch();
    if (announce) {
        batch.push_back(this->ownershipRecord(false));
        this->ownershipWrittenAt = at;
    }
    this->committedAt = at;
    if (batch.empty()) {
        this->coordinator->committed(at, this->lease.mayRenew(at));
        return;
    }
    this->commitInFlight = true;
    this->records.add(std::move(batch), Instant(INT64_MAX), [this](CommitResult result) {
        this->commitInFlight = false;
        if (result != CommitResult::Durable) {
            this->stepDownAsked = true;
            return;
        }
        const Instant done = this->now();
        this->coordinator->committed(done, this->lease.mayRenew(done));
    });
}

void EntryInstance::trimFinished(Instant at)
{
    if (at < this->trimmedAt + trimGap || this->commitInFlight) {
        return;
    }
    this->trimmedAt = at;
    const std::int64_t before = this->unixMs() - this->settings.statusRetention.count() * 5 / 4;
    std::vector<JobRecord> drops;
    for (const auto &[id, job] : this->table.all()) {
        const bool over = job->published >= Job::State::COMPLETED && job->finishedMs > 0 &&
                          job->finishedMs < before && job->stepRuns().empty();
        if (over && drops.size() < trimBatch) {
            for (const std::string &key :
                 {JobTable::submissionKey(job->id()), JobTable::cancelKey(job->id()),
                  JobTable::progressKey(job->id())}) {
                JobRecord record;
                record.key = key;
                drops.push_back(std::move(record));
            }
        }
    }
    if (!drops.empty()) {
        this->records.add(std::move(drops), Instant(INT64_MAX), nullptr);
    }
}

// ---- the loop

void EntryInstance::scheduleTick()
{
    const Duration length = this->coordinator->active() ? ownerTick : standbyTick;
    this->timer.expires_after(std::chrono::milliseconds(length.count()));
    this->timer.async_wait([this](const boost::system::error_code &failure) {
        if (!failure) {
            this->tick();
        }
    });
}

void EntryInstance::tick()
{
    this->work();
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
        this->work();
    });
}

void EntryInstance::work()
{
    const Instant at = this->now();
    if (this->stepDownAsked) {
        this->stepDown("a later epoch writes");
    }
    this->follow(this->jobFollower, at);
    this->follow(this->configFollower, at);
    this->considerClaim(at);
    if (this->coordinator->active()) {
        this->follow(this->workerFollower, at);
        this->coordinator->tick(at, this->unixMs(), this->lease.mayRenew(at));
        this->commit(at);
        this->trimFinished(at);
    }
    this->submissions.pump(at);
    this->records.pump(at);
    if (this->stopping) {
        this->finishShutdownWhenIdle(at);
    }
}

// ---- serving and stopping

bool EntryInstance::ready(Instant at) const
{
    return !this->stopping && this->config && this->jobFollower.loaded &&
           at - this->desk.viewed() < readinessContact;
}

void EntryInstance::serveReadiness(const HttpRequest &, const Respond &respond)
{
    HttpResponse response;
    response.status = this->ready(this->now()) ? 200 : 503;
    respond(std::move(response));
}

void EntryInstance::serveClient(const HttpRequest &request, const Respond &respond)
{
    ++this->openRequests;
    this->entrance.handle(request, [this, respond](HttpResponse response) {
        --this->openRequests;
        if (this->stopping) {
            response.headers["Connection"] = "close";
        }
        respond(std::move(response));
    });
    this->submissions.pump(this->now());
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
                    {{"result", reloaded ? "well-formed; in force at the next start"
                                         : reloaded.error().text()}});
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
    this->stoppingSince = this->now();
    logLine(LogLevel::Info, "shutdown_begun", {});
}

void EntryInstance::finishShutdownWhenIdle(Instant at)
{
    // The ownership is released once nothing is under way, so that a successor begins at once.
    if (this->coordinator->active() && !this->commitInFlight && this->records.idle()) {
        this->records.add({this->ownershipRecord(true)}, at + claimTimeout,
                          [this](CommitResult) { this->coordinator->end(); });
        this->commitInFlight = true;
    }
    const bool drained = at >= this->stoppingSince + drainTime && this->openRequests == 0 &&
                         !this->coordinator->active();
    const bool mustEnd = at >= this->stoppingSince + this->settings.grace - killMargin;
    if (drained || mustEnd) {
        logLine(LogLevel::Info, "shutdown_done",
                {{"open_requests", std::to_string(this->openRequests)}});
        this->context.stop();
    }
}

// ---- what the coordinator tells

void EntryInstance::taskReturned(const TaskRef &task, std::uint32_t run, const WorkerId &worker,
                                 RunOutcome outcome)
{
    logLine(LogLevel::Info, "run_over",
            {{"task", taskText(task)},
             {"run", std::to_string(run)},
             {"worker", worker.value()},
             {"outcome", toText(outcome)}});
}

void EntryInstance::jobFinished(const Job &job)
{
    logLine(LogLevel::Info, "job_finished",
            {{"job", job.id().value()}, {"state", jobs::JobState_Name(job.state)}});
}

void EntryInstance::workerRests(const WorkerId &worker, Duration length)
{
    logLine(LogLevel::Info, "worker_rests",
            {{"worker", worker.value()}, {"ms", std::to_string(length.count())}});
}

void EntryInstance::workerReborn(const WorkerId &worker)
{
    logLine(LogLevel::Info, "worker_reborn", {{"worker", worker.value()}});
}

void EntryInstance::superseded(const WorkerId &worker)
{
    logLine(LogLevel::Warning, "order_fenced", {{"worker", worker.value()}});
    this->stepDownAsked = true;
}

} // namespace godwitfall
