#pragma once

#include <map>
#include <mutex>
#include <string>

#include "clusterstate.h"
#include "guarded.h"
#include "logfollower.h"
#include "logwriter.h"
#include "membership.h"
#include "outbox.h"
#include "workertable.h"

namespace godwitfall {

/**
 * Acquires, renews and transfers the leases under which this instance owns workers, and has the
 * task leases of unresponsive workers declared lapsed.
 *
 * Rendezvous hashing over the live instances of the zone yields the preferred owner of a worker;
 * the actual owner is the one that holds the worker's grant.
 */
class WorkerLeaseManager
{
public:
    WorkerLeaseManager(Guarded<ClusterState> &state, Guarded<Membership> &members,
                       Guarded<WorkerTable> &workers, LogWriter &writer,
                       const LogFollower &follower, Outbox &outbox, const LeaseTimes &times);

    void onTick(Instant now);

    /** Handles the reply to a lease order. */
    void onReply(const SentOrder &order, const Result<wire::WorkerReply> &answer, Instant now);

    /** Starts to transfer all workers to other instances, because this one is about to stop. */
    void startDraining();

    /** Returns the number of workers that this instance owns. */
    std::size_t ownedCount() const;

private:
    /** A worker's fence and when this instance first saw it in the state. */
    struct FenceWatch
    {
        Offset fence;
        Instant seenAt;
        bool lapseSent = false;
    };

    /** Adds the workers that are no longer listed but have claims, which have to lapse. */
    void addWorkersWithClaims(WorkerTable &table, Instant now);
    void tickOwned(Worker &worker, const InstanceId &preferred, Instant now);
    void tickUnowned(Worker &worker, const InstanceId &preferred, Instant now);
    void considerTransfer(Worker &worker, const InstanceId &preferred, Instant now);
    /** Fences an unresponsive worker, unfences a responsive one, or has its task leases lapse. */
    void tickFence(const Worker &worker, bool selfPreferred, Instant now);
    void sendAcquire(Worker &worker, Instant now);
    void sendRenewal(Worker &worker, Instant now);
    void sendRelease(Worker &worker, Instant now);
    void send(const Worker &worker, wire::WorkerOrder order, Instant notAfter, Instant now);
    void submit(wire::Record record);

    Guarded<ClusterState> &state;
    Guarded<Membership> &members;
    Guarded<WorkerTable> &workers;
    LogWriter &writer;
    const LogFollower &follower;
    Outbox &outbox;
    const LeaseTimes times;
    std::mutex mutex;
    bool draining = false;
    std::map<WorkerId, Instant> notPreferredSince; ///< For owned workers that others should own.
    std::map<WorkerId, FenceWatch> fences;
    std::map<WorkerId, Offset> unfenceSent;
    std::map<WorkerId, Instant> fenceSentAt;
};

} // namespace godwitfall
