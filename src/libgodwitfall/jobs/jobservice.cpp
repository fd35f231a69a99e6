#include "jobservice.h"

#include <algorithm>

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

JobService::JobService(JobTable &table, GroupCommit &commits, const StoreLimits &limits)
    : table(table)
    , commits(commits)
    , limits(limits)
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
    this->append(std::move(record), replyDeadline(now, timeout),
                 [done](CommitResult result) { done(replyFor(result)); });
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
