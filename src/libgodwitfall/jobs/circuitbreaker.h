#pragma once

#include "clock.h"

namespace godwitfall {

/**
 * Circuit breaker for requests to a peer.
 *
 * A failure opens it; after openDuration one request is admitted as a trial, and its success closes
 * the breaker.
 */
class CircuitBreaker
{
public:
    /** Time after a failure for which no request is sent to the peer; a takeover is done by then.
     */
    static constexpr Duration openDuration{2000};

    /** Returns whether to send a request now; while open, admits one trial per openDuration. */
    bool admit(Instant now);

    void succeeded() { this->open = false; }
    void failed(Instant now);

    /** Closes the breaker, as another peer has taken over. */
    void reset() { this->open = false; }

private:
    bool open = false;
    Instant nextTrialAt; ///< When the next trial is admitted.
};

} // namespace godwitfall
