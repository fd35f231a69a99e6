#include "resources.h"

namespace godwitfall {

Resources Resources::fromWire(const wire::Resources &message)
{
    return Resources{message.milli_cores(), message.memory_mb(), message.accelerators(),
                     message.slots()};
}

wire::Resources Resources::toWire() const
{
    wire::Resources message;
    message.set_milli_cores(static_cast<std::uint32_t>(this->milliCores));
    message.set_memory_mb(static_cast<std::uint32_t>(this->memoryMb));
    message.set_accelerators(static_cast<std::uint32_t>(this->accelerators));
    message.set_slots(static_cast<std::uint32_t>(this->slots));
    return message;
}

Resources &Resources::operator+=(const Resources &other)
{
    this->milliCores += other.milliCores;
    this->memoryMb += other.memoryMb;
    this->accelerators += other.accelerators;
    this->slots += other.slots;
    return *this;
}

Resources &Resources::operator-=(const Resources &other)
{
    this->milliCores -= other.milliCores;
    this->memoryMb -= other.memoryMb;
    this->accelerators -= other.accelerators;
    this->slots -= other.slots;
    return *this;
}

bool Resources::fitsIn(const Resources &other) const
{
    return this->milliCores <= other.milliCores && this->memoryMb <= other.memoryMb &&
           this->accelerators <= other.accelerators && this->slots <= other.slots;
}

std::string Resources::text() const
{
    return std::to_string(this->milliCores) + " mCPU, " + std::to_string(this->memoryMb) + " MB, " +
           std::to_string(this->accelerators) + " accelerators, " + std::to_string(this->slots) +
           " slots";
}

Resources operator+(Resources left, const Resources &right)
{
    left += right;
    return left;
}

Resources operator-(Resources left, const Resources &right)
{
    left -= right;
    return left;
}

} // namespace godwitfall
