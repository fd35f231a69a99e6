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
 * Keeps what the service outside has said on which workers may run which step: a cache of tickets
 * with their validity.
 *
 * One question is under way at a time, as the service answers those of one machine in turn.
 */
class AdviceCache
{
public:
    /** Workers named in one question; enough for most steps, answered within one short wait. */
    static constexpr std::size_t batch = 30;
    /** Pause after a question that got no answer. */
    static constexpr Duration retryGap{300};
    /** Time before a ticket's end from which it is not used for a start any more. */
    static constexpr Duration useMargin{500};

    explicit AdviceCache(OrderSender &orders);

    /** Returns the worker's ticket for the step, or null when it has none that is still good. */
    const std::string *ticket(const StepRef &step, const WorkerState &worker, Instant now) const;

    /**
     * Asks about the workers that the step was not answered for yet, in their order, unless a
     * question is under way; returns whether one was sent.
     */
    bool ask(const StepRef &step, const std::vector<WorkerState *> &candidates,
             const AdviceRules &rules, Instant now);

    /** Takes in the answer to the question under way; nothing when there was none in time. */
    void answered(const StepRef &step, const std::optional<Advice> &advice, Instant now);

    /** Forgets the ticket, which the worker did not accept. */
    void refused(const StepRef &step, const WorkerId &worker);

    /** Forgets all that concerns the job. */
    void remove(const JobId &job);

    void clear();

private:
    /** What was said of one life of a worker. */
    struct Word
    {
        std::int64_t incarnationStartMs = 0;
        std::string ticket; ///< Empty: it may not run the step.
        Instant goodUntil;
    };

    /** Returns whether the worker's life was asked about and the word still holds. */
    bool known(const StepRef &step, const WorkerState &worker, Instant now) const;

    OrderSender &orders;
    std::map<StepRef, std::map<std::string, Word>> words;
    std::map<std::string, std::int64_t> asked; ///< Workers of the question under way, with births.
    std::optional<StepRef> asking;
    Duration validity{0};
    Instant askedAt;
    Instant pausedUntil;
};

} // namespace godwitfall
