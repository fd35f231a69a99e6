#pragma once

#include <map>
#include <set>
#include <string>

#include "clock.h"
#include "godwitfall.pb.h"
#include "ids.h"
#include "resources.h"

namespace godwitfall {

/** How far the start of an attempt has got, as its worker's owner knows it. */
enum class AttemptPhase {
    Reserved, ///< Room is kept; the claim is not decided.
    Starting, ///< The claim stands in the log; the worker has not yet confirmed the start.
    Running,  ///< The worker said that it runs.
    Ended,    ///< The worker said that it is over; the record of that is under way.
};

/** An attempt that takes room on a worker. */
struct AttemptOnWorker
{
    std::uint32_t attempt = 0;
    Resources size;
    AttemptPhase phase = AttemptPhase::Reserved;
    wire::AttemptEnd end = wire::DONE;
    std::string checkpoint;
    std::uint64_t startExpiresAt =
        0; ///< On the worker's clock: no start sent is accepted from then on.
    std::uint32_t throttlePercent = 100;
    Instant lastOrderAt;
    bool ordered = false;
    bool endRecorded = false;
};

/** A call that takes a slot on a worker. */
struct CallOnWorker
{
    bool adopted = false; ///< Taken over from an earlier owner; leaves when a reply omits it.
};

/** A worker of the own zone and the lease under which this instance owns it. */
struct Worker
{
    WorkerId id;
    std::string address;
    std::string rack;
    Resources capacity;
    std::set<std::string> services;

    bool listedLeaving = false; ///< The instance list says that it leaves, or no longer has it.
    bool saidLeaving = false;   ///< The worker itself says so.
    bool drained = false;       ///< An operator drained it.
    Instant peerLeavingUntil;   ///< Until then a peer's list counts, which says that it leaves.
    bool handingOver = false;   ///< Another instance is to own it.

    bool owned = false;
    Instant ownedAt; ///< When the grant that made this instance the owner had come.
    Epoch epoch;
    Instant leaseUntil;
    Incarnation incarnation;
    std::uint64_t replySequence = 0;
    std::uint64_t workerTime = 0; ///< The worker's clock in its latest reply, in ms.
    Instant workerTimeAt;         ///< When that reply had come.
    Instant lastReplyAt;
    Instant silentSince;
    bool orderOutstanding = false; ///< An acquisition or renewal has not been answered yet.
    Instant lastLeaseOrderAt;

    std::map<std::string, AttemptOnWorker> attempts;
    std::map<CallId, CallOnWorker> calls;

    double latencyMs = 0.0; ///< Peak-sensitive moving average of answered calls.
    Instant latencyAt;
    std::set<std::string> failedTasks; ///< Distinct tasks that failed here since the last success.
    Instant ejectedUntil;
    std::uint32_t ejections = 0;
    wire::Usage usage;

    /** Returns all that is committed here, whether or not the worker has begun it. */
    Resources committed() const;

    /** Returns what may still be committed. */
    Resources free() const { return this->capacity - this->committed(); }

    bool leaving(Instant now) const
    {
        return this->listedLeaving || this->saidLeaving || this->drained ||
               now < this->peerLeavingUntil;
    }
};

} // namespace godwitfall
