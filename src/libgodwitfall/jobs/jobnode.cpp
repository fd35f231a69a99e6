#include "jobnode.h"

#include <utility>
#include <vector>

namespace godwitfall {

namespace {

/** Producer of all appends of coordinators; its epoch is the ownership's. */
constexpr const char *coordinatorProducer = "coordinator";
/** Range from which a claim draws its first sequence number, so that two claims differ. */
constexpr std::uint64_t sequenceRange = 1U << 30U;
/** Age of the view above which new clients should go elsewhere. */
constexpr Duration readinessAge{2500};
/** Share by which a lease may outlast its length, as a divisor; above the bound on drift. */
constexpr std::int64_t driftDivisor = 40;
constexpr Instant longAgo(-1000000);

} // namespace

JobNode::JobNode(const JobNodeSettings &settings, JobLog &log, OrderSender &orders,
                 JobNodeHost &host, Random &random)
    : settings(settings)
    , log(log)
    , host(host)
    , random(random)
    , submissions(log, random)
    , records(log, random)
    , desk(this->table, this->submissions)
    , lease(settings.instance, settings.incarnation, settings.processors, random)
    , coordinator(this->table, settings.worker, orders, host)
{
    const std::string producer = settings.instance + "/" + std::to_string(settings.incarnation);
    this->submissions.open(producer, 1, 1);
    this->records.onStored = [this](Instant sentAt) {
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
    if (change == JobTable::Change::Owner && !this->lease.owns(this->table.owner())) {
        this->stopCoordinating("another instance claimed");
    }
}

void JobNode::viewRead(std::uint64_t end, Instant now)
{
    this->loaded = true;
    this->logEnd = end;
    this->desk.setViewedAt(now);
}

void JobNode::setConfig(const JobConfig &config)
{
    this->current = config;
    this->coordinator.setConfig(config);
}

bool JobNode::ready(Instant now) const
{
    return !this->stopping && this->current && this->loaded &&
           now - this->desk.viewed() < readinessAge;
}

void JobNode::work(Instant now, std::int64_t unixMs)
{
    if (this->coordinator.fenced()) {
        this->stepDown("a worker has seen a higher fencing token");
    } else if (this->stepDownReason) {
        this->stepDown(this->stepDownReason);
    }
    this->considerClaim(now, unixMs);
    if (this->coordinator.active()) {
        this->coordinator.tick(now, unixMs, this->lease.mayRenew(now));
        if (this->stopping) {
            this->release(now);
        } else {
            this->commit(now, unixMs);
            this->trimFinished(now, unixMs);
        }
    }
    this->submissions.pump(now);
    this->records.pump(now);
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
    if (this->coordinator.active() || this->stopping || !this->loaded) {
        return;
    }
    if (this->lease.owns(owner)) {
        this->becomeOwner(now, unixMs);
        return;
    }
    const bool waiting = this->claimInFlight && now < this->claimSentAt + claimTimeout;
    if (!waiting && this->lease.shouldClaim(owner, now, this->desk.viewed())) {
        this->claim(now);
    }
}

void JobNode::claim(Instant now)
{
    const OwnerView &owner = this->table.owner();
    this->claimInFlight = true;
    this->claimSentAt = now;
    this->claimSequence = 1 + this->random.below(sequenceRange);
    this->claimPrompt =
        owner.epoch == 0 || owner.released || owner.instance == this->settings.instance;
    const JobRecord record = this->ownershipRecord(owner.epoch + 1, false);
    const AppendIdentity identity{coordinatorProducer, owner.epoch + 1, this->claimSequence};
    // Whether the claim won shows when the log is read; a lost answer changes nothing.
    this->log.append({record}, identity, this->logEnd, [this](const AppendReply &reply) {
        const bool done =
            reply.outcome == AppendOutcome::Stored || reply.outcome == AppendOutcome::Unanswered;
        this->claimInFlight = this->claimInFlight && done;
    });
}

void JobNode::becomeOwner(Instant now, std::int64_t unixMs)
{
    this->claimInFlight = false;
    this->lease.confirm(this->claimSentAt);
    const std::uint64_t epoch = this->table.owner().epoch;
    Instant formerLapse = now;
    if (epoch > 1) {
        const Duration renewed = this->claimPrompt
                                     ? Duration(0)
                                     : OwnerLease::renewWithoutStore - OwnerLease::ownerSilence;
        const WorkerBounds &bounds = this->settings.worker;
        formerLapse = now + renewed + bounds.longestLease + bounds.longestLease / driftDivisor +
                      bounds.stopTime + WorkerState::lapseMargin;
    }
    this->table.setOwnEpoch(epoch);
    this->records.open(coordinatorProducer, epoch, this->claimSequence + 1);
    this->commitInFlight = false;
    this->ownershipWrittenAt = now;
    if (this->current) {
        this->coordinator.setConfig(*this->current);
    }
    this->coordinator.begin(epoch, now, unixMs, formerLapse);
    this->host.ownershipGained(epoch);
}

void JobNode::stopCoordinating(const char *reason)
{
    if (!this->coordinator.active()) {
        return;
    }
    this->lostEpoch = this->coordinator.currentEpoch();
    this->stepDownReason = reason;
    this->coordinator.end();
    this->table.setOwnEpoch(0);
    this->records.reset();
    this->commitInFlight = false;
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
    // Own progress may be ahead of the log, so the view begins anew.
    this->table.clear();
    this->loaded = false;
    this->desk.setViewedAt(longAgo);
    this->host.ownershipLost(epoch, reason);
}

JobRecord JobNode::ownershipRecord(std::uint64_t epoch, bool released) const
{
    jobs::Ownership message;
    message.set_epoch(epoch);
    message.set_instance(this->settings.instance);
    message.set_incarnation(this->settings.incarnation);
    message.set_released(released);
    message.set_address(this->settings.address);
    message.set_processors(static_cast<float>(this->settings.processors));
    JobRecord record;
    record.key = JobTable::ownerKey;
    record.value = message.SerializeAsString();
    return record;
}

void JobNode::commit(Instant now, std::int64_t unixMs)
{
    if (this->commitInFlight || now < this->committedAt + commitGap) {
        return;
    }
    this->coordinator.plan(now, unixMs);
    const bool announce = now >= this->ownershipWrittenAt + ownershipGap;
    if (!this->coordinator.wantsCommit() && !announce) {
        return;
    }
    std::vector<JobRecord> batch = this->coordinator.takeBatch();
    if (announce) {
        batch.push_back(this->ownershipRecord(this->coordinator.currentEpoch(), false));
        this->ownershipWrittenAt = now;
        this->addPressures(batch, now);
    }
    this->committedAt = now;
    if (batch.empty()) {
        this->coordinator.committed(now, this->lease.mayRenew(now));
        return;
    }
    this->commitInFlight = true;
    this->records.add(std::move(batch), GroupCommit::unbounded,
                      [this](CommitResult result, Instant at) {
                          this->commitInFlight = false;
                          if (result != CommitResult::Durable) {
                              this->stepDownReason = "a later epoch writes";
                              return;
                          }
                          this->coordinator.committed(at, this->lease.mayRenew(at));
                      });
}

void JobNode::addPressures(std::vector<JobRecord> &batch, Instant now)
{
    if (now < this->pressuresAt + pressuresGap) {
        return;
    }
    const jobs::LearntPressures learnt = this->coordinator.pressures();
    if (learnt.factors().empty()) {
        return;
    }
    this->pressuresAt = now;
    JobRecord record;
    record.key = JobTable::pressuresKey;
    record.value = learnt.SerializeAsString();
    batch.push_back(std::move(record));
}

void JobNode::release(Instant now)
{
    // Ownership goes once nothing is under way, so that a successor may begin at once.
    if (this->commitInFlight || !this->records.idle()) {
        return;
    }
    this->commitInFlight = true;
    this->records.add({this->ownershipRecord(this->coordinator.currentEpoch(), true)},
                      now + claimTimeout,
                      [this](CommitResult, Instant) { this->coordinator.end(); });
}

void JobNode::trimFinished(Instant now, std::int64_t unixMs)
{
    if (now < this->trimmedAt + trimGap || this->commitInFlight) {
        return;
    }
    this->trimmedAt = now;
    const std::int64_t before = unixMs - this->settings.statusRetention.count() * 5 / 4;
    std::vector<JobRecord> drops;
    std::size_t count = 0;
    for (const auto &[id, job] : this->table.all()) {
        const bool over = job->published >= Job::State::COMPLETED && job->finishedMs > 0 &&
                          job->finishedMs < before && job->stepRuns().empty();
        if (!over || count >= trimBatch) {
            continue;
        }
        ++count;
        for (const std::string &key :
             {JobTable::submissionKey(job->id()), JobTable::cancelKey(job->id()),
              JobTable::progressKey(job->id())}) {
            JobRecord record;
            record.key = key;
            drops.push_back(std::move(record));
        }
    }
    if (!drops.empty()) {
        this->records.add(std::move(drops), GroupCommit::unbounded, nullptr);
    }
}

} // namespace godwitfall
