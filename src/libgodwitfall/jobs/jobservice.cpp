#include "jobservice.h"

#include <algorithm>
#include <iterator>

namespace godwitfall {

namespace {

JobServiceReply replyFor(CommitResult result)
{
    switch (result) {
    case CommitResult::Durable:
        return {JobServiceResult::Accepted, Duration(0), "durable"};
    case CommitResult::NotCommitted:
    case CommitResult::Fenced:
    case CommitResult::Rejected:
        return {JobServiceResult::Unavailable, JobService::outageRetryAfter, "log_unavailable"};
    case CommitResult::Unknown:
        break;
    }
    return {JobServiceResult::Unknown, Duration(0), "log_silent"};
}

Instant replyDeadline(Instant now, Duration timeout)
{
    return now + std::max(Duration(0), timeout - JobService::replyMargin);
}

} // namespace

JobService::JobService(JobTable &table, GroupCommit &commits, const StoreLimits &limits,
                       std::size_t jobMemory)
    : table(table)
    , commits(commits)
    , limits(limits)
    , jobMemory(jobMemory)
{}

void JobService::submit(const JobId &id, const QueueConfig &queue, jobs::JobSpec spec, Instant now,
                        std::int64_t unixMs, Duration timeout, const Done &done)
{
    if (this->table.find(id)) {
        done({JobServiceResult::Accepted, Duration(0), "known"});
        return;
    }
    if (this->commits.outage(now) || !this->viewIsFresh(now)) {
        done({JobServiceResult::Unavailable, outageRetryAfter, "log_unavailable"});
        return;
    }
    const std::size_t bytes = Job::estimateBytes(spec);
    if (bytes > this->jobMemory) {
        done({JobServiceResult::TooLarge, Duration(0), "job_memory"});
        return;
    }
    if (this->exceedsMemory(id, bytes, now)) {
        done({JobServiceResult::Overloaded, memoryRetryAfter, "job_memory"});
        return;
    }
    spec.set_queue(queue.name);
    spec.set_service(queue.service.value());
    spec.set_priority(queue.priority);
    spec.set_max_attempts(queue.maxAttempts);
    spec.set_stretch(queue.stretch);
    spec.set_target_latency_ms(static_cast<std::uint32_t>(queue.targetLatency.count()));
    spec.set_accepted_ms(unixMs);
    JobRecord record;
    record.key = JobTable::submissionKey(id);
    record.value = spec.SerializeAsString();
    if (storedBytes(record) > this->limits.recordBytes) {
        done({JobServiceResult::TooLarge, Duration(0), "too_large"});
        return;
    }
    const Instant deadline = replyDeadline(now, timeout);
    this->addPending(id, bytes);
    this->append(std::move(record), deadline, [this, id, deadline, done](CommitResult result) {
        this->removePending(id, result == CommitResult::Unknown, deadline);
        done(replyFor(result));
    });
}

bool JobService::exceedsMemory(const JobId &id, std::size_t bytes, Instant now)
{
    // A refusal of an id that may become durable would not be true.
    const auto same = this->pending.find(id);
    if (same != this->pending.end() && (same->second.calls > 0 || now < same->second.until)) {
        return false;
    }
    if (this->table.estimatedBytes() + this->pendingBytes + bytes <= this->jobMemory) {
        return false;
    }
    // Only submissions of unknown outcome stay after their calls.
    for (auto entry = this->pending.begin(); entry != this->pending.end();) {
        const bool over = entry->second.calls == 0 &&
                          (now >= entry->second.until || this->table.find(entry->first));
        this->pendingBytes -= over ? entry->second.bytes : 0;
        entry = over ? this->pending.erase(entry) : std::next(entry);
    }
    return this->table.estimatedBytes() + this->pendingBytes + bytes > this->jobMemory;
}

void JobService::addPending(const JobId &id, std::size_t bytes)
{
    Pending &entry = this->pending[id];
    ++entry.calls;
    this->pendingBytes += bytes > entry.bytes ? bytes - entry.bytes : 0;
    entry.bytes = std::max(entry.bytes, bytes);
}

void JobService::removePending(const JobId &id, bool unknown, Instant deadline)
{
    const auto entry = this->pending.find(id);
    --entry->second.calls;
    if (unknown) {
        entry->second.until = deadline + unknownKept;
    }
    if (entry->second.calls == 0 && entry->second.until == Instant()) {
        this->pendingBytes -= entry->second.bytes;
        this->pending.erase(entry);
    }
}

void JobService::append(JobRecord record, Instant deadline, std::function<void(CommitResult)> done)
{
    std::vector<JobRecord> records = {record};
    this->commits.add(std::move(records), deadline,
                      [this, record = std::move(record),
                       done = std::move(done)](CommitResult result, Instant now) {
                          if (result == CommitResult::Durable && this->onDurable) {
                              this->onDurable(record, now);
                          }
                          done(result);
                      });
}

void JobService::cancel(const JobId &id, Instant now, Duration timeout, const Done &done)
{
    const Job *job = this->table.find(id);
    if (job && (job->cancelled || job->published >= Job::State::COMPLETED)) {
        done({JobServiceResult::Accepted, Duration(0), "settled"});
        return;
    }
    if (this->commits.outage(now) || !this->viewIsFresh(now)) {
        done({JobServiceResult::Unavailable, outageRetryAfter, "log_unavailable"});
        return;
    }
    JobRecord record;
    record.key = JobTable::cancelKey(id);
    record.value = "1";
    this->append(
        std::move(record), replyDeadline(now, timeout), [this, id, done](CommitResult result) {
            const bool unknown = result == CommitResult::Durable && !this->table.find(id);
            done(unknown ? JobServiceReply{JobServiceResult::NoSuchJob, Duration(0), "no_such_job"}
                         : replyFor(result));
        });
}

} // namespace godwitfall
