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

/** The times that govern ownership of workers and leases of tasks. */
struct LeaseTimes
{
    Duration ownerLease;
    Duration renewEvery;
    Duration taskLease;
    Duration contactAllowance; ///< Age of log contact up to which yielding tasks are renewed.
    Duration fenceAfter;
    std::int64_t driftPerMille = 0;
    /** A worker that fails everything gets no work for this long, doubled at each return. */
    Duration firstEjection{10000};
    Duration longestEjection{600000};

    /** Returns the length as the slower of two clocks would measure it at worst. */
    Duration stretched(Duration length) const
    {
        return length + length * this->driftPerMille / 1000 + Duration(1);
    }
};

/** Room on a worker for one call or attempt, kept under the given epoch. */
struct Reservation
{
    WorkerId worker;
    Epoch epoch;
    Incarnation incarnation;
    std::string address;
    Instant leaseUntil;
    std::uint64_t workerTime = 0; ///< The worker's clock, in ms, is at least this by now.
};

/**
 * The workers of the own zone and all that is committed on those that this instance owns.
 *
 * Only the owner commits capacity, under an epoch that the worker granted and checks; a slot is
 * free again only when the worker says so. A new owner begins from the inventory of the worker's
 * grant.
 */
class WorkerTable
{
public:
    WorkerTable(ZoneId zone, LeaseTimes times, std::unique_ptr<WorkerChooser> chooser);

    /** Takes in the list that was asked for at the given time. */
    void applyList(const wire::InstanceList &list, Instant askedAt, Instant now);

    /**
     * Holds the workers as leaving until the given time, because a peer's list has them so.
     *
     * A peer's word only ever adds to what the own list says: how old it is can't be known.
     */
    void holdLeaving(const std::vector<WorkerId> &leaving, Instant until);

    /** Returns the workers that this instance's own list has as leaving. */
    std::vector<WorkerId> listedLeaving() const;

    /** Keeps new work waiting, for at most the given time, until a list asked for from now on. */
    void awaitFreshList(Instant now, Duration patience);

    Worker *find(const WorkerId &id);
    const Worker *find(const WorkerId &id) const;
    std::map<WorkerId, Worker> &all() { return this->workers; }
    const std::map<WorkerId, Worker> &all() const { return this->workers; }
    const LeaseTimes &leaseTimes() const { return this->times; }

    /** Returns whether the lease of an owned worker still holds. */
    bool leaseHolds(const Worker &worker, Instant now) const;

    /** Returns whether new work may be sent to the worker. */
    bool takesWork(const Worker &worker, Instant now) const;

    /** Keeps a slot for the call on a worker that serves the service, or returns nothing. */
    std::optional<Reservation> reserveCall(const CallId &call, const std::string &service,
                                           Instant now);

    /** Frees the call's slot; the worker has said that the call is over or will never run. */
    void releaseCall(const WorkerId &worker, Epoch epoch, const CallId &call);

    /** Takes a call's latency into the worker's average. */
    void observeLatency(const WorkerId &worker, Duration latency, Instant now);

    /** Keeps room for the attempt on the best worker that has it, or returns nothing. */
    std::optional<Reservation> reserveAttempt(const wire::TaskRecord &task, Instant now);

    /** Drops an attempt that the worker does not run and never will. */
    void releaseAttempt(const WorkerId &worker, Epoch epoch, const std::string &task,
                        std::uint32_t attempt);

    /** Makes this instance the owner and takes the inventory of the grant as all that is committed.
     */
    void becomeOwner(Worker &worker, const wire::WorkerReply &reply, Instant sentAt, Instant now);

    /** Forgets ownership and all commitments. */
    static void loseOwnership(Worker &worker);

    /**
     * Takes in a reply of the worker; returns false when it is older than one seen before, or of
     * another incarnation than the one that granted the lease.
     */
    bool applyReply(Worker &worker, const wire::WorkerReply &reply, Instant now);

    /** Brings calls and attempts in line with the inventory of a renewal. */
    void applyInventory(Worker &worker, const wire::Inventory &inventory);

    /** Returns the slots free on the workers that take work. */
    std::uint32_t freeSlots(Instant now) const;

    /** Returns the slots of all owned workers that take work. */
    std::uint32_t ownedSlots(Instant now) const;

    /** Returns why no worker of any zone could ever hold the size, or nothing. */
    std::optional<std::string> neverFits(const Resources &size) const;

    /** Notes that a task ended here, to tell workers that fail everything. */
    static void observeEnd(Worker &worker, const std::string &task, bool failed,
                           const LeaseTimes &times, Instant now);

    /** Returns how long a worker may be silent before it gets no new work. */
    Duration suspectAfter() const { return this->times.renewEvery * 3; }

private:
    void checkCapacity(const Worker &worker) const;
    Reservation reservationOn(const Worker &worker, Instant now) const;

    ZoneId zone;
    LeaseTimes times;
    std::unique_ptr<WorkerChooser> chooser;
    std::map<WorkerId, Worker> workers;
    std::vector<Resources> distinctCapacities;
    Instant listFreshFrom;
    Instant listAwaitedUntil;
};

} // namespace godwitfall
