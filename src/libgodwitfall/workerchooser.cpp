#include "workerchooser.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace godwitfall {

namespace {

constexpr double latencyDecayMs = 10000.0;
constexpr double initialLatencyMs = 1.0;

/** Returns the decayed average latency in ms, scaled up by the share of slots in use. */
double expectedLatency(const Worker &worker, Instant now)
{
    const auto age = static_cast<double>((now - worker.latencyAt).count());
    const double latency = worker.latencyMs * std::exp(-age / latencyDecayMs);
    const auto slots = static_cast<double>(std::max<std::int64_t>(worker.capacity.slots, 1));
    const double taken = static_cast<double>(worker.calls.size()) / slots;
    return std::max(latency, initialLatencyMs) * (1.0 + taken);
}

/**
 * Selects the candidate with the lowest expected latency.
 *
 * A worker has a single owner, so comparing all candidates causes no herding between instances.
 * Measured latencies decay, so that a worker that was slow is tried again.
 */
class PeakEwmaChooser : public WorkerChooser
{
public:
    explicit PeakEwmaChooser(Random &random)
        : random(random)
    {}

    const Worker *choose(const std::vector<const Worker *> &candidates, Instant now) override
    {
        const std::size_t start = this->random.below(candidates.size());
        const Worker *best = candidates[start];
        double least = expectedLatency(*best, now);
        for (std::size_t step = 1; step < candidates.size(); ++step) {
            const Worker *candidate = candidates[(start + step) % candidates.size()];
            const double latency = expectedLatency(*candidate, now);
            if (latency < least) {
                best = candidate;
                least = latency;
            }
        }
        return best;
    }

private:
    Random &random;
};

class TwoChoicesChooser : public WorkerChooser
{
public:
    explicit TwoChoicesChooser(Random &random)
        : random(random)
    {}

    /** Returns the better of two random ones (Mitzenmacher, "The power of two choices", 2001). */
    const Worker *choose(const std::vector<const Worker *> &candidates, Instant now) override
    {
        const Worker *first = candidates[this->random.below(candidates.size())];
        const Worker *second = candidates[this->random.below(candidates.size())];
        return expectedLatency(*first, now) <= expectedLatency(*second, now) ? first : second;
    }

private:
    Random &random;
};

class LeastLoadedChooser : public WorkerChooser
{
public:
    explicit LeastLoadedChooser(Random &) {}

    const Worker *choose(const std::vector<const Worker *> &candidates, Instant) override
    {
        return *std::min_element(candidates.begin(), candidates.end(),
                                 [](const Worker *left, const Worker *right) {
                                     return left->calls.size() < right->calls.size();
                                 });
    }
};

class RoundRobinChooser : public WorkerChooser
{
public:
    explicit RoundRobinChooser(Random &) {}

    const Worker *choose(const std::vector<const Worker *> &candidates, Instant) override
    {
        return candidates[this->next++ % candidates.size()];
    }

private:
    std::size_t next = 0;
};

class RandomChooser : public WorkerChooser
{
public:
    explicit RandomChooser(Random &random)
        : random(random)
    {}

    const Worker *choose(const std::vector<const Worker *> &candidates, Instant) override
    {
        return candidates[this->random.below(candidates.size())];
    }

private:
    Random &random;
};

template <class Chooser>
std::unique_ptr<WorkerChooser> make(Random &random)
{
    return std::make_unique<Chooser>(random);
}

struct NamedChooser
{
    const char *name;
    std::unique_ptr<WorkerChooser> (*make)(Random &);
};

constexpr std::array choosers = {
    NamedChooser{"peak-ewma", &make<PeakEwmaChooser>},
    NamedChooser{"two-choices", &make<TwoChoicesChooser>},
    NamedChooser{"least-loaded", &make<LeastLoadedChooser>},
    NamedChooser{"round-robin", &make<RoundRobinChooser>},
    NamedChooser{"random", &make<RandomChooser>},
};

} // namespace

std::unique_ptr<WorkerChooser> makeWorkerChooser(const std::string &name, Random &random)
{
    for (const NamedChooser &chooser : choosers) {
        if (name == chooser.name) {
            return chooser.make(random);
        }
    }
    return nullptr;
}

std::vector<std::string> workerChooserNames()
{
    std::vector<std::string> names;
    names.reserve(choosers.size());
    for (const NamedChooser &chooser : choosers) {
        names.emplace_back(chooser.name);
    }
    return names;
}

} // namespace godwitfall
