#include "worker.h"

namespace godwitfall {

Resources Worker::committed() const
{
    Resources total;
    for (const auto &[task, attempt] : this->attempts) {
        if (attempt.phase != AttemptPhase::Ended) {
            total += attempt.size;
        }
    }
    total.slots += static_cast<std::int64_t>(this->calls.size());
    return total;
}

} // namespace godwitfall
