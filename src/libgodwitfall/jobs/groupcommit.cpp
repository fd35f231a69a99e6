#include "groupcommit.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace godwitfall {

namespace {

/** Bytes of a record's length and of its key's length. */
constexpr std::size_t framingBytes = 5;

} // namespace

std::size_t storedBytes(const JobRecord &record)
{
    return framingBytes + record.key.size() + record.value.size();
}

GroupCommit::GroupCommit(JobLog &log, LogStream stream, Random &random, const StoreLimits &limits)
    : log(log)
    , stream(stream)
    , appendBytes(std::min(batchBytes, limits.callBytes))
    , backoff(firstRetry, longestRetry, random)
{}

void GroupCommit::open(const std::string &producer, std::uint64_t epoch, std::uint64_t nextSequence)
{
    this->reset();
    this->identity = AppendIdentity{producer, epoch, nextSequence};
}

void GroupCommit::reset()
{
    ++this->generation;
    this->waiting.clear();
    this->batch.clear();
    this->sendAlone = 0;
    this->batchOpen = false;
    this->inFlight = false;
    this->pendingReply.reset();
    this->uncertain = false;
    this->failing = false;
    this->retryAt = Instant();
    this->backoff.reset();
}

void GroupCommit::add(std::vector<JobRecord> records, Instant deadline, Done done)
{
    std::vector<JobRecord> next;
    std::size_t bytes = 0;
    // Of records that take several appends, the outcome is that of the first that fails, or that of
    // the last.
    const auto failed = std::make_shared<std::optional<CommitResult>>();
    for (JobRecord &record : records) {
        const std::size_t size = storedBytes(record);
        if (!next.empty() && bytes + size > this->appendBytes) {
            this->queue(std::move(next), deadline, [failed](CommitResult result, Instant) {
                if (result != CommitResult::Durable && !*failed) {
                    *failed = result;
                }
            });
            next.clear();
            bytes = 0;
        }
        bytes += size;
        next.push_back(std::move(record));
    }
    this->queue(std::move(next), deadline,
                done ? [failed, done = std::move(done)](CommitResult result,
                                                        Instant at) { done(failed->value_or(result), at); }
                     : Done());
}

void GroupCommit::queue(std::vector<JobRecord> records, Instant deadline, Done done)
{
    Entry entry{std::move(records), deadline, std::move(done), 0};
    for (const JobRecord &record : entry.records) {
        entry.bytes += storedBytes(record);
    }
    this->waiting.push_back(std::move(entry));
}

bool GroupCommit::outage(Instant at) const
{
    // Half open once no append has failed for a while: the next records probe the store.
    return this->failing && at - this->failingSince > outageAfter &&
           at - this->failedAt < outageProbeAfter;
}

void GroupCommit::processReply(Instant at)
{
    this->now = std::max(this->now, at);
    if (const auto reply = std::exchange(this->pendingReply, std::nullopt)) {
        this->handleReply(*reply);
    }
}

void GroupCommit::process(Instant at)
{
    this->processReply(at);
    this->expire(at);
    if (this->inFlight || at < this->retryAt) {
        return;
    }
    if (!this->batchOpen) {
        this->openBatch();
    }
    if (this->batchOpen) {
        this->send(at);
    }
}

void GroupCommit::openBatch()
{
    const bool alone = this->sendAlone > 0;
    this->sendAlone -= alone ? 1 : 0;
    std::size_t records = 0;
    std::size_t bytes = 0;
    while (!this->waiting.empty() && records < batchRecords && (!alone || records == 0)) {
        const Entry &next = this->waiting.front();
        if (records > 0 && bytes + next.bytes > this->appendBytes) {
            break;
        }
        records += next.records.size();
        bytes += next.bytes;
        this->batch.push_back(std::move(this->waiting.front()));
        this->waiting.pop_front();
    }
    this->batchOpen = !this->batch.empty();
    this->uncertain = false;
}

