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

/** Names a record handed to the writer until it is decided. */
using Ticket = NumberId<struct TicketTag>;

/**
 * Receives what the log's order made of a record.
 *
 * Nothing is passed when the record stands in the log but its decision was passed over by a
 * snapshot; the state then tells what holds.
 */
using DecisionHandler = std::function<void(const std::optional<Decision> &, Instant now)>;

/** A decision on its way to the handler that waits for it. */
struct DueDecision
{
    DecisionHandler handler;
    std::optional<Decision> decision;
};

/**
 * Appends records to the state stream, many in one append.
 *
 * One batch is under way at a time. It is repeated, under the same number, until it is read back
 * from the log: an append's answer is no proof, and a repeated batch has no effect.
 */
class LogWriter
{
public:
    LogWriter(std::string writer, Duration commitEvery, Outbox &outbox, Random &random);

    /** Queues the record; the handler is called once it was read back. */
    Ticket submit(wire::Record record, DecisionHandler handler);

    /** Takes back a record that was never sent; returns false when it may be in the log. */
    bool withdraw(Ticket ticket);

    void onTick(Instant now);

    /** Takes in the answer to an append. */
    void onAppended(const Result<Offset> &answer, Instant now);

    /** Takes in a batch read from the log and returns the decisions on its own records. */
    std::vector<DueDecision> onApplied(const wire::Batch &batch, const Applied &applied);

    /** Takes in that the state was replaced by a snapshot that has this writer at the number. */
    std::vector<DueDecision> onRestored(std::uint64_t ownSeq);

    const std::string &name() const { return this->writer; }

    /** Returns how many records are queued or under way. */
    std::size_t backlog() const;

    /** Returns appends sent and records in them. */
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
    std::vector<DueDecision> settle(const std::vector<Decision> *decisions);

    const std::string writer;
    const Duration commitEvery;
    Outbox &outbox;
    mutable std::mutex mutex;
    Backoff backoff;
    std::deque<Queued> queue;
    std::vector<Queued> underWay;
    wire::Batch batch;
    std::uint64_t lastTicket = 0;
    std::uint64_t lastSeq = 0;
    bool answerDue = false;
    bool appended = false;
    Instant sendAt;
    Instant lastSentAt;
    std::uint64_t appends = 0;
    std::uint64_t recordsAppended = 0;
};

} // namespace godwitfall
