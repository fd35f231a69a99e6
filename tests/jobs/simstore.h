#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "joblog.h"

namespace godwitfall::jobtests {

/** Simulates the platform's store: a log with fenced, idempotent appends. */
class SimStore
{
public:
    /** Executes an append by the platform's rules. */
    AppendReply append(const std::vector<JobRecord> &records, const AppendIdentity &identity,
                       std::optional<std::uint64_t> at);

    const std::vector<JobRecord> &log() const { return this->records; }

    /** Returns the newest record of each key. */
    std::vector<JobRecord> newest() const;

    StoreLimits limits;
    std::uint64_t bytesWritten = 0; ///< Of all appends that were done.
    bool fences = true; ///< Off: accepts appends of earlier epochs, to show that checks notice.

private:
    /** Newest epoch and appends of one producer. */
    struct Producer
    {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        std::map<std::uint64_t, AppendReply> replies;
    };

    std::vector<JobRecord> records;
    std::map<std::string, Producer> producers;
};

} // namespace godwitfall::jobtests
