#pragma once

#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "orders.h"
#include "queueconfig.h"
#include "workerstate.h"

namespace godwitfall {

/**
 * Caches the advice of the external advice service: the tickets with which workers may run a step,
 * and their validity.
 *
 * One request is in flight at a time, as the service replies to those of one machine in turn.
 */
class AdviceCache
{
public:
    /** Workers in one request; enough for most steps, and the reply takes a short time. */
    static constexpr std::size_t maxWorkersPerRequest = 30;
    /** Pause after a request without a reply. */
    static constexpr Duration retryGap{300};
    /** Time before the end of a ticket's validity from which no start uses it any more. */
    static constexpr Duration useMargin{500};

    explicit AdviceCache(OrderSender &orders);

    /** Returns the worker's ticket for the step, or null when it has no valid one. */
    const std::string *ticket(const StepRef &step, const WorkerState &worker, Instant now) const;

    /**
     * Requests advice on the workers without cached advice for the step, in their order, unless a
     * request is in flight; returns whether one was sent.
     */
    bool ask(const StepRef &step, const std::vector<WorkerState *> &candidates,
             const AdviceRules &rules, Instant now);

    /** Processes the reply to the request in flight; no advice when there was none in time. */
    void answered(const StepRef &step, const std::optional<Advice> &advice, Instant now);

    /** Discards the ticket, which the worker did not accept. */
    void refused(const StepRef &step, const WorkerId &worker);

    /** Discards the advice on all steps of the job. */
    void remove(const JobId &job);

    void clear();

private:
    /** Advice on one incarnation of a worker. */
    struct CachedAdvice
    {
        std::int64_t incarnationStartMs = 0;
        std::string ticket; ///< Empty: it may not run the step.
        Instant validUntil;
    };

    /** Returns whether advice on the worker's incarnation is cached and still valid. */
    bool known(const StepRef &step, const WorkerState &worker, Instant now) const;

    OrderSender &orders;
    std::map<StepRef, std::map<std::string, CachedAdvice>> adviceByStep;
    /** Workers of the request in flight, with the starts of their incarnations. */
    std::map<std::string, std::int64_t> requestedWorkers;
    std::optional<StepRef> requestedStep;
    Duration validity{0};
    Instant requestedAt;
    Instant pausedUntil;
};

} // namespace godwitfall
