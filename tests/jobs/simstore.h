#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "joblog.h"

namespace godwitfall::jobtests {

/** The platform's store in one process: a log with fenced, idempotent appends. */
class SimStore
{
public:
    /** Executes an append as the platform's pages say. */
    AppendReply append(const std::vector<JobRecord> &records, const AppendIdentity &identity,
                       std::optional<std::uint64_t> at);

    const std::vector<JobRecord> &log() const { return this->records; }

    /** Returns the newest record of each key. */
    std::vector<JobRecord> newest() const;

    bool fences = true; ///< Off: appends of earlier epochs are taken, to show that checks notice.

private:
    struct Producer
    {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        std::map<std::uint64_t, AppendReply> answered;
    };

    std::vector<JobRecord> records;
    std::map<std::string, Producer> producers;
};

} // namespace godwitfall::jobtests
