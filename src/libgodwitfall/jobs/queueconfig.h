#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "ids.h"

namespace godwitfall {

using JobId = NameId<struct JobTag>;

/** Times of the external advice service, which decides the workers that may run a step. */
struct AdviceRules
{
    Duration decisionTime{0};  ///< Until it begins to reply.
    Duration timePerWorker{0}; ///< Added for each worker in the request.
    Duration valid{0};         ///< How long a ticket is valid, from its request.
};

/** Configuration of one queue, which applies to its jobs. */
struct QueueConfig
{
    std::string name;
    std::string host;
    std::string prefix; ///< Path prefix under which the queue's jobs are submitted.
    ServiceId service;
    unsigned priority = 0; ///< Lower values go first and may preempt higher ones.
    unsigned maxAttempts = 1;
    double stretch = 1.0; ///< Accepted run time, as a multiple of the job's longest chain.
    Duration targetLatency{0};
    std::optional<AdviceRules> advice; ///< Unset: any worker of the service may run its steps.
};

/** A pool of workers that runs the tasks of queues. */
struct ServiceConfig
{
    ServiceId name;
    unsigned maxConnections = 0; ///< To each of its workers; 0: unlimited.
    bool enforcesCapacity = true;
    bool spare = false; ///< Not evaluated by the scheduler.
};

/** Limits on clients' requests. */
struct RequestLimits
{
    std::size_t bodyBytes = 262144;
    std::size_t headerBytes = 16384;
    Duration headerTimeout{3000}; ///< From the first byte of a request to the end of its header.
    Duration idleTimeout{15000};  ///< Without a request, after which a connection is closed.
};

/** One complete version of the operators' configuration. */
struct JobConfig
{
    std::uint64_t version = 0;
    std::vector<QueueConfig> queues;
    std::vector<ServiceConfig> services;
    RequestLimits requests;

    /** Returns the queue with the host and the longest prefix that the path begins with, or null.
     */
    const QueueConfig *route(const std::string &host, const std::string &path) const;

    /** Returns the service of that name, or null. */
    const ServiceConfig *service(const ServiceId &name) const;
};

} // namespace godwitfall
