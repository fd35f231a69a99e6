#pragma once

#include <compare>
#include <cstdint>

namespace godwitfall {

/** A length of time in milliseconds; may be negative. */
class Duration
{
public:
    constexpr Duration() = default;
    constexpr explicit Duration(std::int64_t milliseconds)
        : milliseconds(milliseconds)
    {}

    constexpr std::int64_t count() const { return this->milliseconds; }
    constexpr auto operator<=>(const Duration &) const = default;
    constexpr Duration operator+(Duration other) const
    {
        return Duration(this->milliseconds + other.milliseconds);
    }
    constexpr Duration operator-(Duration other) const
    {
        return Duration(this->milliseconds - other.milliseconds);
    }
    constexpr Duration operator*(std::int64_t factor) const
    {
        return Duration(this->milliseconds * factor);
    }
    constexpr Duration operator/(std::int64_t divisor) const
    {
        return Duration(this->milliseconds / divisor);
    }

private:
    std::int64_t milliseconds = 0;
};

/** A time in milliseconds on one process's steady clock; not comparable between processes. */
class Instant
{
public:
    constexpr Instant() = default;
    constexpr explicit Instant(std::int64_t milliseconds)
        : milliseconds(milliseconds)
    {}

    constexpr std::int64_t sinceStart() const { return this->milliseconds; }
    constexpr auto operator<=>(const Instant &) const = default;
    constexpr Instant operator+(Duration length) const
    {
        return Instant(this->milliseconds + length.count());
    }
    constexpr Instant operator-(Duration length) const
    {
        return Instant(this->milliseconds - length.count());
    }
    constexpr Duration operator-(Instant earlier) const
    {
        return Duration(this->milliseconds - earlier.milliseconds);
    }

private:
    std::int64_t milliseconds = 0;
};

} // namespace godwitfall
