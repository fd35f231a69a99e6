#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "outbox.h"
#include "worker.h"
#include "workerchooser.h"

namespace godwitfall {

/** Durations that govern the ownership of workers and the leases of tasks. */
struct LeaseTimes
{
    Duration ownerLease;
    Duration renewEvery;
    Duration taskLease;
    Duration contactAllowance;      ///< Age of log contact up to which yielding tasks are renewed.
    Duration fenceAfter;            ///< Time without a reply after which a worker is fenced.
    std::int64_t driftPerMille = 0; ///< Greatest difference in rate between two clocks.
    /** Ejection of a worker on which all tasks fail; doubles with each ejection in a row. */
    Duration firstEjection{10000};
    Duration longestEjection{600000};

    /** Returns the wait after which the given length has passed on every clock within the drift. */
    Duration stretched(Duration length) const
    {
        return length + length * this->driftPerMille / 1000 + Duration(1);
    }
};

/** Capacity of a worker that is reserved for one call or attempt under the given epoch. */
struct Reservation
{
    WorkerId worker;
    Epoch epoch;
    Incarnation incarnation;
    std::string address;
    Instant leaseUntil;
    std::uint64_t workerTime = 0; ///< Lower bound of the worker's clock, in ms.
};

/**
 * The workers of the own zone, and the committed capacity of those that this instance owns.
 *
 * Only the owner commits capacity, under an epoch that the worker granted and checks; a slot is
 * free again only when the worker reports it. A new owner starts from the inventory in the worker's
 * grant.
 */
class WorkerTable
{
public:
    WorkerTable(ZoneId zone, LeaseTimes times, std::unique_ptr<WorkerChooser> chooser);

    /** Applies the instance list that was requested at the given time. */
    void applyList(const wire::InstanceList &list, Instant askedAt, Instant now);

    /**
     * Treats the workers as leaving until the given time, because a peer's list has them leaving.
     *
     * A peer's report only adds to the own list and never overrides it, as its age is unknown.
     */
    void markLeaving(const std::vector<WorkerId> &leaving, Instant until);

    /** Adds a worker that has claims but is in no list, so that its claims can be ended. */
    void addUnlisted(const WorkerId &id, Instant now);

    /** Returns whether a list of workers has arrived since the start. */
    bool listed() const { return this->listArrived; }

    /** Returns the workers that this instance's own list has leaving or no longer has. */
    std::vector<WorkerId> listedLeaving() const;

    /** Defers new work until a list requested from now on arrives, or until the timeout. */
    void awaitFreshList(Instant now, Duration timeout);

    Worker *find(const WorkerId &id);
    const Worker *find(const WorkerId &id) const;
    std::map<WorkerId, Worker> &all() { return this->workers; }
    const std::map<WorkerId, Worker> &all() const { return this->workers; }
    const LeaseTimes &leaseTimes() const { return this->times; }

    /** Returns whether this instance owns the worker under a lease that has not lapsed. */
    bool leaseHolds(const Worker &worker, Instant now) const;

    /** Returns whether new work may be sent to the worker. */
    bool takesWork(const Worker &worker, Instant now) const;

    /** Reserves a slot on a worker that offers the service; returns nothing if none is free. */
    std::optional<Reservation> reserveCall(const CallId &call, const std::string &service,
                                           Instant now);

    /** Frees the call's slot after the worker reported that the call ended or will never run. */
    void releaseCall(const WorkerId &worker, Epoch epoch, const CallId &call);

    /** Keeps the call's slot only until an inventory omits a call that can't begin any more. */
    void adoptCall(const WorkerId &worker, Epoch epoch, const CallId &call,
                   std::uint64_t expiresAt);

    /** Adds a call's latency to the worker's moving average. */
    void observeLatency(const WorkerId &worker, Duration latency, Instant now);

    /** Reserves capacity on the fitting worker with the most free cores, or returns nothing. */
    std::optional<Reservation> reserveAttempt(const wire::TaskRecord &task, Instant now);

    /** Frees the capacity of an attempt that the worker does not run and never will. */
    void releaseAttempt(const WorkerId &worker, Epoch epoch, const std::string &task,
                        std::uint32_t attempt);

    /** Makes this instance the owner; the grant's inventory replaces all commitments. */
    void becomeOwner(Worker &worker, const wire::WorkerReply &reply, Instant sentAt, Instant now);

    /** Discards ownership and all commitments. */
    static void loseOwnership(Worker &worker);

    /**
     * Applies the clock and sequence number of a reply; returns false if the reply is older than
     * one already applied, or from another incarnation than the one that granted the lease.
     */
    bool applyReply(Worker &worker, const wire::WorkerReply &reply, Instant now);

    /** Updates calls and attempts from the inventory in a reply to a renewal. */
    void applyInventory(Worker &worker, const wire::Inventory &inventory);

    /** Returns the number of free slots on the workers that take new work. */
    std::uint32_t freeSlots(Instant now) const;

    /** Returns the number of slots, free or not, on the workers that take new work. */
    std::uint32_t ownedSlots(Instant now) const;

    /** Returns why the size exceeds the capacity of every listed worker, or nothing. */
    std::optional<std::string> neverFits(const Resources &size) const;

    /** Counts a task that ended on the worker; ejects the worker if all its tasks fail. */
    static void observeEnd(Worker &worker, const std::string &task, bool failed,
                           const LeaseTimes &times, Instant now);

    /** Returns the time without a reply after which a worker gets no new work. */
    Duration responseTimeout() const { return this->times.renewEvery * 3; }

private:
    void checkCapacity(const Worker &worker) const;
    Reservation reservationOn(const Worker &worker, Instant now) const;

    ZoneId zone;
    LeaseTimes times;
    std::unique_ptr<WorkerChooser> chooser;
    std::map<WorkerId, Worker> workers;
    std::vector<Resources> distinctCapacities;
    bool listArrived = false;
    Instant listFreshFrom;
    Instant listAwaitedUntil;
};

} // namespace godwitfall
