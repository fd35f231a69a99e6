#pragma once

#include <cstdint>
#include <mutex>
#include <random>

#include "clock.h"

namespace godwitfall {

/** Random numbers of one instance; the same seed gives the same sequence. */
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : engine(seed)
    {}

    /** Returns a number in [0, bound); 0 if the bound is 0. */
    std::uint64_t below(std::uint64_t bound)
    {
        std::lock_guard lock(this->mutex);
        return bound == 0 ? 0 : this->engine() % bound;
    }

    /** Returns a duration in [0, bound); 0 if the bound is not positive. */
    Duration below(Duration bound)
    {
        return Duration(static_cast<std::int64_t>(
            this->below(static_cast<std::uint64_t>(bound.count() > 0 ? bound.count() : 0))));
    }

private:
    std::mutex mutex;
    std::mt19937_64 engine;
};

} // namespace godwitfall
