#include "jobnode.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace godwitfall {

namespace {

/** Producer name shared by all coordinators; its epoch is the ownership epoch. */
constexpr const char *coordinatorProducer = "coordinator";
/** Range from which a claim draws its first sequence number, so that two claims differ. */
constexpr std::uint64_t sequenceRange = 1U << 30U;
/** Age of the view above which new clients should use another instance. */
constexpr Duration readinessAge{2500};
/** Time in which workers reply to a successor's first holds; before, it takes no run for ended. */
constexpr Duration firstReplies{1000};
constexpr Instant longAgo(-1000000);
/** Fraction (1/n) of the time limit for a cancel that the age of the view may use up; the rest is
 * for an order in transit. */
constexpr std::int64_t viewAgeDivisor = 2;

/** Returns why a coordinator whose records have that outcome steps down. */
const char *reasonOf(CommitResult result)
{
    return result == CommitResult::Rejected ? "the store rejects its records"
                                            : "a later epoch writes";
}

} // namespace

const char *toText(StartsPause reason)
{
    return reason == StartsPause::JobsUnread ? "jobs_unread" : "zone_requests_unread";
}

JobNode::JobNode(const JobNodeSettings &settings, JobLog &log, OrderSender &orders,
                 JobNodeHost &host, Random &random)
    : settings(settings)
    , log(log)
    , host(host)
    , random(random)
    , submissions(log, LogStream::Jobs, random, settings.store)
    , progressUpdates(log, LogStream::Progress, random, settings.store)
    , announcements(log, LogStream::Jobs, random, settings.store)
    , service(this->table, this->submissions, settings.store, settings.jobMemory)
    , lease(settings.instance, settings.incarnation, settings.processors, random)
    , coordinator(this->table, settings.worker, orders, host)
    , configuration(settings.configApplyTime)
    , evacuations(settings.evacuationTime)
{
    const std::string producer = settings.instance + "/" + std::to_string(settings.incarnation);
    this->submissions.open(producer, 1, 1);
    for (GroupCommit *commits :
         {&this->submissions, &this->progressUpdates, &this->announcements}) {
        commits->onReply = [this] {
            this->host.workPending();
        };
        commits->onRejected = [this](const std::vector<JobRecord> &records) {
            this->host.recordsRejected(records);
        };
    }
    this->service.onDurable = [this](const JobRecord &record, Instant at) {
        this->applyRecord(record, at);
    };
    // Other instances follow only the jobs stream, so only appends there prove to them that the
    // owner is alive.
    this->announcements.onStored = [this](Instant sentAt) {
        this->lease.confirm(sentAt);
    };
}

void JobNode::applyRecord(const JobRecord &record, Instant now)
{
    Job *job = nullptr;
    const JobTable::Change change = this->table.apply(record, now, job);
    if (change == JobTable::Change::Malformed) {
        this->host.recordUnreadable(record);
    }
    const bool ended =
        change == JobTable::Change::Ended ||
        (change == JobTable::Change::Submitted && job->published >= Job::State::COMPLETED);
    if (ended && job->closedAt == Instant()) {
        this->host.jobEndRead(*job);
    }
    if (change == JobTable::Change::Owner) {
        this->noteConfigVersion(this->table.owner().configVersion);
    }
    if (this->ownsLog() && change == JobTable::Change::Owner &&
        !this->lease.owns(this->table.owner())) {
        this->stopCoordinating("another instance claimed");
    }
    if (!this->coordinator.active()) {
        return;
    }
    if (change == JobTable::Change::Submitted) {
        this->coordinator.jobSubmitted(*job);
    }
    const bool cancelled = change == JobTable::Change::Cancelled ||
                           (change == JobTable::Change::Submitted && job->cancelled);
    if (cancelled) {
        this->coordinator.jobCancelled(*job, now);
    }
}

void JobNode::logReadTo(std::uint64_t end, Instant now)
{
    this->viewLoaded = true;
    this->logEnd = end;
    this->service.setViewTime(now);
}

void JobNode::progressLoaded()
{
    if (this->takeover == Takeover::Loading) {
        this->takeover = Takeover::Loaded;
    }
}

bool JobNode::setConfig(const JobConfig &config)
{
    if (!this->configuration.apply(config)) {
        return false;
    }
    this->coordinator.setConfig(config);
    return true;
}

void JobNode::noteConfigVersion(std::uint64_t version)
{
    if (this->configuration.noteVersion(version)) {
        this->host.configOutdated();
    }
}

bool JobNode::ready(Instant now) const
{
    return !this->stopping && this->configuration.current() && this->viewLoaded &&
           now - this->service.viewTime() < readinessAge;
}

