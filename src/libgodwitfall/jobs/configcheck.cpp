#include "configcheck.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace godwitfall {

namespace {

using Fields = std::map<std::string, std::string>;

template <typename Value>
std::string textOf(const Value &value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

void addRoute(const QueueConfig &queue, Fields &fields)
{
    const std::string entry = "route " + queue.name + ": ";
    fields[entry + "host"] = queue.host;
    fields[entry + "path_prefix"] = queue.prefix;
    fields[entry + "service"] = queue.service.value();
    fields[entry + "priority"] = textOf(queue.priority);
    fields[entry + "max_attempts"] = textOf(queue.maxAttempts);
    fields[entry + "stretch"] = textOf(queue.stretch);
    fields[entry + "target_latency_ms"] = textOf(queue.targetLatency.count());
    if (queue.advice) {
        fields[entry + "advice.decide_ms"] = textOf(queue.advice->decisionTime.count());
        fields[entry + "advice.each_ms"] = textOf(queue.advice->timePerWorker.count());
        fields[entry + "advice.valid_ms"] = textOf(queue.advice->valid.count());
    }
}

Fields fieldsOf(const JobConfig &config)
{
    Fields fields;
    for (const QueueConfig &queue : config.queues) {
        addRoute(queue, fields);
    }
    for (const ServiceConfig &service : config.services) {
        const std::string entry = "service " + service.name.value() + ": ";
        fields[entry + "max_connections"] = textOf(service.maxConnections);
        fields[entry + "enforces_capacity"] = service.enforcesCapacity ? "true" : "false";
        fields[entry + "spare"] = service.spare ? "true" : "false";
    }
    const RequestLimits &requests = config.requests;
    fields["limits: body_bytes"] = textOf(requests.bodyBytes);
    fields["limits: header_bytes"] = textOf(requests.headerBytes);
    fields["limits: header_timeout_ms"] = textOf(requests.headerTimeout.count());
    fields["limits: idle_timeout_ms"] = textOf(requests.idleTimeout.count());
    return fields;
}

void addContradictions(const QueueConfig &queue, std::vector<std::string> &findings)
{
    const std::string entry = "route " + queue.name + ": ";
    if (queue.stretch <= 0.0 && queue.targetLatency <= Duration(0)) {
        findings.push_back(entry + "stretch and target_latency_ms are 0; each job is due when it "
                                   "is accepted");
    }
    if (queue.advice && queue.advice->valid <= queue.advice->decisionTime) {
        findings.push_back(entry + "advice.valid_ms is not above advice.decide_ms; each ticket has "
                                   "expired when it arrives");
    }
}

} // namespace

std::vector<std::string> configFindings(const JobConfig &config)
{
    std::vector<std::string> findings;
    std::map<std::pair<std::string, std::string>, std::string> routes;
    for (const QueueConfig &queue : config.queues) {
        const auto [known, added] = routes.emplace(std::pair(queue.host, queue.prefix), queue.name);
        if (!added) {
            findings.push_back("route " + queue.name + ": never matches; route " + known->second +
                               " has the same host and path_prefix");
        }
        if (!config.service(queue.service)) {
            findings.push_back("route " + queue.name + ": service " + queue.service.value() +
                               " is not in the configuration");
        }
        addContradictions(queue, findings);
    }
    std::set<std::string> services;
    for (const ServiceConfig &service : config.services) {
        if (!services.insert(service.name.value()).second) {
            findings.push_back("service " + service.name.value() +
                               ": listed twice; only the first entry applies");
        }
    }
    if (config.requests.bodyBytes == 0) {
        findings.emplace_back("limits: body_bytes is 0; every submission is refused");
    }
    if (config.requests.idleTimeout < config.requests.headerTimeout) {
        findings.emplace_back("limits: idle_timeout_ms is below header_timeout_ms; a connection is "
                              "closed sooner without a request than within one");
    }
    return findings;
}

std::vector<std::string> configChanges(const JobConfig &inForce, const JobConfig &newer)
{
    const Fields before = fieldsOf(inForce);
    const Fields after = fieldsOf(newer);
    std::vector<std::string> changes;
    for (const auto &[field, value] : before) {
        const auto now = after.find(field);
        if (now == after.end()) {
            changes.push_back(field + ": " + value + " -> none");
        } else if (now->second != value) {
            changes.push_back(field + ": " + value + " -> " + now->second);
        }
    }
    for (const auto &[field, value] : after) {
        if (!before.contains(field)) {
            changes.push_back(field + ": none -> " + value);
        }
    }
    std::sort(changes.begin(), changes.end());
    return changes;
}

} // namespace godwitfall
