#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "coordinatorstatistics.h"
#include "metrics.h"

namespace godwitfall {

/** Name and description of one metric. */
struct MetricHelp
{
    const char *name;
    const char *help;
};

/** Returns all metrics of an entry instance, with the texts of docs/OPERATIONS.md. */
std::vector<MetricHelp> instanceMetricHelp();

/** The configuration and the operators' requests that an instance goes by. */
struct ConfigFigures
{
    std::uint64_t version = 0;
    Duration age{0}; ///< Since every stored version had been read.
    std::size_t evacuatedZones = 0;
};

/** Memory of accepted jobs, in bytes. */
struct JobMemoryFigures
{
    std::size_t estimated = 0;
    std::size_t bound = 0;
};

/** Counters and latency histograms of one entry instance. Single-threaded. */
class InstanceMetrics
{
public:
    /** Adds one to the counter; labels as in the exposition format, without braces. */
    void count(const std::string &name, const std::string &labels = {});

    /** Adds a latency, in ms, to the histogram of that name. */
    void observe(const std::string &name, double milliseconds);

    /** Returns the page in the text exposition format; statistics is null unless it coordinates. */
    std::string page(const ConfigFigures &config, const JobMemoryFigures &jobMemory,
                     const CoordinatorStatistics *statistics, std::uint64_t suppressedLines,
                     std::uint64_t droppedLines) const;

private:
    std::map<std::pair<std::string, std::string>, std::uint64_t> counters;
    Metrics histograms;
};

} // namespace godwitfall
