#include "closedcheck.h"

#include <algorithm>
#include <map>

#include "soaklayout.h"

namespace godwitfall::soak {

namespace {

constexpr int crashesOfCause = 2; ///< From the platform.

/** Returns the highest count of a task of the job. */
int highestOf(const std::map<TaskRef, int> &counts, const JobId &job)
{
    int highest = 0;
    for (const auto &[task, count] : counts) {
        highest = task.job == job ? std::max(highest, count) : highest;
    }
    return highest;
}

} // namespace

bool ClosedCheck::isFailed(const std::string &shown)
{
    return shown.find(R"("state":"failed")") != std::string::npos;
}

bool ClosedCheck::hasCause(const SoakJob &job) const
{
    return highestOf(this->ledger.failedEnds, job.id) >= SoakLayout::maxAttempts ||
           (!job.lasts() && highestOf(this->ledger.crashesUnderRuns, job.id) >= crashesOfCause);
}

std::string ClosedCheck::check(const SoakJob &job, const std::string &instance,
                               const std::string &shown)
{
    const bool isWrong = isFailed(shown) && !job.cancelSent && !this->hasCause(job);
    if (!isWrong || !this->reported.insert(job.id).second) {
        return {};
    }
    return "job " + job.id.value() + " is shown as failed without cause by " + instance +
           (job.lasts() ? ", its task lasts" : "") + ": of one task at most " +
           std::to_string(highestOf(this->ledger.failedEnds, job.id)) +
           " failed ends and crashes under " +
           std::to_string(highestOf(this->ledger.crashesUnderRuns, job.id)) + " begun runs";
}

} // namespace godwitfall::soak
