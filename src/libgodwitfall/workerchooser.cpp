#include "workerchooser.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace godwitfall {

namespace {

constexpr double latencyDecayMs = 10000.0;
constexpr double startLatencyMs = 1.0;

/** Expected latency: the decayed average times the calls that would share the worker. */
double expectedLatency(const Worker &worker, Instant now)
{
    const auto age = static_cast<double>((now - worker.latencyAt).count());
    const double latency = worker.latencyMs * std::exp(-age / latencyDecayMs);
    return std::max(latency, startLatencyMs) * static_cast<double>(worker.calls.size() + 1);
}

class PeakEwmaChooser : public WorkerChooser
{
public:
    explicit PeakEwmaChooser(Random &random)
        : random(random)
    {}

    /** Takes the better of two picked at random (Mitzenmacher, "The power of two choices", 2001).
     */
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
        return candidates[this->turn++ % candidates.size()];
    }

private:
    std::size_t turn = 0;
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
    for (const NamedChooser &chooser : choosers) {
        names.emplace_back(chooser.name);
    }
    return names;
}

} // namespace godwitfall
