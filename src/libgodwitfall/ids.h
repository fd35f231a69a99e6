#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace godwitfall {

/** A name that can't be mistaken for a name of another kind. */
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

/** A number that can't be mistaken for a number of another kind. */
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

/** Rises with each grant of a worker; the worker refuses orders that bear a lower one. */
using Epoch = NumberId<struct EpochTag>;
/** Position in the log. */
using Offset = NumberId<struct OffsetTag>;
/** Names one life of a process; a later life has a higher one. */
using Incarnation = NumberId<struct IncarnationTag>;
/** Names a caller that waits for an answer from this process. */
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
