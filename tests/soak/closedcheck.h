#pragma once

#include <set>
#include <string>

#include "simworker.h"
#include "soakjob.h"

namespace godwitfall::soak {

/**
 * Checks that jobs are shown as failed only with a cause, by what workers have seen: a task ended
 * as failed as often as it may, or two workers crashed under begun runs of one task that does not
 * last.
 */
class ClosedCheck
{
public:
    explicit ClosedCheck(const jobtests::FleetLedger &ledger)
        : ledger(ledger)
    {}

    /** Returns whether what has happened so far may have failed the job. */
    bool hasCause(const SoakJob &job) const;

    /** Returns what is wrong with the state that the instance shows; empty: nothing, or it was
     * returned before. */
    std::string check(const SoakJob &job, const std::string &instance, const std::string &shown);

    /** Returns whether the body of an answer shows a job as failed. */
    static bool isFailed(const std::string &shown);

private:
    const jobtests::FleetLedger &ledger;
    std::set<JobId> reported;
};

} // namespace godwitfall::soak
