#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "job.h"

namespace godwitfall {

/** The worker that an order goes to, and the coordinator's fencing token. */
struct OrderTarget
{
    WorkerId worker;
    std::string address;
    std::uint64_t fencingToken = 0;
    /** Start of the only incarnation that may carry it out, in ms since 1970; 0: any may. */
    std::int64_t incarnationStartMs = 0;
};

/** Starts a run of a task. */
struct StartOrder
{
    OrderTarget target;
    TaskRef task;
    std::uint32_t run = 0;
    std::string payload;
    std::int64_t leaseEndMs = 0; ///< On the worker's clock.
    std::string checkpoint;
    std::string ticket;
};

/** Stops a run of a task, or prevents it from ever starting. */
struct StopOrder
{
    OrderTarget target;
    TaskRef task;
    std::uint32_t run = 0;
};

/** Renews the lease of a worker, acknowledges ends and asks for its running and ended tasks. */
struct HoldOrder
{
    OrderTarget target;
    std::int64_t leaseEndMs = 0;    ///< On the worker's clock; 0: no renewal.
    std::uint64_t acknowledged = 0; ///< Ends up to this number the worker may discard; 0: none.
    Duration wait{0};               ///< Longest delay of the reply until a run ends.
};

/** Limits a best-effort task to a share of its full speed. */
struct PaceOrder
{
    OrderTarget target;
    TaskRef task;
    std::uint32_t run = 0;
    std::uint32_t percent = 100;
};

/** Asks the external advisory service which workers may run a step. */
struct AdviceOrder
{
    StepRef step;
    std::vector<WorkerId> workers;
    Duration answerTime{0}; ///< The service's response time without other requests.
};

/** The advisory service's reply. */
struct Advice
{
    std::map<std::string, std::string> tickets; ///< By worker; others may not run the step.
    Duration valid{0};                          ///< 0: as the queue's rules say.
};

/** Outcome of an order that was sent to a worker. */
enum class OrderOutcome : std::uint8_t {
    Accepted,
    Fenced,     ///< It has seen a higher fencing token.
    Superseded, ///< A run of the task with the same or a higher number ended or was stopped there.
    TooLate,    ///< The lease end had passed.
    NoCapacity,
    TicketInvalid,
    Malformed,
    Unhealthy,        ///< The worker did not carry it out.
    OtherIncarnation, ///< Another incarnation of the worker replied.
    NotSent,          ///< It did not reach the worker, or not the incarnation that it is for.
    Unanswered,       ///< No reply; it may have been carried out, or may be later.
};

/** Sends orders to workers; replies reach the coordinator by its ...Answered() calls. */
class OrderSender
{
public:
    virtual ~OrderSender() = default;
    virtual void start(StartOrder order) = 0;
    virtual void stop(StopOrder order) = 0;
    virtual void hold(HoldOrder order) = 0;
    virtual void pace(PaceOrder order) = 0;
    virtual void advise(AdviceOrder order) = 0;
};

} // namespace godwitfall
