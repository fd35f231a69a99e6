#pragma once

#include <cstdint>
#include <string>

#include "godwitfall.pb.h"

namespace godwitfall {

/** Amounts of the resources that a worker offers and that tasks and calls use. */
struct Resources
{
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;
    std::int64_t slots = 0;

    static Resources fromWire(const wire::Resources &message);
    wire::Resources toWire() const;

    Resources &operator+=(const Resources &other);
    Resources &operator-=(const Resources &other);
    bool operator==(const Resources &) const = default;

    /** Returns whether each amount is at most the other's. */
    bool fitsIn(const Resources &other) const;

    /** Returns the amounts as text, with units. */
    std::string text() const;
};

Resources operator+(Resources left, const Resources &right);
Resources operator-(Resources left, const Resources &right);

} // namespace godwitfall
