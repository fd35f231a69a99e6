#pragma once

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "backoff.h"
#include "joblog.h"
#include "random.h"

namespace godwitfall {

/** What became of records handed to a group commit. */
enum class CommitResult : std::uint8_t {
    Durable,
    NotDone, ///< They are not in the log and never will be.
    Unknown, ///< The outcome was not learnt in time; they may become durable.
    Fenced,  ///< A later epoch writes; they are not in the log.
};

/**
 * Appends records in batches, one at a time, and resolves lost answers.
 *
 * Answers are taken in by the next pump(), so that what follows from them is decided at its time
 * and not at that of a pump before a pause of the process.
 *
 * An append whose answer is lost is repeated under the same sequence number until the store says
 * what became of it; its callers are told Unknown when their deadline passes first.
 */
class GroupCommit
{
public:
    /** Most records of one append; keeps an append's time at the store short. */
    static constexpr std::size_t batchRecords = 256;
    /** Most bytes of one append, below the store's bound of one call. */
    static constexpr std::size_t batchBytes = 1024 * 1024;
    static constexpr Duration firstRetry{30};
    static constexpr Duration longestRetry{400};
    /** Time without any success after which callers are refused at once. */
    static constexpr Duration outageAfter{1000};

    /** Deadline of records that are never given up. */
    static constexpr Instant unbounded{INT64_MAX};

    /** Time after the last failed append from which an outage counts as untried; above the time in
     * which an append under way fails. */
    static constexpr Duration tryAgainAfter{1500};

    using Done = std::function<void(CommitResult, Instant now)>;

    GroupCommit(JobLog &log, LogStream stream, Random &random);

    /** Begins to write as the producer's epoch, with the next sequence number. */
    void open(const std::string &producer, std::uint64_t epoch, std::uint64_t nextSequence);

    /** Drops everything without calling back. */
    void reset();

    /** Queues the records; done is called once, from a later call into this object. */
    void add(std::vector<JobRecord> records, Instant deadline, Done done);

    /** Takes in what the store has answered. */
    void takeAnswer(Instant now);

    /** Takes in what the store has answered, sends what waits, gives up what is past its deadline.
     */
    void pump(Instant now);

    /** Returns the epoch that it writes as. */
    std::uint64_t epoch() const { return this->identity.epoch; }

    bool idle() const { return this->waiting.empty() && !this->busy; }

    /** Returns whether the store has not taken an append for a while although one was tried. */
    bool outage(Instant now) const;

    /** Called when an answer waits for the next pump. */
    std::function<void()> onAnswer;

    /** Called with the time at which a stored append was sent. */
    std::function<void(Instant sentAt)> onStored;

private:
    struct Entry
    {
        std::vector<JobRecord> records;
        Instant deadline;
        Done done;
    };

    void send(Instant now);
    void answered(const AppendReply &reply);
    void finishBatch(CommitResult result);
    void expire(Instant now);

    JobLog &log;
    const LogStream stream;
    Backoff backoff;
    AppendIdentity identity;
    std::deque<Entry> waiting;
    std::vector<Entry> batch;
    bool busy = false;      ///< A batch is not resolved yet.
    bool inFlight = false;  ///< An append of the batch awaits its answer.
    bool uncertain = false; ///< Some append of the batch may have been stored.
    Instant retryAt;
    Instant failingSince;
    Instant failedAt; ///< When an append last failed.
    bool failing = false;
    std::uint64_t generation = 0;
    std::optional<AppendReply> answer; ///< Not taken in yet.
    Instant sentAt;                    ///< When the append was sent that is under way or answered.
    Instant now;
};

} // namespace godwitfall
