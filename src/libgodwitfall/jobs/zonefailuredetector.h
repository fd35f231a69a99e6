#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "clock.h"
#include "ids.h"

namespace godwitfall {

/**
 * Tells availability zones that have fallen silent as a whole: a failure detector over groups.
 *
 * Workers of one zone answer far more often together than each does by itself, so that a zone that
 * is cut off shows long before its workers count as silent one by one. Silence is measured against
 * what was heard of other zones: a process that was paused takes no zone for silent.
 */
class ZoneFailureDetector
{
public:
    /** Answers of a zone that may be missing in a row. */
    static constexpr std::int64_t missedAnswers = 8;
    /** Least silence that counts; above the way there and back and a slow answer. */
    static constexpr Duration leastSilence{300};
    /** Silence that counts however few workers a zone has. */
    static constexpr Duration mostSilence{1500};

    /** Each worker answers at least once in the time. */
    explicit ZoneFailureDetector(Duration answerGap);

    /** Counts a worker of the zone. */
    void addWorker(const ZoneId &zone);

    /** Forgets how many workers there are, and keeps what was heard. */
    void resetWorkerCounts();

    void responded(const ZoneId &zone, Instant now);

    /** Returns whether none of the zone's workers is heard while others are. */
    bool unresponsive(const ZoneId &zone) const;

    void clear();

private:
    struct Zone
    {
        std::int64_t workers = 0;
        Instant lastSeenAt;
    };

    const Duration answerGap;
    std::map<std::string, Zone> zones;
    Instant newest; ///< When any zone was heard last.
};

} // namespace godwitfall
