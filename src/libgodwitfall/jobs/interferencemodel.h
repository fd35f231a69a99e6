#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "jobs.pb.h"

namespace godwitfall {

/** Whether a best-effort task uses the processors that it asked for, by its metrics. */
enum class Activity : std::uint8_t {
    Unknown,
    Calm, ///< Uses clearly less, and interferes less.
    Busy,
};

/** Share of a worker's processors that the best-effort tasks of one image use. */
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
 * Learns how much best-effort images interfere with serving images, from tail latencies on shared
 * workers.
 *
 * A serving task is modelled as a single queue: its tail latency is base / (1 - load) up to the
 * knee from which its queue grows without bound, and steeply linear above. Pressure is the load
 * that best-effort tasks add, in proportion to the share of the worker that their image uses. A
 * Kalman filter with independent states estimates the factor of each pair of images, separately for
 * busy and calm best-effort tasks. The serving tasks of one job have the same load of their own.
 */
class InterferenceModel
{
public:
    /** Variance of the load derived from one tail latency, which is reported to about a tenth. */
    static constexpr double sampleVariance = 0.0036;

    /** Returns the load derived from a tail latency of the image, and learns its base latency. */
    double loadOf(const std::string &serving, double tailMs);

    /** Returns the load at which the image's tail latency reaches the target. */
    double loadAtTarget(const std::string &serving, double targetMs) const;

    /** Updates the factors from an observed load and the one observed before; own is the load
     * without best-effort tasks. */
    void observe(const std::string &serving, const LoadEstimate &own, double loadBefore,
                 double load, const std::vector<BestEffortShare> &bestEffort);

    /** Returns the load that the best-effort image adds to the serving image when it uses a whole
     * worker. */
    double pressure(const std::string &serving, const std::string &bestEffort,
                    Activity activity = Activity::Unknown) const;

    /** Returns the load that the shares add to the serving image. */
    LoadEstimate pressure(const std::string &serving,
                          const std::vector<BestEffortShare> &bestEffort) const;

    /** Returns the learned state of all image pairs with samples. */
    jobs::LearntPressures toMessage() const;

    /** Restores the learned state of another model; values out of range are ignored. */
    void restore(const jobs::LearntPressures &learned);

private:
    /** A factor with the variance of its error. */
    struct Estimate
    {
        double mean;
        double variance;
    };

    /** Load that a whole worker of a best-effort image adds to a serving image. */
    struct Factors
    {
        Estimate calm;
        Estimate busy;
    };

    /** Factors of one serving image, by best-effort image. */
    using FactorsByImage = std::map<std::string, Factors>;

    static const Factors initialFactors;

    const Factors &factorsOf(const std::string &serving, const std::string &bestEffort) const;
    static const Factors &factorsOf(const FactorsByImage *known, const std::string &bestEffort);
    /** Returns the factors of the serving image, or null when it has none. */
    const FactorsByImage *factorsOf(const std::string &serving) const;

    std::map<std::string, double> baseMs;          ///< Lowest tail latency, by serving image.
    std::map<std::string, FactorsByImage> factors; ///< By serving image.
};

} // namespace godwitfall
