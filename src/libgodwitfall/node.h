#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "clusterstate.h"
#include "command/commanddesk.h"
#include "command/queries.h"
#include "guarded.h"
#include "logfollower.h"
#include "logwriter.h"
#include "membership.h"
#include "outbox.h"
#include "random.h"
#include "requestrouter.h"
#include "taskscheduler.h"
#include "workerleasemanager.h"
#include "workertable.h"

namespace godwitfall {

/** Settings that an instance is started with. */
struct NodeSettings
{
    InstanceId instance;
    ZoneId zone;
    Incarnation incarnation;
    LeaseTimes times;
    Duration peerTimeout{3500};
    Duration commitEvery{20};
    Duration listEvery{2000};
    std::uint64_t snapshotEvery = 2000;
    RequestLimits limits;
    std::string chooser = "peak-ewma";
    CommandDesk::WallClock wallClock = [] {
        return std::uint64_t(0);
    };
};

/** Statistics that an instance reports about itself. */
struct NodeStatistics
{
    RequestTotals requests;
    std::uint64_t appends = 0;
    std::uint64_t recordsAppended = 0;
    std::uint64_t nextOffset = 0;
    std::size_t ownedWorkers = 0;
    std::size_t pendingTasks = 0;
    std::size_t inFlight = 0;
    std::size_t openCalls = 0;
    std::size_t logBacklog = 0;
    std::int64_t contactAgeMs = -1; ///< Age of the last log contact; -1 when there was none.
};

/**
 * All decisions of one instance, without sockets, threads or a clock of its own.
 *
 * Every call passes in an external event and the current time; the resulting actions go to the
 * outbox. All methods are thread-safe.
 */
class Node
{
public:
    /** Creates the node; the chooser in the settings must be one of workerChooserNames(). */
    Node(const NodeSettings &settings, Outbox &outbox, Random &random);

    void onTick(Instant now);
    void onPeer(const wire::PeerMessage &message, Instant now);
    void onWorkerReply(const SentOrder &order, const Result<wire::WorkerReply> &answer,
                       Instant now);
    void onAppended(Stream stream, const Result<Offset> &answer, Instant now);
    void onRead(Stream stream, const Result<wire::ReadReply> &answer, Instant now);
    void onList(Instant askedAt, const Result<wire::InstanceList> &list, Instant now);
    void onRequest(const wire::CallerRequest &request, CallerToken caller, Instant now);
    void onCommand(const wire::CommandRequest &command, const std::string &author,
                   CallerToken caller, Instant now);

    /** Starts a graceful stop: accepts nothing new and completes what is in flight. */
    void startDraining(Instant now);

    /** Returns whether a graceful stop has completed. */
    bool drained() const;

    /** Returns whether this instance accepts requests of callers. */
    bool ready() const;

    NodeStatistics statistics(Instant now) const;

    /** Returns the replicated state, for queries and tests. */
    const Guarded<ClusterState> &clusterState() const { return this->state; }
    /** Returns the workers of the own zone, for queries and tests. */
    const Guarded<WorkerTable> &workerTable() const { return this->workers; }

private:
    void detectPause(Instant now);
    void sendHeartbeats(Instant now);
    wire::PeerMessage envelope() const;
    void sendTo(const std::string &instance, const wire::PeerMessage &message);
    void onHeartbeat(const wire::PeerMessage &message, Instant now);
    void onFetchLog(const wire::PeerMessage &message);
    void onFetchSnapshot(const wire::PeerMessage &message);
    static void deliver(const std::vector<DueDecision> &decisions, Instant now);

    const NodeSettings settings;
    Outbox &outbox;
    Guarded<ClusterState> state;
    Guarded<Membership> members;
    Guarded<WorkerTable> workers;
    LogWriter writer;
    LogFollower follower;
    WorkerLeaseManager leaseManager;
    TaskScheduler scheduler;
    RequestRouter router;
    Queries queries;
    CommandDesk commandService;
    std::atomic<bool> draining = false;
    std::mutex tickMutex;
    Instant tickedAt;
    Instant heartbeatAt;
    Instant listAt;
    Instant schedulerAt;
    std::uint64_t heartbeatRound = 0;
};

} // namespace godwitfall
