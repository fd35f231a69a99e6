#pragma once

#include "clock.h"
#include "random.h"

namespace godwitfall {

/**
 * Exponential backoff with a cap. Each delay is random within the upper half of the current range,
 * so that callers that failed together do not retry together.
 */
class Backoff
{
public:
    Backoff(Duration first, Duration longest, Random &random);

    /** Returns the delay before the next try and doubles the range for the one after. */
    Duration next();

    /** Sets the range back to the first delay. */
    void reset();

private:
    Duration first;
    Duration longest;
    Duration range;
    Random &random;
};

} // namespace godwitfall
