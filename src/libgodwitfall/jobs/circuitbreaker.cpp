#include "circuitbreaker.h"

namespace godwitfall {

bool CircuitBreaker::admit(Instant now)
{
    if (!this->open) {
        return true;
    }
    if (now < this->tryAt) {
        return false;
    }
    this->tryAt = now + openDuration;
    return true;
}

void CircuitBreaker::failed(Instant now)
{
    this->open = true;
    this->tryAt = now + openDuration;
}

} // namespace godwitfall
