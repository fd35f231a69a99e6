#pragma once

#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "backoff.h"
#include "clock.h"
#include "clusterstate.h"
#include "decision.h"
#include "godwitfall.pb.h"
#include "outbox.h"

namespace godwitfall {

/** Identifies a submitted record until it is decided. */
using Ticket = NumberId<struct TicketTag>;

/**
 * Receives the decision on a record.
 *
 * The decision is empty if the record is in the log but a snapshot that includes it was restored
 * before the record was read; the outcome then has to be read from the state.
 */
using DecisionHandler = std::function<void(const std::optional<Decision> &, Instant now)>;

/** A decision and the handler that it must be passed to. */
struct DueDecision
{
    DecisionHandler handler;
    std::optional<Decision> decision;
};

/**
 * Appends records to the state stream, many in one append (group commit).
 *
 * One batch is in flight at a time. It is repeated under the same sequence number until it is read
 * back from the log: the reply to an append is no proof, and a repeated batch has no effect.
 */
class LogWriter
{
public:
    LogWriter(std::string writer, Duration commitEvery, Outbox &outbox, Random &random);

    /** Queues the record; its decision goes to the handler once the record was read back. */
    Ticket submit(wire::Record record, DecisionHandler handler);

    /** Removes a record that was never sent; returns false if it may be in the log. */
    bool withdraw(Ticket ticket);

    void onTick(Instant now);

    /** Handles the reply to an append. */
    void onAppended(const Result<Offset> &answer, Instant now);

    /** Handles a batch that was read and applied; returns the decisions on its own records. */
    std::vector<DueDecision> onApplied(const wire::Batch &batch, const Applied &applied);

    /** Handles a restored snapshot in which this writer's latest batch has the given number. */
    std::vector<DueDecision> onRestored(std::uint64_t ownSeq);

    const std::string &name() const { return this->writer; }

    /** Returns the number of records that are queued or in flight. */
    std::size_t backlog() const;

    /** Returns the numbers of appends sent and of records in them. */
    std::pair<std::uint64_t, std::uint64_t> totals() const;

private:
    struct Queued
    {
        Ticket ticket;
        wire::Record record;
        DecisionHandler handler;
    };

    void send(Instant now);
    void startBatch();
    std::vector<DueDecision> completeBatch(const std::vector<Decision> *decisions);

    const std::string writer;
    const Duration commitEvery;
    Outbox &outbox;
    mutable std::mutex mutex;
    Backoff backoff;
    std::deque<Queued> queue;
    std::vector<Queued> inFlight;
    wire::Batch batch;
    std::uint64_t lastTicket = 0;
    std::uint64_t lastSeq = 0;
    bool awaitingReply = false;
    bool appended = false; ///< The log confirmed the append of the batch in flight.
    Instant retryAt;       ///< Earliest time to repeat the batch in flight.
    Instant lastSentAt;
    std::uint64_t appends = 0;
    std::uint64_t recordsAppended = 0;
};

} // namespace godwitfall
