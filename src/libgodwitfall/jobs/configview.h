#pragma once

#include <algorithm>
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

    /** Notes that the version exists; returns whether it is the first newer one that is known. */
    bool noteVersion(std::uint64_t known);

    /** Returns the newest version that is known to exist. */
    std::uint64_t newestVersion() const { return std::max(this->newestKnown, this->version()); }

    /** Returns whether a newer version than the one in force is known to exist. */
    bool outdated() const { return this->newestKnown > this->version(); }

    /** Notes that an answer by the version was passed on to a client. */
    void noteShown(std::uint64_t version) { this->shown = std::max(this->shown, version); }

    /** Returns whether clients have had an answer by a newer version than the one in force; an
     * answer by this one would take that back. */
    bool hasShownNewer() const { return this->shown > this->version(); }

    /** Records that every version stored at the time has been read. */
    void readTo(Instant asOf);

    /** Returns how long ago every stored version had been read. */
    Duration age(Instant now) const { return now - this->viewedAt; }

    /** Returns whether the view is recent enough to say that a queue does not exist. */
    bool mayDenyQueue(Instant now) const
    {
        return !this->outdated() && this->age(now) <= this->longestDenialAge;
    }

private:
    const Duration longestDenialAge;
    std::optional<JobConfig> config;
    std::uint64_t newestKnown = 0; ///< Newest version that another instance has told of.
    std::uint64_t shown = 0;       ///< Newest version of an answer that was passed on.
    Instant viewedAt{-1000000};
};

} // namespace godwitfall