void JobNode::work(Instant now, std::int64_t unixMs)
{
    for (GroupCommit *commits :
         {&this->submissions, &this->progressUpdates, &this->announcements}) {
        commits->processReply(now);
    }
    if (this->coordinator.fenced()) {
        this->stepDown("a worker has seen a higher fencing token");
    } else if (this->stepDownReason) {
        this->stepDown(this->stepDownReason);
    }
    this->considerClaim(now, unixMs);
    if (this->coordinator.active()) {
        this->pauseStartsOnStaleView(now);
        this->coordinator.setRenewalEnd(this->lease.renewalEnd());
        this->coordinator.tick(now, unixMs, !this->releasing && this->lease.mayRenew(now));
    }
    if (this->ownsLog() && this->stopping) {
        this->release(now);
    } else if (this->coordinator.active()) {
        this->commit(now, unixMs);
        this->announce(now);
        this->trimFinished(now, unixMs);
    } else if (this->ownsLog()) {
        this->announce(now);
    }
    this->submissions.process(now);
    this->progressUpdates.process(now);
    this->announcements.process(now);
}

void JobNode::pauseStartsOnStaleView(Instant now)
{
    const Duration age = now - this->service.viewTime();
    const bool jobsUnread = age > this->settings.worker.cancelTime / viewAgeDivisor;
    const bool requestsUnread = this->evacuations.outdated(now);
    const bool paused = jobsUnread || requestsUnread;
    if (paused == this->coordinator.startsPaused()) {
        return;
    }
    if (paused) {
        this->pauseReason = jobsUnread ? StartsPause::JobsUnread : StartsPause::ZoneRequestsUnread;
    }
    const bool ofJobs = this->pauseReason == StartsPause::JobsUnread;
    this->coordinator.pauseStarts(paused);
    this->host.startsPaused(paused, this->pauseReason, ofJobs ? age : this->evacuations.age(now));
}

void JobNode::applyEvacuation(const ZoneId &zone, bool requested, std::uint64_t offset, Instant now)
{
    if (this->evacuations.apply(zone, requested, offset)) {
        this->coordinator.setEvacuatedZones(this->evacuations.requested(), now);
        this->host.zoneEvacuation(zone, requested);
    }
}

void JobNode::endNewestEvacuations(Instant now)
{
    const std::vector<ZoneId> withdrawn = this->evacuations.endNewest();
    if (withdrawn.empty()) {
        return;
    }
    this->coordinator.setEvacuatedZones(this->evacuations.requested(), now);
    for (const ZoneId &zone : withdrawn) {
        this->host.zoneEvacuation(zone, false);
    }
}

bool JobNode::mayStartOn(const WorkerId &worker, Instant now) const
{
    return !this->evacuations.outdated(now) && !this->coordinator.isEvacuated(worker);
}

std::string JobNode::coordinatorAddress() const
{
    const OwnerView &owner = this->table.owner();
    const bool other = !owner.released && owner.instance != this->settings.instance;
    return other ? owner.address : std::string();
}

void JobNode::considerClaim(Instant now, std::int64_t unixMs)
{
    const OwnerView &owner = this->table.owner();
    if (this->coordinator.active() || !this->viewLoaded) {
        return;
    }
    if (this->lease.owns(owner)) {
        // Also during shutdown, to release what a claim in flight has won.
        if (this->takeover == Takeover::None) {
            this->fenceProgress(now);
        } else if (this->takeover == Takeover::Loaded && !this->stopping) {
            this->becomeOwner(now, unixMs);
        }
        return;
    }
    if (this->stopping) {
        return;
    }
    const bool waiting = this->claimInFlight && now < this->claimSentAt + claimTimeout;
    if (!waiting && this->lease.shouldClaim(owner, now, this->service.viewTime())) {
        this->claim(now);
    }
}

void JobNode::claim(Instant now)
{
    const OwnerView &owner = this->table.owner();
    this->claimInFlight = true;
    this->claimSentAt = now;
    this->formerOwnerSeenAt = owner.lastSeenAt;
    this->formerSilent = owner.silent;
    this->formerReleased = owner.released;
    this->claimSequence = 1 + this->random.below(sequenceRange);
    this->formerOwnerGone =
        owner.epoch == 0 || owner.released || owner.instance == this->settings.instance;
    const JobRecord record = this->ownershipRecord(owner.epoch + 1, false, {}, now);
    const AppendIdentity identity{coordinatorProducer, owner.epoch + 1, this->claimSequence};
    // Reading the log shows whether the claim won, so a lost reply does not matter.
    this->log.append(LogStream::Jobs, {record}, identity, this->logEnd,
                     [this](const AppendReply &reply) {
                         const bool maybeStored = reply.outcome == AppendOutcome::Stored ||
                                                  reply.outcome == AppendOutcome::Unanswered;
                         this->claimInFlight = this->claimInFlight && maybeStored;
                     });
}

