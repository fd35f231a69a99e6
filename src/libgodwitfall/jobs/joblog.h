#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "jobtable.h"

namespace godwitfall {

/** The logs that the store keeps for jobs. */
enum class LogStream : std::uint8_t {
    Jobs,     ///< What every instance follows: submissions, cancels, states, ownership.
    Progress, ///< What only coordinators read: where tasks are placed, what was learnt.
};

/** Makes an append idempotent and fences writers of earlier epochs. */
struct AppendIdentity
{
    std::string producer;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

/** How the store answered an append. */
enum class AppendOutcome : std::uint8_t {
    Stored,
    EndMoved,   ///< The log's end was not where the append expected it; nothing was done.
    Fenced,     ///< A later epoch of the producer has written; nothing was done.
    OutOfOrder, ///< The sequence number does not follow the last one; nothing was done.
    Refused,    ///< The store did nothing and may be asked again.
    Full,       ///< The store holds as much as it may; nothing was done.
    NotSent,    ///< No byte reached the store.
    Unanswered, ///< It may have been stored, or may be later.
};

struct AppendReply
{
    AppendOutcome outcome = AppendOutcome::Unanswered;
    std::uint64_t offset = 0;           ///< Of the first record, when stored.
    std::uint64_t expectedSequence = 0; ///< When out of order.
};

/** Appends to the logs of jobs. */
class JobLog
{
public:
    using Done = std::function<void(const AppendReply &)>;

    virtual ~JobLog() = default;

    /** Appends the records all or none; at: the offset at which the stream must end, if any. */
    virtual void append(LogStream stream, const std::vector<JobRecord> &records,
                        const AppendIdentity &identity, std::optional<std::uint64_t> at,
                        Done done) = 0;
};

} // namespace godwitfall
