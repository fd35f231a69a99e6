#include "waitingdemand.h"

#include <algorithm>
#include <limits>

namespace godwitfall {

void WaitingDemand::add(std::int64_t number, const Resources &each)
{
    if (number <= 0) {
        return;
    }
    const bool first = this->count == 0;
    const auto lower = [&](std::int64_t Resources::*amount) {
        const std::int64_t before = first ? each.*amount : this->least.*amount;
        this->least.*amount = std::min(before, each.*amount);
        this->total.*amount += number * (each.*amount);
    };
    lower(&Resources::milliCores);
    lower(&Resources::memoryMb);
    lower(&Resources::accelerators);
    this->count += number;
}

bool WaitingDemand::exceeds(const std::vector<Resources> &free) const
{
    if (this->empty()) {
        return false;
    }
    const auto times = [](std::int64_t amount, std::int64_t need) {
        return need > 0 ? amount / need : std::numeric_limits<std::int64_t>::max();
    };
    std::int64_t slots = 0;
    Resources usable;
    for (const Resources &worker : free) {
        if (!this->least.fitsIn(worker)) {
            continue;
        }
        const std::int64_t taken =
            std::min({times(worker.milliCores, this->least.milliCores),
                      times(worker.memoryMb, this->least.memoryMb),
                      times(worker.accelerators, this->least.accelerators), this->count});
        slots += taken;
        usable += worker;
        if (slots >= this->count && this->total.fitsIn(usable)) {
            return false;
        }
    }
    return true;
}

} // namespace godwitfall
