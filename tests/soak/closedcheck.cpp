#include "closedcheck.h"

#include <algorithm>
#include <map>

#include "soaklayout.h"

namespace godwitfall::soak {

namespace {

constexpr std::size_t crashesOfCause = 2; ///< From the platform.

/** Returns the size of the largest entry of a task of the job. */
template <typename Entries>
std::size_t highestOf(const std::map<TaskRef, Entries> &entries, const JobId &job)
{
    std::size_t highest = 0;
    for (const auto &[task, ofTask] : entries) {
        highest = task.job == job ? std::max(highest, ofTask.size()) : highest;
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
    return highestOf(this->ledger.failedRuns, job.id) >=
               static_cast<std::size_t>(SoakLayout::maxAttempts) ||
           (!job.lasts() && highestOf(this->ledger.crashedRuns, job.id) >= crashesOfCause);
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
           std::to_string(highestOf(this->ledger.failedRuns, job.id)) +
           " failed ends and crashes under " +
           std::to_string(highestOf(this->ledger.crashedRuns, job.id)) + " begun runs";
}

} // namespace godwitfall::soak
