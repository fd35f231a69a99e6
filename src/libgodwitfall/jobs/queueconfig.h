#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "ids.h"

namespace godwitfall {

using JobId = NameId<struct JobTag>;

/** How the service outside says which workers may run a step of a queue. */
struct AdviceRules
{
    Duration decide{0}; ///< Until it begins to answer.
    Duration each{0};   ///< More for each worker asked about.
    Duration valid{0};  ///< How long a ticket holds.
};

/** Rules under which the jobs of one queue run. */
struct QueueConfig
{
    std::string name;
    std::string host;
    std::string prefix; ///< Path under which the queue's jobs are submitted.
    ServiceId service;
    unsigned priority = 0; ///< 0 goes first and may preempt others.
    unsigned maxAttempts = 1;
    double stretch = 1.0; ///< Multiple of the job's longest chain of work that its users accept.
    Duration targetLatency{0};
    std::optional<AdviceRules> advice; ///< Unset: any worker of the service may run its steps.
};

/** A pool of workers that runs the tasks of queues. */
struct ServiceConfig
{
    ServiceId name;
    unsigned maxConnections = 0; ///< To each of its workers; 0: not bounded.
    bool enforcesCapacity = true;
    bool spare = false;
};

/** One version of the operators' configuration, complete. */
struct JobConfig
{
    std::uint64_t version = 0;
    std::vector<QueueConfig> queues;
    std::vector<ServiceConfig> services;
    std::size_t maxBodyBytes = 262144;

    /** Returns the queue with the host and the longest prefix that the path begins with, or null.
     */
    const QueueConfig *route(const std::string &host, const std::string &path) const;

    /** Returns the service of that name, or null. */
    const ServiceConfig *service(const ServiceId &name) const;
};

} // namespace godwitfall
