#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "job.h"

namespace godwitfall {

/** Where an order goes and under which authority. */
struct OrderTarget
{
    WorkerId worker;
    std::string address;
    std::uint64_t fencingToken = 0;
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

/** Stops a run of a task, or keeps it from ever starting. */
struct StopOrder
{
    OrderTarget target;
    TaskRef task;
    std::uint32_t run = 0;
};

/** Renews the lease of a worker and asks for its lists. */
struct HoldOrder
{
    OrderTarget target;
    std::int64_t leaseEndMs = 0; ///< On the worker's clock; 0: no renewal.
    std::uint64_t acknowledged = 0;
    Duration wait{0}; ///< How long the answer may wait for an end.
};

/** Lets a filling task work at a share of its speed. */
struct PaceOrder
{
    OrderTarget target;
    TaskRef task;
    std::uint32_t run = 0;
    std::uint32_t percent = 100;
};

/** Asks the service outside which workers may run a step. */
struct AdviceOrder
{
    StepRef step;
    std::vector<WorkerId> workers;
    Duration answerTime{0}; ///< What the service takes to answer when nobody else asks.
};

/** What the service outside answered. */
struct Advice
{
    std::map<std::string, std::string> tickets; ///< By worker; those left out may not run the step.
    Duration valid{0};                          ///< 0: as the queue's rules say.
};

/** How a worker answered an order. */
enum class OrderOutcome : std::uint8_t {
    Accepted,
    Fenced,     ///< It has seen a higher fencing token.
    Superseded, ///< A run at least as high ended or was stopped there.
    TooLate,    ///< The lease end had passed.
    NoRoom,
    TicketInvalid,
    Malformed,
    Unhealthy,  ///< It did nothing.
    OtherLife,  ///< Another incarnation answered.
    NotSent,    ///< No byte reached it.
    Unanswered, ///< It may have been carried out, or may be later.
};

/** Carries orders to workers; replies come back to the coordinator later. */
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