void JobNode::fenceProgress(Instant now)
{
    const std::uint64_t epoch = this->table.owner().epoch;
    this->claimInFlight = false;
    this->lease.confirm(this->claimSentAt);
    this->takeover = Takeover::Fencing;
    this->ownershipWrittenAt = now;
    this->commitInFlight = false;
    this->announcementInFlight = false;
    this->announcements.open(coordinatorProducer, epoch, this->claimSequence + 1);
    this->progressUpdates.open(coordinatorProducer, epoch, this->claimSequence);
    this->progressUpdates.add({this->ownershipRecord(epoch, false, {}, now)},
                              GroupCommit::noDeadline, [this, epoch](CommitResult result, Instant) {
                                  if (result != CommitResult::Durable) {
                                      this->stepDownReason = reasonOf(result);
                                      return;
                                  }
                                  this->takeover = Takeover::Loading;
                                  this->host.progressNeeded(epoch);
                              });
}

void JobNode::becomeOwner(Instant now, std::int64_t unixMs)
{
    this->takeover = Takeover::None;
    const std::uint64_t epoch = this->table.owner().epoch;
    // When the last lease that the former owner may have renewed lapses.
    Instant formerLapse = now;
    if (epoch > 1) {
        const Instant renewedUntil = this->formerOwnerGone
                                         ? this->claimSentAt
                                         : this->formerOwnerSeenAt + OwnerLease::renewWithoutStore;
        formerLapse =
            std::max(now + firstReplies, renewedUntil + this->coordinator.longestLeasedRun());
    }
    if (const JobConfig *config = this->configuration.current()) {
        this->coordinator.setConfig(*config);
    }
    if (!this->formerReleased) {
        // Time to reply again, or to be taken for crashed.
        const Instant earliest = now + Coordinator::renewalTimeout + Coordinator::tickGap;
        for (auto &[id, leasesLapse] : this->formerSilent) {
            leasesLapse = std::max(leasesLapse, earliest);
        }
    }
    this->coordinator.begin(epoch, now, unixMs, formerLapse, this->formerSilent);
    // Of another term, if this node gives this one up and resumes it.
    this->formerSilent.clear();
    // The records so far do not list the workers that were silent before.
    this->ownershipWrittenAt = longAgo;
    this->host.ownershipGained(epoch);
}

void JobNode::stopCoordinating(const char *reason)
{
    if (!this->ownsLog()) {
        return;
    }
    this->lostEpoch = this->announcements.epoch();
    this->stepDownReason = reason;
    this->coordinator.end();
    this->takeover = Takeover::None;
    this->progressUpdates.reset();
    this->announcements.reset();
    this->commitInFlight = false;
    this->announcementInFlight = false;
    this->claimInFlight = false;
}

void JobNode::stepDown(const char *reason)
{
    this->stopCoordinating(reason);
    this->stepDownReason = nullptr;
    const std::uint64_t epoch = std::exchange(this->lostEpoch, 0);
    if (epoch == 0) {
        return;
    }
    // Local progress may be ahead of the log, so the view is rebuilt from the log.
    this->table.clear();
    this->viewLoaded = false;
    this->service.setViewTime(longAgo);
    this->host.ownershipLost(epoch, reason);
}

JobRecord JobNode::ownershipRecord(std::uint64_t epoch, bool released, const SilentWorkers &silent,
                                   Instant now) const
{
    jobs::Ownership message;
    message.set_epoch(epoch);
    message.set_instance(this->settings.instance);
    message.set_incarnation(this->settings.incarnation);
    message.set_released(released);
    message.set_address(this->settings.address);
    message.set_processors(static_cast<float>(this->settings.processors));
    message.set_config_version(this->configuration.version());
    for (const auto &[worker, leasesLapse] : silent) {
        jobs::SilentWorker &entry = *message.add_silent();
        entry.set_worker(worker);
        entry.set_lapses_in_ms(
            static_cast<std::uint32_t>(std::max(Duration(0), leasesLapse - now).count()));
    }
    JobRecord record;
    record.key = JobTable::ownerKey;
    record.value = message.SerializeAsString();
    return record;
}

