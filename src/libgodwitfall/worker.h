#pragma once

#include <map>
#include <set>
#include <string>

#include "clock.h"
#include "godwitfall.pb.h"
#include "ids.h"
#include "resources.h"

namespace godwitfall {

/** The phase of an attempt, as known to the owner of its worker. */
enum class AttemptPhase {
    Reserved, ///< Capacity is reserved; the claim is not decided.
    Starting, ///< The claim was accepted; the worker has not confirmed the start.
    Running,  ///< The worker reported that it runs.
    Ended,    ///< The worker reported its end; the record of the end is in flight.
};

/** An attempt that occupies capacity of a worker. */
struct AttemptOnWorker
{
    std::uint32_t attempt = 0;
    Resources size;
    AttemptPhase phase = AttemptPhase::Reserved;
    wire::AttemptEnd end = wire::DONE;
    std::string checkpoint;
    std::uint64_t startExpiresAt =
        0; ///< On the worker's clock, in ms; it accepts no start sent so far from then on.
    std::uint32_t throttlePercent = 100;
    Instant lastOrderAt;
    bool ordered = false;     ///< An order was sent at lastOrderAt and has not been refused.
    bool endRecorded = false; ///< The record of the end was submitted to the log.
};

/** A call that occupies a slot of a worker. */
struct CallOnWorker
{
    bool adopted = false; ///< Nobody here awaits its end; removed once an inventory omits it.
    std::uint64_t expiresAt = 0; ///< On the worker's clock, in ms; it does not begin from then on.
};

/** A worker of the own zone and the lease under which this instance owns it. */
struct Worker
{
    WorkerId id;
    std::string address;
    std::string rack;
    Resources capacity;
    std::set<std::string> services;

    bool listedLeaving = false;   ///< The instance list has it leaving or no longer has it.
    bool reportedLeaving = false; ///< The worker itself reported that it leaves.
    bool drained = false;         ///< Drained by an operator.
    Instant peerLeavingUntil;     ///< A peer's list has it leaving; counts until then.
    bool transferring = false;    ///< Ownership is being transferred to another instance.
    Instant transferringSince;

    bool owned = false;
    Instant ownedAt; ///< When the grant arrived that made this instance the owner.
    Epoch epoch;
    Instant leaseUntil;
    Incarnation incarnation;
    std::uint64_t replySequence = 0;
    std::uint64_t workerTime = 0; ///< The worker's clock in its latest reply, in ms.
    Instant workerTimeAt;         ///< When that reply arrived.
    Instant lastReplyAt;
    Instant lastSeenAt;            ///< First listing, or arrival of the latest reply of any kind.
    bool orderOutstanding = false; ///< An acquisition or renewal awaits its reply.
    Instant lastLeaseOrderAt;

    std::map<std::string, AttemptOnWorker> attempts;
    std::map<CallId, CallOnWorker> calls;

    double latencyMs = 0.0; ///< Peak-sensitive moving average over completed calls.
    Instant latencyAt;
    std::set<std::string> failedTasks; ///< Distinct tasks that failed since the last success.
    Instant ejectedUntil;              ///< Gets no new work until then.
    std::uint32_t ejections = 0;       ///< Ejections since the last success.
    wire::Usage usage;

    /** Returns the resources of all calls and attempts that have not ended, started or not. */
    Resources committed() const;

    /** Returns the capacity that is not committed. */
    Resources free() const { return this->capacity - this->committed(); }

    bool leaving(Instant now) const
    {
        return this->listedLeaving || this->reportedLeaving || this->drained ||
               now < this->peerLeavingUntil;
    }
};

} // namespace godwitfall
