#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace godwitfall {

/**
 * Learns which filling images slow down which serving images, from tail latencies on shared workers.
 *
 * Each slow sample is shared as evidence among the images that fill beside it, by how suspect each
 * is already, so that a known cause explains it away for the others.
 */
class InterferenceModel
{
public:
    /** Ratio of tail latency to target above which a sample counts as slow. */
    static constexpr double slowRatio = 1.0;
    /** Harm from which a filling image is slowed before the target is missed; well above what an
     * image that is slow on its own shows. */
    static constexpr double harmful = 0.2;

    /** Takes in one sample: the serving image's tail latency over its target, and what fills. */
    void observe(const std::string &serving, double ratio, const std::vector<std::string> &filling);

    /** Takes in that the tail fell, or did not, when the filling image was halted. */
    void confirm(const std::string &serving, const std::string &filling, bool caused);

    /** Returns the share of samples for which the filling image is held responsible, 0 to 1. */
    double harm(const std::string &serving, const std::string &filling) const;

private:
    struct Evidence
    {
        double slow = 0.0;
        double calm = 0.0;
    };

    std::map<std::pair<std::string, std::string>, Evidence> pairs;
};

} // namespace godwitfall