void JobNode::commit(Instant now, std::int64_t unixMs)
{
    if (this->commitInFlight || now < this->committedAt + commitInterval) {
        return;
    }
    this->coordinator.plan(now, unixMs);
    if (!this->coordinator.wantsCommit()) {
        return;
    }
    std::vector<JobRecord> batch = this->coordinator.takeBatch();
    this->addPressures(batch, now);
    this->committedAt = now;
    if (batch.empty()) {
        this->coordinator.committed(now, this->lease.mayRenew(now));
        return;
    }
    this->commitInFlight = true;
    this->progressUpdates.add(std::move(batch), GroupCommit::noDeadline,
                              [this](CommitResult result, Instant at) {
                                  this->commitInFlight = false;
                                  if (result != CommitResult::Durable) {
                                      this->stepDownReason = reasonOf(result);
                                      return;
                                  }
                                  this->pauseStartsOnStaleView(at);
                                  this->coordinator.committed(at, this->lease.mayRenew(at));
                              });
}

void JobNode::announce(Instant now)
{
    const bool due = now >= this->ownershipWrittenAt + ownershipInterval ||
                     this->coordinator.announcementOutdated(now);
    if (this->announcementInFlight || (!due && now < this->announcedAt + statusInterval)) {
        return;
    }
    std::vector<JobRecord> batch = this->coordinator.takeStatuses();
    if (due) {
        // A coordinator that has not begun would have to keep what it lists from leases later.
        const SilentWorkers silent =
            this->coordinator.active() ? this->coordinator.announceSilent(now) : SilentWorkers();
        batch.push_back(this->ownershipRecord(this->announcements.epoch(), false, silent, now));
        this->ownershipWrittenAt = now;
    }
    if (batch.empty()) {
        return;
    }
    this->announcedAt = now;
    this->announcementInFlight = true;
    this->announcements.add(std::move(batch), GroupCommit::noDeadline,
                            [this, due](CommitResult result, Instant) {
                                this->announcementInFlight = false;
                                if (result != CommitResult::Durable) {
                                    this->stepDownReason = reasonOf(result);
                                    return;
                                }
                                if (due) {
                                    this->coordinator.silentAnnounced();
                                }
                                this->coordinator.statusesStored();
                            });
}

void JobNode::addPressures(std::vector<JobRecord> &batch, Instant now)
{
    if (now < this->pressuresAt + pressuresInterval) {
        return;
    }
    const jobs::LearntPressures learned = this->coordinator.pressures();
    if (learned.factors().empty()) {
        return;
    }
    this->pressuresAt = now;
    JobRecord record;
    record.key = JobTable::pressuresKey;
    record.value = learned.SerializeAsString();
    // A successor that has to learn anew is better than one that has to wait for records behind it.
    if (storedBytes(record) <= this->settings.store.recordBytes) {
        batch.push_back(std::move(record));
    }
}

void JobNode::release(Instant now)
{
    // Ownership is released once nothing is in flight, so that a successor may begin at once.
    if (this->announcementInFlight || !this->progressUpdates.idle() ||
        !this->announcements.idle()) {
        return;
    }
    this->announcementInFlight = true;
    // What the record says of silent workers holds only if their leases are not prolonged any more.
    this->releasing = true;
    std::vector<JobRecord> batch = this->coordinator.takeStatuses();
    batch.push_back(this->ownershipRecord(this->announcements.epoch(), true,
                                          this->coordinator.silentWorkers(now), now));
    this->announcements.add(std::move(batch), now + claimTimeout, [this](CommitResult, Instant) {
        this->coordinator.end();
        this->takeover = Takeover::None;
    });
}

void JobNode::trimFinished(Instant now, std::int64_t unixMs)
{
    if (now < this->trimmedAt + trimInterval || this->commitInFlight) {
        return;
    }
    this->trimmedAt = now;
    const std::int64_t before = unixMs - this->settings.statusRetention.count() * 5 / 4;
    std::vector<JobRecord> removals;
    std::vector<JobRecord> progressRemovals;
    for (const auto &[id, job] : this->table.all()) {
        if (job->closed()) {
            this->table.recount(*job);
        }
        const bool over = job->published >= Job::State::COMPLETED && job->finishedMs > 0 &&
                          job->finishedMs < before && job->stepRuns().empty();
        if (!over || progressRemovals.size() >= trimBatchJobs) {
            continue;
        }
        for (const std::string &key :
             {JobTable::submissionKey(job->id()), JobTable::cancelKey(job->id()),
              JobTable::statusKey(job->id())}) {
            removals.emplace_back().key = key;
        }
        progressRemovals.emplace_back().key = JobTable::progressKey(job->id());
    }
    if (!removals.empty()) {
        // Progress is removed first: without its submission it would be kept forever.
        this->progressUpdates.add(std::move(progressRemovals), GroupCommit::noDeadline, nullptr);
        this->announcements.add(std::move(removals), GroupCommit::noDeadline, nullptr);
    }
}

} // namespace godwitfall
