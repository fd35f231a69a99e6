#pragma once

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "clusterstate.h"
#include "guarded.h"
#include "logfollower.h"
#include "logwriter.h"
#include "membership.h"
#include "outbox.h"
#include "workertable.h"

namespace godwitfall {

/**
 * Claims pending tasks for the workers that this instance owns, starts them once the claim was read
 * back from the log, and reconciles the attempts on the workers with the state in the log.
 */
class TaskScheduler
{
public:
    TaskScheduler(Guarded<ClusterState> &state, Guarded<Membership> &members,
                  Guarded<WorkerTable> &workers, LogWriter &writer, const LogFollower &follower,
                  Outbox &outbox, const LeaseTimes &times);

    void onTick(Instant now);

    /** Processes the reply to an order about a task. */
    void onReply(const SentOrder &order, const Result<wire::WorkerReply> &answer, Instant now);

    /** Stops claiming tasks, because this instance is about to stop. */
    void startDraining();

    /** Returns why this instance does not start the pending task, as text for operators. */
    std::string whyWaiting(const wire::TaskRecord &task, Instant now) const;

private:
    using Attempt = std::pair<std::string, std::uint32_t>;

    /** State of an attempt on a worker according to the log. */
    struct LogView
    {
        bool current = false; ///< The task is claimed by exactly this attempt.
        bool cancelled = false;
        bool mustMove = false;
        bool fenced = false;
        std::uint32_t throttlePercent = 100;
        wire::TaskRecord task; ///< Set only for an attempt that has not been started yet.
    };

    LogView viewOf(const Worker &worker, const std::string &name,
                   const AttemptOnWorker &attempt) const;
    /** Reconciles the worker; stateIsCurrent: the log was read after this instance acquired it. */
    void reconcile(Worker &worker, bool stateIsCurrent, Instant now);
    void reconcileAttempt(Worker &worker, const std::string &name, AttemptOnWorker &attempt,
                          bool stateIsCurrent, std::vector<wire::TaskKey> &acknowledged,
                          Instant now);
    /** Ends claims of earlier epochs for attempts that the worker doesn't have. */
    void reconcileClaims(const Worker &worker);
    void recordEnd(Worker &worker, const std::string &name, AttemptOnWorker &attempt, Instant now);
    void sendStart(Worker &worker, const LogView &view, AttemptOnWorker &attempt, Instant now);
    void sendStop(Worker &worker, const std::string &name, AttemptOnWorker &attempt,
                  bool checkpoint, Instant now);
    void sendThrottle(Worker &worker, const std::string &name, AttemptOnWorker &attempt,
                      std::uint32_t percent, Instant now);
    void sendAck(Worker &worker, const std::vector<wire::TaskKey> &keys, Instant now);
    bool orderDue(AttemptOnWorker &attempt, Instant now) const;
    void send(const Worker &worker, wire::WorkerOrder order, Instant notAfter, Instant now);

    void claimPending(Instant now);
    Duration claimDelay(const wire::TaskRecord &task, Instant now) const;
    void claim(const wire::TaskRecord &task, const Reservation &reservation);
    void onClaimDecided(const std::string &task, std::uint32_t attempt,
                        const Reservation &reservation, const std::optional<Decision> &decision);
    bool isEvictable(const std::string &name) const;
    /** Evicts batch tasks on the worker where the fewest evictions free capacity for the task. */
    void preemptFor(const wire::TaskRecord &task, Instant now);

    Guarded<ClusterState> &state;
    Guarded<Membership> &members;
    Guarded<WorkerTable> &workers;
    LogWriter &writer;
    const LogFollower &follower;
    Outbox &outbox;
    const LeaseTimes times;
    mutable std::mutex mutex;
    bool draining = false;
    std::map<std::string, Instant> firstSeen; ///< By pending task; claim delays start here.
    std::set<std::string> claiming;           ///< Tasks whose claim is not decided yet.
    std::set<Attempt> resolving; ///< Attempts whose end is submitted but not decided yet.
    std::map<std::string, Instant> preemptedAt; ///< Last evictions, by the task they were for.
};

} // namespace godwitfall
