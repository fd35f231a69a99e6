#include "backoff.h"

#include <algorithm>

namespace godwitfall {

Backoff::Backoff(Duration first, Duration longest, Random &random)
    : first(first)
    , longest(longest)
    , range(first)
    , random(random)
{}

Duration Backoff::next()
{
    const Duration delay = this->range / 2 + this->random.below(this->range / 2 + Duration(1));
    this->range = std::min(this->range * 2, this->longest);
    return delay;
}

void Backoff::reset()
{
    this->range = this->first;
}

} // namespace godwitfall
