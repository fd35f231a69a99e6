#pragma once

#include "clock.h"

namespace godwitfall {

/**
 * Tells whether a peer is worth asking: a circuit breaker.
 *
 * A failure opens it; after a while one request is let through as a trial, and its success closes
 * the breaker.
 */
class CircuitBreaker
{
public:
    /** Time after a failure for which the peer is left alone; a take-over is done by then. */
    static constexpr Duration openDuration{2000};

    /** Returns whether to ask the peer now; a trial counts as taken. */
    bool admit(Instant now);

    void succeeded() { this->open = false; }
    void failed(Instant now);

    /** Begins anew, as another peer has taken the place. */
    void reset() { this->open = false; }

private:
    bool open = false;
    Instant tryAt; ///< When the next trial is let through.
};

} // namespace godwitfall
