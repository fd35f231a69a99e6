#pragma once

#include "clock.h"
#include "random.h"

namespace godwitfall {

/**
 * Delays between retries: doubling, capped, with full jitter so that callers that failed together
 * do not return together.
 */
class Backoff
{
public:
    Backoff(Duration first, Duration longest, Random &random);

    /** Returns the delay before the next try and doubles the range of the one after. */
    Duration next();

    /** Starts again from the first delay. */
    void reset();

private:
    Duration first;
    Duration longest;
    Duration range;
    Random &random;
};

} // namespace godwitfall
