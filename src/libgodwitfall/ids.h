#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace godwitfall {

/** Typed name: ids of different kinds don't convert into each other. */
template <class Tag>
class NameId
{
public:
    NameId() = default;
    explicit NameId(std::string text)
        : text(std::move(text))
    {}

    const std::string &value() const { return this->text; }
    bool empty() const { return this->text.empty(); }
    auto operator<=>(const NameId &) const = default;

private:
    std::string text;
};

/** Typed number: ids of different kinds don't convert into each other. */
template <class Tag>
class NumberId
{
public:
    constexpr NumberId() = default;
    constexpr explicit NumberId(std::uint64_t number)
        : number(number)
    {}

    constexpr std::uint64_t value() const { return this->number; }
    constexpr auto operator<=>(const NumberId &) const = default;

private:
    std::uint64_t number = 0;
};

using WorkerId = NameId<struct WorkerTag>;
using InstanceId = NameId<struct InstanceTag>;
using ZoneId = NameId<struct ZoneTag>;
using TaskId = NameId<struct TaskTag>;
using RequestId = NameId<struct RequestTag>;
using CallId = NameId<struct CallTag>;
using ServiceId = NameId<struct ServiceTag>;
using RecordId = NameId<struct RecordTag>;

/** Rises with each grant of a worker's lease; the worker refuses orders with a lower one. */
using Epoch = NumberId<struct EpochTag>;
/** Position in the log. */
using Offset = NumberId<struct OffsetTag>;
/** Identifies one run of a process; it is higher after each restart. */
using Incarnation = NumberId<struct IncarnationTag>;
/** Identifies a caller that waits for an answer from this process. */
using CallerToken = NumberId<struct CallerTokenTag>;

} // namespace godwitfall

template <class Tag>
struct std::hash<godwitfall::NameId<Tag>>
{
    std::size_t operator()(const godwitfall::NameId<Tag> &id) const
    {
        return std::hash<std::string>()(id.value());
    }
};
