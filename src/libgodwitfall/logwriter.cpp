#include "logwriter.h"

#include <algorithm>

#include "invariant.h"

namespace godwitfall {

namespace {

constexpr std::size_t maxRecordsPerBatch = 512;
constexpr std::size_t maxBytesPerBatch = 256 * 1024;
constexpr Duration firstRetry(50);
constexpr Duration longestRetry(5000);
constexpr Duration replyTimeout(10000);
/** An append that was confirmed but not read back within this time is sent again. */
constexpr Duration readBackTimeout(3000);

} // namespace

LogWriter::LogWriter(std::string writer, Duration commitEvery, Outbox &outbox, Random &random)
    : writer(std::move(writer))
    , commitEvery(commitEvery)
    , outbox(outbox)
    , backoff(firstRetry, longestRetry, random)
{}

Ticket LogWriter::submit(wire::Record record, DecisionHandler handler)
{
    std::lock_guard lock(this->mutex);
    const Ticket ticket(++this->lastTicket);
    this->queue.push_back({ticket, std::move(record), std::move(handler)});
    return ticket;
}

bool LogWriter::withdraw(Ticket ticket)
{
    std::lock_guard lock(this->mutex);
    return std::erase_if(this->queue,
                         [&](const Queued &queued) { return queued.ticket == ticket; }) > 0;
}

void LogWriter::startBatch()
{
    this->batch.Clear();
    this->batch.set_writer(this->writer);
    this->batch.set_seq(++this->lastSeq);
    std::size_t bytes = 0;
    while (!this->queue.empty() && this->inFlight.size() < maxRecordsPerBatch &&
           bytes < maxBytesPerBatch) {
        *this->batch.add_records() = this->queue.front().record;
        bytes += this->queue.front().record.ByteSizeLong();
        this->inFlight.push_back(std::move(this->queue.front()));
        this->queue.pop_front();
    }
}

void LogWriter::send(Instant now)
{
    this->awaitingReply = true;
    this->appended = false;
    this->lastSentAt = now;
    ++this->appends;
    this->recordsAppended += this->inFlight.size();
    this->outbox.append(Stream::State, this->batch.SerializeAsString());
}

void LogWriter::onTick(Instant now)
{
    std::lock_guard lock(this->mutex);
    if (this->inFlight.empty()) {
        if (this->queue.empty() || now - this->lastSentAt < this->commitEvery) {
            return;
        }
        this->startBatch();
        this->send(now);
        return;
    }
    if (this->awaitingReply && now - this->lastSentAt < replyTimeout) {
        return;
    }
    if (this->awaitingReply || (this->appended && now - this->lastSentAt >= readBackTimeout)) {
        this->awaitingReply = false;
        this->appended = false;
        this->retryAt = now + this->backoff.next();
    }
    if (!this->appended && now >= this->retryAt) {
        this->send(now);
    }
}

void LogWriter::onAppended(const Result<Offset> &answer, Instant now)
{
    std::lock_guard lock(this->mutex);
    if (!this->awaitingReply) {
        return;
    }
    this->awaitingReply = false;
    this->appended = answer.has_value();
    if (this->appended) {
        this->backoff.reset();
    } else {
        this->retryAt = now + this->backoff.next();
    }
}

std::vector<DueDecision> LogWriter::completeBatch(const std::vector<Decision> *decisions)
{
    std::vector<DueDecision> due;
    for (std::size_t index = 0; index < this->inFlight.size(); ++index) {
        DueDecision &entry = due.emplace_back();
        entry.handler = std::move(this->inFlight[index].handler);
        if (decisions != nullptr) {
            entry.decision = decisions->at(index);
        }
    }
    this->inFlight.clear();
    this->awaitingReply = false;
    this->appended = false;
    return due;
}

std::vector<DueDecision> LogWriter::onApplied(const wire::Batch &read, const Applied &applied)
{
    std::lock_guard lock(this->mutex);
    if (read.writer() != this->writer || applied.duplicate || this->inFlight.empty() ||
        read.seq() != this->lastSeq) {
        return {};
    }
    checkInvariant(applied.decisions.size() == this->inFlight.size(), "batch-read-back-whole",
                   [&] { return this->writer; });
    return this->completeBatch(&applied.decisions);
}

std::vector<DueDecision> LogWriter::onRestored(std::uint64_t ownSeq)
{
    std::lock_guard lock(this->mutex);
    if (this->inFlight.empty() || ownSeq < this->lastSeq) {
        return {};
    }
    return this->completeBatch(nullptr);
}

std::size_t LogWriter::backlog() const
{
    std::lock_guard lock(this->mutex);
    return this->queue.size() + this->inFlight.size();
}

std::pair<std::uint64_t, std::uint64_t> LogWriter::totals() const
{
    std::lock_guard lock(this->mutex);
    return {this->appends, this->recordsAppended};
}

} // namespace godwitfall
