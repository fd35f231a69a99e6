#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "clock.h"

namespace godwitfall {

/**
 * Latency histograms of an instance, on a logarithmic axis from 0.1 ms to 100 s.
 */
class Metrics
{
public:
    Metrics();
    ~Metrics();

    /** Adds a latency, in ms, to the histogram of that name. */
    void observe(const std::string &name, double milliseconds);

    /** Returns all histograms in the text exposition format, as cumulative buckets in ms. */
    std::string text() const;

private:
    struct Series;

    mutable std::mutex mutex;
    std::map<std::string, std::unique_ptr<Series>> series;
};

/** Returns one sample line of the text exposition format. */
std::string sampleLine(const std::string &name, double value, const std::string &labels = {});

} // namespace godwitfall
