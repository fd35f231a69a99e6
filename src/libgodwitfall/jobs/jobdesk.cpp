#include "jobdesk.h"

#include <algorithm>

namespace godwitfall {

namespace {

DeskReply replyFor(CommitResult result)
{
    switch (result) {
    case CommitResult::Durable:
        return {DeskAnswer::Accepted, Duration(0), "durable"};
    case CommitResult::NotDone:
    case CommitResult::Fenced:
        return {DeskAnswer::Unavailable, JobDesk::outageRetryAfter, "log_unavailable"};
    case CommitResult::Unknown:
        break;
    }
    return {DeskAnswer::Unknown, Duration(0), "log_silent"};
}

Instant answerBy(Instant now, Duration patience)
{
    return now + std::max(Duration(0), patience - JobDesk::answerMargin);
}

} // namespace

JobDesk::JobDesk(JobTable &table, GroupCommit &commits)
    : table(table)
    , commits(commits)
{}

void JobDesk::submit(const JobId &id, const QueueConfig &queue, jobs::JobSpec spec, Instant now,
                     std::int64_t unixMs, Duration patience, const Done &done)
{
    if (this->table.find(id)) {
        done({DeskAnswer::Accepted, Duration(0), "known"});
        return;
    }
    if (this->commits.outage(now) || !this->viewIsFresh(now)) {
        done({DeskAnswer::Unavailable, outageRetryAfter, "log_unavailable"});
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
    this->append(std::move(record), answerBy(now, patience),
                 [done](CommitResult result) { done(replyFor(result)); });
}

void JobDesk::append(JobRecord record, Instant deadline, std::function<void(CommitResult)> done)
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

void JobDesk::cancel(const JobId &id, Instant now, Duration patience, const Done &done)
{
    const Job *job = this->table.find(id);
    if (job && (job->cancelled || job->published >= Job::State::COMPLETED)) {
        done({DeskAnswer::Accepted, Duration(0), "settled"});
        return;
    }
    if (this->commits.outage(now) || !this->viewIsFresh(now)) {
        done({DeskAnswer::Unavailable, outageRetryAfter, "log_unavailable"});
        return;
    }
    JobRecord record;
    record.key = JobTable::cancelKey(id);
    record.value = "1";
    this->append(std::move(record), answerBy(now, patience), [this, id, done](CommitResult result) {
        const bool unknown = result == CommitResult::Durable && !this->table.find(id);
        done(unknown ? DeskReply{DeskAnswer::NoSuchJob, Duration(0), "no_such_job"}
                     : replyFor(result));
    });
}

} // namespace godwitfall
