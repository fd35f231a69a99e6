#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "jobs.pb.h"

namespace godwitfall {

/** Whether a filling task uses the processors that it asked for, as its figures show. */
enum class Activity : std::uint8_t {
    Unknown,
    Calm, ///< Uses clearly less; presses less too.
    Busy,
};

/** What tasks of one image that fill use of a worker: a share of its processors, at their pace. */
struct BestEffortShare
{
    std::string image;
    double share = 0.0;
    Activity activity = Activity::Unknown;
};

/** An estimated load with the variance of its error. */
struct LoadEstimate
{
    double mean = 0.0;
    double variance = 0.0;
};

/**
 * Learns how much filling images press on serving images, from tail latencies on shared workers.
 *
 * A serving task is taken for a single queue: its tail latency is base / (1 - load) up to the
 * knee from which its queue grows without end, and steeply linear above. Pressure adds
 * to the load in proportion to the share of the worker that the filling image uses. A Kalman filter
 * with independent states estimates the factor of each pair of images, apart for busy and calm
 * filling tasks. Tasks of one job bear the same load of their own.
 */
class InterferenceModel
{
public:
    /** Variance of the load behind one tail latency, which is told to about a tenth. */
    static constexpr double sampleVariance = 0.0036;

    /** Returns the load behind a tail latency of the image, and learns its base latency. */
    double loadOf(const std::string &serving, double tailMs);

    /** Returns the load at which the image's tail latency reaches the target. */
    double loadAtTarget(const std::string &serving, double targetMs) const;

    /** Takes in the observed load, and the one observed before, beside the load of its own. */
    void observe(const std::string &serving, const LoadEstimate &own, double loadBefore,
                 double load, const std::vector<BestEffortShare> &filling);

    /** Returns the load that a whole worker of the filling image would add to the serving image. */
    double pressure(const std::string &serving, const std::string &filling,
                    Activity activity = Activity::Unknown) const;

    /** Returns the load that the shares add. */
    LoadEstimate pressure(const std::string &serving,
                          const std::vector<BestEffortShare> &filling) const;

    /** Returns what has been learnt of pairs that samples told something of. */
    jobs::LearntPressures toMessage() const;

    /** Begins with what another model has learnt; figures out of range are left out. */
    void restore(const jobs::LearntPressures &learnt);

private:
    /** A factor with the variance of its error. */
    struct Estimate
    {
        double mean;
        double variance;
    };

    /** How a filling image presses on a serving one. */
    struct Factors
    {
        Estimate calm;
        Estimate busy;
    };

    /** Of one serving image, by filling image. */
    using FactorsByFilling = std::map<std::string, Factors>;

    static const Factors unseen;

    const Factors &factorsOf(const std::string &serving, const std::string &filling) const;
    static const Factors &factorsOf(const FactorsByFilling *known, const std::string &filling);
    /** Returns what is known of the serving image, or null. */
    const FactorsByFilling *factorsOf(const std::string &serving) const;

    std::map<std::string, double> baseMs;
    std::map<std::string, FactorsByFilling> factors; ///< By serving image.
};

} // namespace godwitfall
