#include "circuitbreaker.h"

namespace godwitfall {

bool CircuitBreaker::admit(Instant now)
{
    if (!this->open) {
        return true;
    }
    if (now < this->nextTrialAt) {
        return false;
    }
    this->nextTrialAt = now + openDuration;
    return true;
}

void CircuitBreaker::failed(Instant now)
{
    this->open = true;
    this->nextTrialAt = now + openDuration;
}

} // namespace godwitfall
