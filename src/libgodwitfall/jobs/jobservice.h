#pragma once

#include <functional>
#include <map>
#include <string>

#include "groupcommit.h"
#include "jobtable.h"
#include "queueconfig.h"

namespace godwitfall {

/** Result of a submission or a cancel. */
enum class JobServiceResult : std::uint8_t {
    Accepted,    ///< Durable.
    Overloaded,  ///< Not accepted, never runs: the jobs that are kept leave no memory for it.
    Unavailable, ///< Not accepted, never runs: the job log can't be written now.
    TooLarge,    ///< Not accepted, never runs: the store or the memory never takes its size.
    Unknown,     ///< May have been accepted; the same id may be sent again.
    NoSuchJob,
};

struct JobServiceReply
{
    JobServiceResult answer = JobServiceResult::Unknown;
    Duration retryAfter{0}; ///< When to retry after a refusal; 0: not given.
    const char *reason = "";
};

/** Accepts, shows and cancels jobs for the job API; every instance has one. */
class JobService
{
public:
    /** Age of the view up to which a job that is not in it is taken not to exist; below the
     * platform's bound on visibility. */
    static constexpr Duration viewFreshness{2000};
    /** Time before the client's deadline at which an unresolved call is answered. */
    static constexpr Duration replyMargin{300};
    static constexpr Duration outageRetryAfter{1000};

    /** When to retry while jobs fill the memory: it becomes free as jobs end, and a retry costs
     * little. */
    static constexpr Duration memoryRetryAfter{5000};
    /** How long a submission whose outcome is unknown counts as one that may become durable; the
     * store has its outcome soon after it can be reached again. */
    static constexpr Duration unknownKept{30000};
    /** Bound on the memory of accepted jobs, in bytes, where the platform names none. */
    static constexpr std::size_t usualJobMemory = 64 << 20;

    /** The memory of the jobs that are open, retained or being accepted stays below jobMemory. */
    JobService(JobTable &table, GroupCommit &commits, const StoreLimits &limits = {},
               std::size_t jobMemory = usualJobMemory);

    using Done = std::function<void(const JobServiceReply &)>;

    /** Makes the job durable; the first submission of an id counts. */
    void submit(const JobId &id, const QueueConfig &queue, jobs::JobSpec spec, Instant now,
                std::int64_t unixMs, Duration timeout, const Done &done);

    /** Makes the cancel durable. */
    void cancel(const JobId &id, Instant now, Duration timeout, const Done &done);

    /** Returns the job, or null. */
    const Job *show(const JobId &id) { return this->table.find(id); }

    /** Returns whether a job that is not in the view does not exist. */
    bool viewIsFresh(Instant now) const { return now - this->viewedAt <= viewFreshness; }

    /** Called with each record that was made durable here, before it is read back from the log. */
    std::function<void(const JobRecord &, Instant now)> onDurable;

    /** Sets when the log was last read to its end. */
    void setViewTime(Instant at) { this->viewedAt = at; }
    Instant viewTime() const { return this->viewedAt; }

private:
    /** Appends the record; done is called with the result, after onDurable if it is durable. */
    void append(JobRecord record, Instant deadline, std::function<void(CommitResult)> done);

    /** A submission that may become durable. */
    struct Pending
    {
        std::size_t bytes = 0; ///< Estimated memory of the job.
        unsigned calls = 0;    ///< Without an outcome.
        Instant until;         ///< Once there are none; set if the outcome of one is unknown.
    };

    /** Returns whether the job would exceed the bound on memory. */
    bool exceedsMemory(const JobId &id, std::size_t bytes, Instant now);
    void addPending(const JobId &id, std::size_t bytes);
    void removePending(const JobId &id, bool unknown, Instant deadline);

    JobTable &table;
    GroupCommit &commits;
    const StoreLimits limits;
    const std::size_t jobMemory;
    std::map<JobId, Pending> pending;
    std::size_t pendingBytes = 0; ///< Of all of pending.
    Instant viewedAt{-1000000};
};

} // namespace godwitfall
