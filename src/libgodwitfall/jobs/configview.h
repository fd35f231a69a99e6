#pragma once

#include <cstdint>
#include <optional>

#include "clock.h"
#include "queueconfig.h"

namespace godwitfall {

/** The newest version of the configuration that an instance has read, and how old that view is. */
class ConfigView
{
public:
    /** applyTime: from a version's acknowledgement until it must be in force. */
    explicit ConfigView(Duration applyTime);

    /** Returns the configuration in force, or null before the first one was read. */
    const JobConfig *current() const { return this->config ? &*this->config : nullptr; }

    /** Returns the version in force; 0 before the first one was read. */
    std::uint64_t version() const { return this->config ? this->config->version : 0; }

    /** Puts the configuration into force; returns false, without effect, unless it is newer. */
    bool apply(const JobConfig &newer);

    /** Records that every version stored at the time has been read. */
    void readTo(Instant asOf);

    /** Returns how long ago every stored version had been read. */
    Duration age(Instant now) const { return now - this->viewedAt; }

    /** Returns whether the view is recent enough to say that a queue does not exist. */
    bool mayDenyQueue(Instant now) const { return this->age(now) <= this->longestDenialAge; }

private:
    const Duration longestDenialAge;
    std::optional<JobConfig> config;
    Instant viewedAt{-1000000};
};

} // namespace godwitfall
