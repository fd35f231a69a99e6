#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "job.h"
#include "simworker.h"

namespace godwitfall::soak {

/** What a run of a task does on a worker. */
struct TaskBehaviour
{
    std::uint32_t workMs = 0;
    bool fails = false;
};

/** Returns how the run behaves, as the payload of its job says. */
TaskBehaviour behaviourOf(const std::string &payload, std::uint32_t run);

/** One step of a job of a run. */
struct SoakStep
{
    std::uint32_t count = 1;
    std::vector<std::uint32_t> after;
    bool lasts = false;              ///< Runs until the job is cancelled.
    std::string label = {};          ///< That its workers must have; empty: none.
    std::uint32_t mostPerWorker = 0; ///< 0: any number.
};

/** A job as its client knows it. */
struct SoakJob
{
    JobId id;
    std::string payload; ///< "ms=N fails=N": work of each run, and its first runs that fail.
    std::vector<SoakStep> steps;
    unsigned attempts = 0; ///< Times that it was sent.
    unsigned rejected = 0; ///< Attempts with a final "not accepted".
    bool inOtherQueue = false;
    bool accepted = false;
    bool cancelSent = false;
    bool cancelled = false; ///< The cancel was acknowledged.
    bool started = false;   ///< A worker was told to start a task of it.
    bool settled = false;   ///< Every instance shows how it ended.

    bool lasts() const { return this->steps.front().lasts; }

    /** Returns the body of its submission, with the conditions on workers or without. */
    std::string body(bool tellsConditions) const;

    /** Returns the path under which instances know it. */
    std::string path() const;

    /** Returns what the step requires of workers. */
    jobtests::RouteConditions conditionsOf(std::uint32_t step) const;
};

} // namespace godwitfall::soak