void GroupCommit::send(Instant at)
{
    std::vector<JobRecord> records;
    for (const Entry &entry : this->batch) {
        records.insert(records.end(), entry.records.begin(), entry.records.end());
    }
    this->inFlight = true;
    if (!this->uncertain) {
        this->sentAt = at;
    }
    this->log.append(this->stream, records, this->identity, std::nullopt,
                     [this, sent = this->generation](const AppendReply &reply) {
                         if (sent != this->generation) {
                             return;
                         }
                         this->pendingReply = reply;
                         if (this->onReply) {
                             this->onReply();
                         }
                     });
}

void GroupCommit::handleReply(const AppendReply &reply)
{
    this->inFlight = false;
    const bool stored = reply.outcome == AppendOutcome::Stored ||
                        (reply.outcome == AppendOutcome::OutOfOrder && this->uncertain &&
                         reply.expectedSequence == this->identity.sequence + 1);
    if (stored) {
        ++this->identity.sequence;
        this->failing = false;
        this->backoff.reset();
        if (this->onStored) {
            this->onStored(this->sentAt);
        }
        this->finishBatch(CommitResult::Durable);
        return;
    }
    if (reply.outcome == AppendOutcome::Fenced) {
        this->finishBatch(CommitResult::Fenced);
        return;
    }
    if (reply.outcome == AppendOutcome::Rejected) {
        this->handleRejection();
        return;
    }
    if (reply.outcome == AppendOutcome::OutOfOrder) {
        this->identity.sequence = reply.expectedSequence;
    }
    this->uncertain = this->uncertain || reply.outcome == AppendOutcome::Unanswered;
    if (!this->failing) {
        this->failing = true;
        this->failingSince = this->sentAt;
    }
    this->failedAt = this->now;
    this->retryAt = this->now + firstRetry + this->backoff.next();
}

void GroupCommit::handleRejection()
{
    this->failing = false;
    this->backoff.reset();
    if (this->batch.size() > 1) {
        this->sendAlone = this->batch.size();
        std::move(this->batch.rbegin(), this->batch.rend(), std::front_inserter(this->waiting));
        this->batch.clear();
        this->batchOpen = false;
        return;
    }
    if (this->onRejected) {
        this->onRejected(this->batch.front().records);
    }
    this->finishBatch(CommitResult::Rejected);
}

void GroupCommit::finishBatch(CommitResult result)
{
    std::vector<Entry> finished = std::move(this->batch);
    this->batch.clear();
    this->batchOpen = false;
    for (Entry &entry : finished) {
        if (entry.done) {
            entry.done(result, this->now);
        }
    }
}

void GroupCommit::expire(Instant at)
{
    // Records that were never sent are certainly not in the log.
    std::vector<Done> notCommitted;
    const bool batchNotStored = this->batchOpen && !this->inFlight && !this->uncertain;
    // In an outage callers are refused before their deadline.
    const bool inOutage = this->outage(at);
    const auto expired = [&](const Entry &entry) {
        const bool bounded = entry.deadline < noDeadline;
        return entry.done && (at >= entry.deadline || (inOutage && bounded));
    };
    const auto drop = [&](Entry &entry) {
        if (!expired(entry)) {
            return false;
        }
        notCommitted.push_back(std::move(entry.done));
        return true;
    };
    std::erase_if(this->waiting, drop);
    if (batchNotStored) {
        std::erase_if(this->batch, drop);
        this->batchOpen = !this->batch.empty();
    }
    std::vector<Done> unknown;
    for (Entry &entry : this->batch) {
        if (expired(entry)) {
            unknown.push_back(std::exchange(entry.done, nullptr));
        }
    }
    for (const Done &done : notCommitted) {
        done(CommitResult::NotCommitted, at);
    }
    for (const Done &done : unknown) {
        done(CommitResult::Unknown, at);
    }
}

} // namespace godwitfall
