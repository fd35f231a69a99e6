#include "instancemetrics.h"

#include <array>

namespace godwitfall {

namespace {

constexpr std::array help = {
    MetricHelp{"godwitfall_answers_total", "Responses to clients, by status."},
    MetricHelp{"godwitfall_answer_ms", "From a client's complete request to its response, ms."},
    MetricHelp{"godwitfall_forwards_total", "Requests forwarded to the coordinator."},
    MetricHelp{"godwitfall_unexpected_errors_total",
               "Unexpected errors after which the process continued."},
    MetricHelp{"godwitfall_records_rejected_total",
               "Appends that the store will never take, as it said."},
    MetricHelp{"godwitfall_submissions_refused_total", "Submissions not accepted, by reason."},
    MetricHelp{"godwitfall_job_memory_bytes",
               "Memory for accepted jobs, by use (estimated, bound), bytes."},
    MetricHelp{"godwitfall_starts_held_total", "Times that task starts were paused and resumed."},
    MetricHelp{"godwitfall_unplaced_runs_total",
               "Runs that a worker listed and that were not placed there."},
    MetricHelp{"godwitfall_runs_superseded_total",
               "Runs whose task was done by an earlier run while they may have been at work."},
    MetricHelp{"godwitfall_step_bounds_exceeded_total",
               "Times that a worker listed more tasks of a step than may run on one worker."},
    MetricHelp{"godwitfall_starts_unanswered_total", "Tries to start a run that got no reply."},
    MetricHelp{"godwitfall_starts_dropped_total", "Starts not sent or revoked, by reason."},
    MetricHelp{"godwitfall_jobs_finished_total",
               "Finished jobs, by state and reason; coordinator only."},
    MetricHelp{"godwitfall_job_wait_ms", "From a job's submission to its first start, ms."},
    MetricHelp{"godwitfall_job_ms", "From a job's submission to its end, ms."},
    MetricHelp{"godwitfall_runs_returned_total", "Runs that ended without completing, by outcome."},
    MetricHelp{"godwitfall_orders_other_incarnation_total",
               "Orders not sent as another incarnation of their worker replied."},
    MetricHelp{"godwitfall_crashes_counted_total",
               "Runs that may be why their worker crashed, by whether their job failed for it."},
    MetricHelp{"godwitfall_crash_evidence_total",
               "The same runs, by what tells of the crash (evidence) and the sign by which it was "
               "noticed."},
    MetricHelp{"godwitfall_crashes_withdrawn_total",
               "Counted crashes of workers that were only silent."},
    MetricHelp{"godwitfall_tasks_held_back_total",
               "Times that a task was held back after crashes of workers."},
    MetricHelp{"godwitfall_ownership_changes_total",
               "Times this instance gained or lost coordination."},
    MetricHelp{"godwitfall_log_lines_held_back_total", "Log lines suppressed by the rate limit."},
    MetricHelp{"godwitfall_log_lines_dropped_total",
               "Log lines lost as the reader was slow or gone."},
    MetricHelp{"godwitfall_config_version", "Version of the configuration in force."},
    MetricHelp{"godwitfall_config_age_ms",
               "Time since every stored version of the configuration had been read, ms."},
    MetricHelp{"godwitfall_evacuated_zones", "Zones whose evacuation operators request."},
    MetricHelp{"godwitfall_workers", "Workers, by condition; coordinator only."},
    MetricHelp{"godwitfall_cores", "Processor cores, by use; coordinator only."},
    MetricHelp{"godwitfall_memory_mb", "Memory, by use, MB; coordinator only."},
    MetricHelp{"godwitfall_open_jobs", "Unfinished jobs; coordinator only."},
    MetricHelp{"godwitfall_short_services",
               "Services whose waiting tasks exceed their free capacity; coordinator only."},
    MetricHelp{
        "godwitfall_capacity_short_total",
        "Times that a service became short of capacity, so that delay cost orders its jobs."},
    MetricHelp{"godwitfall_starts",
               "Starts being recorded or awaiting a reply (open), and how many may be (limit); "
               "coordinator only."},
    MetricHelp{"godwitfall_worker_searches", "Worker searches since it began to coordinate."},
    MetricHelp{"godwitfall_missed_targets", "Serving tasks above their target; coordinator only."},
    MetricHelp{"godwitfall_tasks", "Tasks, by kind of work and phase; coordinator only."},
    MetricHelp{"godwitfall_delayed_tasks",
               "Long-running tasks that do not run for 3 s, by reason; coordinator only."},
    MetricHelp{"godwitfall_idle_jobs",
               "Open jobs of which nothing has been at work for 3 s though a task's turn has come, "
               "by what their first task waits for; coordinator only."},
    MetricHelp{"godwitfall_request_bytes_held",
               "Memory charged for requests until they are answered, by listener, bytes."},
    MetricHelp{"godwitfall_calls_total", "Calls to workers, the store and instances, by kind."},
    MetricHelp{"godwitfall_calls_timed_out_total", "Calls without a response in time, by kind."},
    MetricHelp{"godwitfall_call_bytes_total",
               "Bytes of these calls and their responses, by kind and direction."},
    MetricHelp{"godwitfall_connections", "Open connections to this instance, by listener."},
    MetricHelp{"godwitfall_connections_closed_total",
               "Connections that this instance closed, by listener and reason."},
    MetricHelp{"godwitfall_requests_not_read_total",
               "Requests refused before they were handled, by listener and reason."},
};

std::string label(const std::string &name, const std::string &value)
{
    return name + "=\"" + value + "\"";
}

std::string coordinatorLines(const CoordinatorStatistics &statistics)
{
    constexpr double millicores = 1000.0;
    std::string page;
    const auto gauge = [&](const char *name, const char *key, const char *value, double amount) {
        page += sampleLine(name, amount, label(key, value));
    };
    gauge("godwitfall_workers", "condition", "listed", statistics.workers);
    gauge("godwitfall_workers", "condition", "silent", statistics.unresponsive);
    gauge("godwitfall_workers", "condition", "resting", statistics.ejected);
    gauge("godwitfall_workers", "condition", "draining", statistics.draining);
    gauge("godwitfall_cores", "use", "all",
          static_cast<double>(statistics.milliCores) / millicores);
    gauge("godwitfall_cores", "use", "reserved",
          static_cast<double>(statistics.reservedMilliCores) / millicores);
    gauge("godwitfall_cores", "use", "filling",
          static_cast<double>(statistics.bestEffortMilliCores) / millicores);
    gauge("godwitfall_memory_mb", "use", "all", static_cast<double>(statistics.memoryMb));
    gauge("godwitfall_memory_mb", "use", "reserved",
          static_cast<double>(statistics.reservedMemoryMb));
    page += sampleLine("godwitfall_open_jobs", statistics.openJobs);
    page += sampleLine("godwitfall_short_services", statistics.shortServices);
    gauge("godwitfall_starts", "use", "open", static_cast<double>(statistics.openStarts));
    gauge("godwitfall_starts", "use", "limit", static_cast<double>(statistics.startLimit));
    page +=
        sampleLine("godwitfall_worker_searches", static_cast<double>(statistics.workerSearches));
    page += sampleLine("godwitfall_missed_targets", statistics.missedTargets);
    for (std::size_t kind = 0; kind < workKinds; ++kind) {
        const TaskCounts &tasks = statistics.tasks.at(kind);
        const std::string work = label("work", toText(static_cast<WorkKind>(kind))) + ",";
        const auto phase = [&](const char *name, std::uint32_t count) {
            page += sampleLine("godwitfall_tasks", count, work + label("phase", name));
        };
        phase("waiting", tasks.waiting);
        phase("starting", tasks.starting);
        phase("running", tasks.running);
        phase("stopping", tasks.stopping);
    }
    for (std::size_t reason = 0; reason < delayReasonCount; ++reason) {
        gauge("godwitfall_delayed_tasks", "reason", toText(static_cast<DelayReason>(reason)),
              statistics.delayed.at(reason));
        gauge("godwitfall_idle_jobs", "reason", toText(static_cast<DelayReason>(reason)),
              statistics.idleJobs.at(reason));
    }
    return page;
}

} // namespace

std::vector<MetricHelp> instanceMetricHelp()
{
    return {help.begin(), help.end()};
}

void InstanceMetrics::count(const std::string &name, const std::string &labels)
{
    ++this->counters[{name, labels}];
}

void InstanceMetrics::observe(const std::string &name, double milliseconds)
{
    this->histograms.observe(name, milliseconds);
}

std::string InstanceMetrics::page(const ConfigFigures &config, const JobMemoryFigures &jobMemory,
                                  const CoordinatorStatistics *statistics,
                                  std::uint64_t suppressedLines, std::uint64_t droppedLines) const
{
    std::string page = this->histograms.text();
    for (const auto &[key, value] : this->counters) {
        page += sampleLine(key.first, static_cast<double>(value), key.second);
    }
    page +=
        sampleLine("godwitfall_log_lines_held_back_total", static_cast<double>(suppressedLines));
    page += sampleLine("godwitfall_log_lines_dropped_total", static_cast<double>(droppedLines));
    page += sampleLine("godwitfall_config_version", static_cast<double>(config.version));
    page += sampleLine("godwitfall_config_age_ms", static_cast<double>(config.age.count()));
    page += sampleLine("godwitfall_evacuated_zones", static_cast<double>(config.evacuatedZones));
    page += sampleLine("godwitfall_job_memory_bytes", static_cast<double>(jobMemory.estimated),
                       label("use", "estimated"));
    page += sampleLine("godwitfall_job_memory_bytes", static_cast<double>(jobMemory.bound),
                       label("use", "bound"));
    return statistics ? page + coordinatorLines(*statistics) : page;
}

} // namespace godwitfall
