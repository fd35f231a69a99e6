#pragma once

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

#include "backoff.h"
#include "clusterstate.h"
#include "guarded.h"
#include "logwriter.h"
#include "membership.h"
#include "outbox.h"

namespace godwitfall {

/**
 * Reads the state stream and applies it; from a peer when the log can't be reached.
 *
 * When the log no longer has the next entry, or at the start, it begins from the newest complete
 * snapshot. It keeps the latest entries to pass them on, and writes snapshots when it is its turn.
 */
class LogFollower
{
public:
    LogFollower(Guarded<ClusterState> &state, Guarded<Membership> &members, LogWriter &writer,
                Outbox &outbox, Random &random, std::uint64_t snapshotEvery);

    void onTick(Instant now);

    /** Takes in the answer to a read; returns the decisions on this instance's own records. */
    std::vector<DueDecision> onRead(Stream stream, const Result<wire::ReadReply> &answer,
                                    Instant now);

    /** Takes in entries or a snapshot that a peer passed on. */
    std::vector<DueDecision> onPeerEntries(const wire::LogEntries &entries);
    std::vector<DueDecision> onPeerSnapshot(const wire::Snapshot &snapshot);

    /** Returns the kept entries from the offset on, or nothing when they are not all kept. */
    std::optional<wire::LogEntries> entriesFrom(Offset from) const;

    /**
     * Returns a time at which the applied state was no older than the log's end, or nothing.
     *
     * It is the moment before the read was sent that found nothing beyond what is applied.
     */
    std::optional<Instant> lastContact() const;

    /** Returns whether the state once reached all that could be learnt of, so that it may serve. */
    bool caughtUpOnce() const;

private:
    enum class Source {
        Tail,      ///< Reads the state stream from the next offset on.
        Snapshots, ///< Looks for the newest complete snapshot.
    };

    void readTail(Instant now);
    std::vector<DueDecision> applyTail(const wire::ReadReply &reply, Instant now);
    std::vector<DueDecision> applyEntry(const wire::LogEntry &entry);
    std::vector<DueDecision> applySnapshots(const wire::ReadReply &reply, Instant now);
    std::vector<DueDecision> restore(const wire::Snapshot &snapshot);
    void keep(const wire::LogEntry &entry);
    void askPeer(Instant now);
    void writeSnapshotIfDue(Offset applied);

    Guarded<ClusterState> &state;
    Guarded<Membership> &members;
    LogWriter &writer;
    Outbox &outbox;
    const std::uint64_t snapshotEvery;
    mutable std::mutex mutex;
    Backoff backoff;
    Source source = Source::Snapshots;
    Offset snapshotCursor;
    std::map<std::uint64_t, std::map<std::uint32_t, wire::SnapshotPart>> parts;
    bool readOutstanding = false;
    Instant readSentAt;
    Instant readAt;
    Instant askedPeerAt;
    bool failing = false;
    std::optional<Instant> contact;
    bool caughtUp = false;
    Instant tickedAt;
    std::deque<wire::LogEntry> recent;
    std::size_t recentBytes = 0;
};

} // namespace godwitfall
