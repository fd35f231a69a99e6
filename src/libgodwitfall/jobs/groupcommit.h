#pragma once

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "backoff.h"
#include "joblog.h"
#include "random.h"

namespace godwitfall {

/** Outcome of records given to a group commit. */
enum class CommitResult : std::uint8_t {
    Durable,
    NotCommitted, ///< Not in the log, and never will be.
    Unknown,      ///< No outcome before the deadline; they may become durable.
    Fenced,       ///< A later epoch has written; they are not in the log.
    Rejected,     ///< The store does not take some of them; those are not in the log.
};

/**
 * Appends records in batches, one at a time, and resolves lost replies.
 *
 * Replies are processed by the next process(), so that what follows from them uses the time of that
 * call and not a time from before the process was suspended.
 *
 * An append whose reply is lost is repeated under the same sequence number until the store reports
 * its outcome; callers whose deadline passes first get Unknown. Records that the store rejects are
 * not repeated: what was queued together is appended one after the other, so that they hold up
 * nothing else.
 */
class GroupCommit
{
public:
    /** Maximum records of one append; keeps its time at the store short. */
    static constexpr std::size_t batchRecords = 256;
    /** Maximum bytes of one append; keeps its time at the store short. */
    static constexpr std::size_t batchBytes = 1024 * 1024;
    static constexpr Duration firstRetry{30};
    static constexpr Duration longestRetry{400};
    /** Time without a successful append after which callers are refused at once. */
    static constexpr Duration outageAfter{1000};

    /** Deadline of records that are retried without end. */
    static constexpr Instant noDeadline{INT64_MAX};

    /** Time after the last failed append at which the outage ends and the next records probe the
     * store (half open); above the time in which an append in flight fails. */
    static constexpr Duration outageProbeAfter{1500};

    using Done = std::function<void(CommitResult, Instant now)>;

    GroupCommit(JobLog &log, LogStream stream, Random &random, const StoreLimits &limits = {});

    /** Starts writing under the producer's epoch, from the given sequence number. */
    void open(const std::string &producer, std::uint64_t epoch, std::uint64_t nextSequence);

    /** Discards everything without calling back. */
    void reset();

    /** Queues the records; done is called once, from a later call into this object. Records that
     * are too many for one append are appended in this order by several. */
    void add(std::vector<JobRecord> records, Instant deadline, Done done);

    /** Processes the reply of the store, if one has arrived. */
    void processReply(Instant now);

    /** Processes the reply of the store, expires what is past its deadline, and sends the next
     * batch. */
    void process(Instant now);

    /** Returns the epoch under which it writes. */
    std::uint64_t epoch() const { return this->identity.epoch; }

    bool idle() const { return this->waiting.empty() && !this->batchOpen; }

    /** Returns whether appends have been failing for longer than outageAfter; false again while the
     * store is due for a probe. */
    bool outage(Instant now) const;

    /** Called when a reply has arrived for the next process(). */
    std::function<void()> onReply;

    /** Called with the time at which the first try of an append that may have been stored was sent.
     */
    std::function<void(Instant sentAt)> onStored;

    /** Called with records that the store has rejected. */
    std::function<void(const std::vector<JobRecord> &)> onRejected;

private:
    struct Entry
    {
        std::vector<JobRecord> records;
        Instant deadline;
        Done done;
        std::size_t bytes = 0;
    };

    void queue(std::vector<JobRecord> records, Instant deadline, Done done);
    void openBatch();
    void send(Instant now);
    void handleReply(const AppendReply &reply);
    /** Has a rejected batch appended entry by entry; gives up one that was alone. */
    void handleRejection();
    void finishBatch(CommitResult result);
    void expire(Instant now);

    JobLog &log;
    const LogStream stream;
    const std::size_t appendBytes; ///< Maximum of one append.
    Backoff backoff;
    AppendIdentity identity;
    std::deque<Entry> waiting;
    std::vector<Entry> batch;
    std::size_t sendAlone =
        0;                  ///< Entries that are appended one by one, as one of them is rejected.
    bool batchOpen = false; ///< A batch has no outcome yet.
    bool inFlight = false;  ///< An append of the batch awaits its reply.
    bool uncertain = false; ///< Some append of the batch may have been stored.
    Instant retryAt;
    Instant failingSince;
    Instant failedAt; ///< When an append last failed.
    bool failing = false;
    std::uint64_t generation = 0; ///< Counts resets; a reply to an earlier one is ignored.
    std::optional<AppendReply> pendingReply; ///< Not processed yet.
    Instant sentAt;                          ///< When the first try that may be stored was sent.
    Instant now;
};

} // namespace godwitfall
