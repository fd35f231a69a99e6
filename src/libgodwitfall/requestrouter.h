#pragma once

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "clusterstate.h"
#include "fairqueue.h"
#include "guarded.h"
#include "logfollower.h"
#include "logwriter.h"
#include "membership.h"
#include "outbox.h"
#include "random.h"
#include "workertable.h"

namespace godwitfall {

/** Limits for accepting requests. */
struct RequestLimits
{
    /** Queued requests per service, unless the configuration sets another limit. */
    std::size_t queueLimit = 512;
    /** Time within which a request is answered, if neither it nor its service sets one. */
    Duration defaultBudget{2000};
    /** A request that must run at most once is refused if the last log contact is older. */
    Duration maxLogContactAge{3000};
};

/** Counts of requests by outcome, since the start of the process. */
struct RequestTotals
{
    std::uint64_t taken = 0; ///< All requests received, also those refused at once.
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t retries = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t corruptReplies = 0;
};

/**
 * Dispatches callers' requests to workers and returns the answers to the callers.
 *
 * Every request ends with a definite outcome: answered in full, not run, or unknown. If the fate of
 * a call is unknown, the worker is ordered to void it; the slot stays reserved until the worker
 * reports the fate. A request that must run at most once is sent only after this instance has read
 * its own intent back from the log.
 */
class RequestRouter
{
public:
    RequestRouter(Guarded<ClusterState> &state, Guarded<Membership> &members,
                  Guarded<WorkerTable> &workers, LogWriter &writer, const LogFollower &follower,
                  Outbox &outbox, Random &random, const RequestLimits &limits);

    /** Accepts or refuses a request from a caller of this instance. */
    void submit(const wire::CallerRequest &request, CallerToken caller, Instant now);

    /** Accepts or refuses a request that a peer forwarded; it is not forwarded again. */
    void submitForwarded(const wire::Forward &forward, const InstanceId &from, Instant now);

    void onForwardAnswer(const wire::ForwardAnswer &answer, const InstanceId &from, Instant now);

    /** Processes the reply to an execute or void order. */
    void onReply(const SentOrder &order, const Result<wire::WorkerReply> &answer, Instant now);

    void onTick(Instant now);

    /** Refuses all new requests from now on, because this instance is about to stop. */
    void startDraining();

    /** Returns the number of requests that are not answered yet. */
    std::size_t inFlight() const;

    /** Returns the number of calls on workers whose outcome is not known yet. */
    std::size_t openCalls() const;

    RequestTotals totals() const;

private:
    enum class Phase {
        AwaitsIntent,
        Queued,
        Dispatched,
        Forwarded,
    };

    struct Origin
    {
        CallerToken caller;
        InstanceId peer; ///< Empty for a caller of this instance.
    };

    struct Pending
    {
        Origin origin;
        wire::CallerRequest request;
        Instant arrivedAt;
        Instant deadline;
        Phase phase = Phase::Queued;
        CallId call;
        Ticket intentTicket;
        Offset intent; ///< Offset of the open intent; 0 if there is none.
        InstanceId forwardedTo;
        Incarnation forwardedIncarnation; ///< Of the peer; a later one knows nothing of it.
        std::uint64_t forwardToken = 0;
        std::set<InstanceId> refusedBy;
        bool mayHaveRun = false; ///< The fate of an earlier try is unknown.
        std::uint32_t tries = 0;
    };

    struct Call
    {
        std::uint64_t pending = 0; ///< Token of the request; 0 once it is answered or retried.
        std::string request;
        Reservation reservation;
        Offset intent;
        Instant sentAt;
        std::uint64_t expiresAt = 0; ///< On the worker's clock, in ms.
        bool resolving = false;
        bool voidInFlight = false;
        Instant nextVoidAt;
        Instant abandonAt;
    };

    using Token = std::uint64_t;

    void admit(Pending pending, Instant now);
    std::optional<std::string> objectionTo(const wire::CallerRequest &request) const;
    std::optional<std::string> overloadReason(const Pending &pending, Instant now) const;
    void openIntent(Token token, Instant now);
    void onIntentDecided(Token token, const std::string &request,
                         const std::optional<Decision> &decision, Instant now);
    void closeIntent(const std::string &request, Offset intent, wire::IntentState state);

    void enqueue(Token token, Instant now);
    void dispatchQueued(Instant now);
    bool dispatch(Token token, Instant now);
    bool forward(Token token, Instant now);
    /** Returns whether a request that may be passed on could be. */
    bool anyPeerHasSlots(Instant now) const;
    void retryOrRefuse(Token token, const std::string &reason, Instant now);

    void onExecuteReply(const CallId &id, const Result<wire::WorkerReply> &answer, Instant now);
    void onVoidReply(const CallId &id, const Result<wire::WorkerReply> &answer, Instant now);
    bool completeCall(const CallId &id, const wire::WorkerReply &reply, Instant now);
    void onCallNeverRan(const CallId &id, const std::string &reason, Instant now);
    /** Starts voiding a call of unknown fate; retries a repeatable request if the budget allows. */
    void resolve(const CallId &id, Instant now);
    void sendVoidOrders(Instant now);
    void removeCall(const CallId &id);

    void finishOverdue(Instant now);
    void checkForwards(Instant now);
    void finish(Token token, wire::Outcome outcome, const std::string &body,
                const std::string &reason, Instant now);
    void answer(const Origin &origin, const wire::CallerAnswer &answer);
    Duration expectedWait(Instant now) const;
    Duration retryAfter(Instant now);

    Guarded<ClusterState> &state;
    Guarded<Membership> &members;
    Guarded<WorkerTable> &workers;
    LogWriter &writer;
    const LogFollower &follower;
    Outbox &outbox;
    Random &random;
    const RequestLimits limits;
    mutable std::mutex mutex;
    bool draining = false;
    std::uint64_t lastToken = 0;
    std::uint64_t lastCall = 0;
    std::map<Token, Pending> pending;
    std::set<std::pair<Instant, Token>> byDeadline;
    std::map<std::string, FairQueue> queues;
    std::size_t queued = 0;
    std::map<CallId, Call> calls;
    std::uint64_t lastForward;
    std::map<std::uint64_t, Token> forwards;
    std::set<std::pair<InstanceId, std::uint64_t>> receivedForwards;
    std::deque<std::pair<InstanceId, std::uint64_t>> receivedForwardsInOrder;
    double meanServiceMs = 50.0;
    double retryTokens = 10.0; ///< Budget for retries after a call of unknown fate.
    RequestTotals counts;
};

} // namespace godwitfall
