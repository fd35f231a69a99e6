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
 * Reads the state stream and applies it; reads from a peer while the log is unreachable.
 *
 * At the start, and when the log no longer retains the next entry, it restores the newest complete
 * snapshot. It retains the latest entries to serve peers, and writes a snapshot whenever rendezvous
 * hashing selects this instance for it.
 */
class LogFollower
{
public:
    LogFollower(Guarded<ClusterState> &state, Guarded<Membership> &members, LogWriter &writer,
                Outbox &outbox, Random &random, std::uint64_t snapshotEvery);

    void onTick(Instant now);

    /** Handles the reply to a read; returns the decisions on this instance's own records. */
    std::vector<DueDecision> onRead(Stream stream, const Result<wire::ReadReply> &answer,
                                    Instant now);

    /** Applies entries that a peer sent; returns the decisions on the own records. */
    std::vector<DueDecision> onPeerEntries(const wire::LogEntries &entries);
    /** Restores a snapshot that a peer sent; returns the decisions on the own records. */
    std::vector<DueDecision> onPeerSnapshot(const wire::Snapshot &snapshot);

    /** Returns retained entries from the offset on, or nothing if that offset is not retained. */
    std::optional<wire::LogEntries> entriesFrom(Offset from) const;

    /**
     * Returns the latest time at which the applied state is known to have been current, or nothing.
     *
     * It is the time at which the latest read was sent whose reply had all entries to the log's
     * end.
     */
    std::optional<Instant> lastContact() const;

    /** Returns whether the state has once caught up with the log, or with all peers in an outage.
     */
    bool caughtUpOnce() const;

private:
    enum class Source {
        Tail,      ///< Reads the state stream from the next offset on.
        Snapshots, ///< Reads the snapshot stream for the newest complete snapshot.
    };

    void readTail(Instant now);
    std::vector<DueDecision> applyTail(const wire::ReadReply &reply, Instant now);
    std::vector<DueDecision> applyEntry(const wire::LogEntry &entry);
    std::vector<DueDecision> applySnapshots(const wire::ReadReply &reply, Instant now);
    std::vector<DueDecision> restore(const wire::Snapshot &snapshot);
    void retain(const wire::LogEntry &entry);
    void fetchFromPeer(Instant now);
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
    Instant nextReadAt;
    Instant peerFetchedAt;
    bool failing = false;           ///< The latest read failed or timed out.
    std::optional<Instant> contact; ///< See lastContact().
    bool caughtUp = false;
    Instant tickedAt;
    std::deque<wire::LogEntry> retained;
    std::size_t retainedBytes = 0;
};

} // namespace godwitfall
