#include "logfollower.h"

#include <algorithm>

#include <xxhash.h>

#include "rendezvous.h"

namespace godwitfall {

namespace {

constexpr std::size_t maxEntriesPerRead = 256;
constexpr Duration longPoll(500);
/** Limits the rate of reads if the log service returns empty replies without waiting. */
constexpr Duration emptyReplyPause(20);
constexpr Duration readTimeout(8000);
constexpr Duration firstRetry(100);
constexpr Duration longestRetry(3000);
constexpr Duration peerFetchInterval(300);
constexpr std::size_t maxRetainedEntries = 4096;
constexpr std::size_t maxRetainedBytes = 4 * 1024 * 1024;
constexpr std::size_t snapshotPartBytes = 256 * 1024;

void appendAll(std::vector<DueDecision> &all, std::vector<DueDecision> more)
{
    std::move(more.begin(), more.end(), std::back_inserter(all));
}

} // namespace

LogFollower::LogFollower(Guarded<ClusterState> &state, Guarded<Membership> &members,
                         LogWriter &writer, Outbox &outbox, Random &random,
                         std::uint64_t snapshotEvery)
    : state(state)
    , members(members)
    , writer(writer)
    , outbox(outbox)
    , snapshotEvery(snapshotEvery)
    , backoff(firstRetry, longestRetry, random)
{}

void LogFollower::onTick(Instant now)
{
    std::lock_guard lock(this->mutex);
    this->tickedAt = now;
    if (this->readOutstanding && now - this->readSentAt >= readTimeout) {
        this->readOutstanding = false;
        this->failing = true;
    }
    if (this->failing && now - this->peerFetchedAt >= peerFetchInterval) {
        this->fetchFromPeer(now);
    }
    if (!this->readOutstanding && now >= this->nextReadAt) {
        this->readTail(now);
    }
}

void LogFollower::readTail(Instant now)
{
    this->readOutstanding = true;
    this->readSentAt = now;
    if (this->source == Source::Snapshots) {
        this->outbox.read(Stream::Snapshots, this->snapshotCursor, maxEntriesPerRead, Duration(0));
        return;
    }
    const Offset next =
        this->state.read([](const ClusterState &table) { return table.nextOffset(); });
    this->outbox.read(Stream::State, next, maxEntriesPerRead, longPoll);
}

void LogFollower::fetchFromPeer(Instant now)
{
    const Offset next =
        this->state.read([](const ClusterState &table) { return table.nextOffset(); });
    const auto [address, message] = this->members.read([&](const Membership &table) {
        const std::optional<InstanceId> ahead = table.peerAhead(next, now);
        return std::pair(ahead ? table.address(*ahead) : std::string(), table.envelope());
    });
    if (address.empty()) {
        return;
    }
    this->peerFetchedAt = now;
    wire::PeerMessage ask = message;
    if (next == firstOffset) {
        ask.mutable_fetch_snapshot();
    } else {
        ask.mutable_fetch_log()->set_from(next.value());
    }
    this->outbox.sendPeer(address, ask);
}

std::vector<DueDecision> LogFollower::onRead(Stream stream, const Result<wire::ReadReply> &answer,
                                             Instant now)
{
    std::lock_guard lock(this->mutex);
    const bool expected = (stream == Stream::Snapshots) == (this->source == Source::Snapshots);
    if (!this->readOutstanding || !expected) {
        return {};
    }
    this->readOutstanding = false;
    if (!answer) {
        this->failing = true;
        this->nextReadAt = now + this->backoff.next();
        return {};
    }
    this->failing = false;
    this->backoff.reset();
    this->nextReadAt = now;
    return stream == Stream::Snapshots ? this->applySnapshots(*answer, now)
                                       : this->applyTail(*answer, now);
}

std::vector<DueDecision> LogFollower::applyTail(const wire::ReadReply &reply, Instant now)
{
    const Offset next =
        this->state.read([](const ClusterState &table) { return table.nextOffset(); });
    if (reply.first_retained() > next.value()) {
        this->source = Source::Snapshots;
        this->snapshotCursor = Offset();
        this->parts.clear();
        this->nextReadAt = now + emptyReplyPause;
        return {};
    }
    const bool waited = now - this->readSentAt >= emptyReplyPause;
    this->nextReadAt = reply.entries().empty() && !waited ? now + emptyReplyPause : now;
    std::vector<DueDecision> due;
    for (const wire::LogEntry &entry : reply.entries()) {
        appendAll(due, this->applyEntry(entry));
    }
    const Offset reached =
        this->state.read([](const ClusterState &table) { return table.nextOffset(); });
    if (reached.value() >= reply.end()) {
        this->contact = std::max(this->contact.value_or(this->readSentAt), this->readSentAt);
        this->caughtUp = true;
    }
    return due;
}

std::vector<DueDecision> LogFollower::applyEntry(const wire::LogEntry &entry)
{
    const Offset offset(entry.offset());
    wire::Batch batch;
    const bool readable = batch.ParseFromString(entry.payload());
    bool fresh = false;
    const Applied applied = this->state.write([&](ClusterState &table) {
        if (offset < table.nextOffset()) {
            return Applied{true, {}};
        }
        fresh = true;
        if (!readable) {
            table.skip(offset);
            return Applied{true, {}};
        }
        return table.apply(offset, batch);
    });
    if (!fresh) {
        return {};
    }
    this->retain(entry);
    this->writeSnapshotIfDue(offset);
    return this->writer.onApplied(batch, applied);
}

void LogFollower::retain(const wire::LogEntry &entry)
{
    this->retained.push_back(entry);
    this->retainedBytes += entry.payload().size();
    while (this->retained.size() > maxRetainedEntries || this->retainedBytes > maxRetainedBytes) {
        this->retainedBytes -= this->retained.front().payload().size();
        this->retained.pop_front();
    }
}

std::vector<DueDecision> LogFollower::applySnapshots(const wire::ReadReply &reply, Instant now)
{
    for (const wire::LogEntry &entry : reply.entries()) {
        this->snapshotCursor = Offset(entry.offset() + 1);
        wire::SnapshotPart part;
        if (part.ParseFromString(entry.payload()) && part.part() < part.parts()) {
            this->parts[part.next_offset()][part.part()] = part;
        }
    }
    if (reply.entries_size() > 0 && this->snapshotCursor.value() < reply.end()) {
        return {};
    }
    this->source = Source::Tail;
    this->nextReadAt = now;
    std::vector<DueDecision> due;
    for (auto found = this->parts.rbegin(); found != this->parts.rend(); ++found) {
        const auto &collected = found->second;
        if (collected.size() != collected.begin()->second.parts()) {
            continue;
        }
        std::string data;
        for (const auto &[index, part] : collected) {
            data += part.data();
        }
        wire::Snapshot snapshot;
        const bool intact = XXH64(data.data(), data.size(), 0) == collected.begin()->second.hash();
        if (intact && snapshot.ParseFromString(data)) {
            due = this->restore(snapshot);
            break;
        }
    }
    this->parts.clear();
    return due;
}

std::vector<DueDecision> LogFollower::restore(const wire::Snapshot &snapshot)
{
    std::uint64_t ownSeq = 0;
    const bool restored = this->state.write([&](ClusterState &table) {
        const bool newer = table.restore(snapshot);
        ownSeq = table.writerSeq(this->writer.name());
        return newer;
    });
    if (!restored) {
        return {};
    }
    this->retained.clear();
    this->retainedBytes = 0;
    return this->writer.onRestored(ownSeq);
}

std::vector<DueDecision> LogFollower::onPeerEntries(const wire::LogEntries &entries)
{
    std::lock_guard lock(this->mutex);
    std::vector<DueDecision> due;
    for (const wire::LogEntry &entry : entries.entries()) {
        const Offset next =
            this->state.read([](const ClusterState &table) { return table.nextOffset(); });
        if (entry.offset() > next.value()) {
            break;
        }
        appendAll(due, this->applyEntry(entry));
    }
    return due;
}

std::vector<DueDecision> LogFollower::onPeerSnapshot(const wire::Snapshot &snapshot)
{
    std::lock_guard lock(this->mutex);
    return this->restore(snapshot);
}

std::optional<wire::LogEntries> LogFollower::entriesFrom(Offset from) const
{
    std::lock_guard lock(this->mutex);
    if (this->retained.empty() || this->retained.front().offset() > from.value()) {
        return std::nullopt;
    }
    wire::LogEntries entries;
    for (const wire::LogEntry &entry : this->retained) {
        if (entry.offset() >= from.value() &&
            entries.entries_size() < static_cast<int>(maxEntriesPerRead)) {
            *entries.add_entries() = entry;
            entries.set_next_offset(entry.offset() + 1);
        }
    }
    return entries;
}

std::optional<Instant> LogFollower::lastContact() const
{
    std::lock_guard lock(this->mutex);
    return this->contact;
}

bool LogFollower::caughtUpOnce() const
{
    std::lock_guard lock(this->mutex);
    if (this->caughtUp) {
        return true;
    }
    const Offset next =
        this->state.read([](const ClusterState &table) { return table.nextOffset(); });
    const Offset highest = this->members.read(
        [&](const Membership &table) { return table.highestNextOffset(this->tickedAt); });
    return this->failing && next > firstOffset && next >= highest;
}

void LogFollower::writeSnapshotIfDue(Offset applied)
{
    const std::uint64_t next = applied.value() + 1;
    if (next % this->snapshotEvery != 0) {
        return;
    }
    const std::string rendezvousKey = "snapshot-" + std::to_string(next);
    const bool mine = this->members.read([&](const Membership &table) {
        std::vector<InstanceId> zones;
        for (const ZoneId &zone : table.aliveZones(this->tickedAt)) {
            zones.emplace_back(zone.value());
        }
        return rendezvousOwner(rendezvousKey, zones).value() == table.ownZone().value() &&
               rendezvousOwner(rendezvousKey, table.candidates(this->tickedAt)) == table.selfId();
    });
    if (!mine) {
        return;
    }
    const std::string data = this->state.read(
        [](const ClusterState &table) { return table.snapshot().SerializeAsString(); });
    const std::size_t parts =
        std::max<std::size_t>((data.size() + snapshotPartBytes - 1) / snapshotPartBytes, 1);
    for (std::size_t index = 0; index < parts; ++index) {
        wire::SnapshotPart part;
        part.set_next_offset(next);
        part.set_part(static_cast<std::uint32_t>(index));
        part.set_parts(static_cast<std::uint32_t>(parts));
        part.set_hash(XXH64(data.data(), data.size(), 0));
        part.set_data(data.substr(index * snapshotPartBytes, snapshotPartBytes));
        this->outbox.append(Stream::Snapshots, part.SerializeAsString());
    }
}

} // namespace godwitfall
