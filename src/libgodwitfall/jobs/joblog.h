#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "clock.h"
#include "jobtable.h"

namespace godwitfall {

/** The log streams that the store keeps for jobs. */
enum class LogStream : std::uint8_t {
    Jobs,     ///< Followed by every instance: submissions, cancels, states, ownership.
    Progress, ///< Read only by coordinators: placements of tasks, learned pressures.
};

/** What the store takes at most. */
struct StoreLimits
{
    std::size_t recordBytes = 262144; ///< Of one record, with its key.
    std::size_t callBytes = 2097152;  ///< Of all records of one append.
};

/** Returns the size of the record in the store. */
std::size_t storedBytes(const JobRecord &record);

/** Makes an append idempotent and fences writers of earlier epochs. */
struct AppendIdentity
{
    std::string producer;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
};

/** Outcome of an append. */
enum class AppendOutcome : std::uint8_t {
    Stored,
    EndMoved,   ///< The stream does not end at the expected offset; nothing was done.
    Fenced,     ///< A later epoch of the producer has written; nothing was done.
    OutOfOrder, ///< The sequence number does not follow the last one; nothing was done.
    Refused,    ///< The store did nothing; the append may be retried.
    Full,       ///< The store has no space left; nothing was done.
    Rejected,   ///< The store will never take these records; nothing was done.
    NotSent,    ///< No byte of it reached the store.
    Unanswered, ///< No reply; it may have been stored, or may still be.
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

    /** Appends all records or none; if at is given, only when the stream ends at that offset. */
    virtual void append(LogStream stream, const std::vector<JobRecord> &records,
                        const AppendIdentity &identity, std::optional<std::uint64_t> at,
                        Done done) = 0;
};

} // namespace godwitfall
