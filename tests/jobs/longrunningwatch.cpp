#include "longrunningwatch.h"

#include <algorithm>
#include <sstream>

namespace godwitfall::jobtests {

namespace {

// The platform's rule for long-running tasks. A task is judged from notJudgedMs after its last run;
// it is LOST when it does not run for longestIdleMs with capacity for it, and those and the
// calmBeforeMs before them are calm.
constexpr std::int64_t notJudgedMs = 6000;
constexpr std::int64_t calmBeforeMs = 4000;
constexpr std::int64_t longestIdleMs = 3000;

std::string textOf(const TaskRef &ref)
{
    return ref.job.value() + "." + std::to_string(ref.index);
}

} // namespace

std::vector<TaskRef> LongRunningWatch::tasks() const
{
    std::vector<TaskRef> refs;
    for (const auto &[ref, watched] : this->watchedTasks) {
        refs.push_back(ref);
    }
    return refs;
}

bool LongRunningWatch::isRunning(const TaskRef &ref) const
{
    const auto &running = this->simulation.ledger().running;
    const auto found = running.find(ref);
    return found != running.end() && !found->second.empty();
}

std::optional<std::int64_t> LongRunningWatch::mustRunBy(const TaskRef &ref,
                                                        std::int64_t calmFromMs) const
{
    const std::optional<std::int64_t> accepted = this->simulation.acceptedAt(ref.job);
    if (!accepted) {
        return std::nullopt;
    }
    std::int64_t lastRunMs = *accepted;
    const auto last = this->simulation.ledger().lastEnds.find(ref);
    if (last != this->simulation.ledger().lastEnds.end()) {
        if (last->second.startedLate) {
            return std::nullopt;
        }
        lastRunMs = std::max(lastRunMs, last->second.atMs);
    }
    return std::max(lastRunMs + notJudgedMs, calmFromMs + calmBeforeMs) + longestIdleMs;
}

void LongRunningWatch::check(std::int64_t beginMs, std::int64_t calmFromMs)
{
    this->calmFromMs = calmFromMs;
    const std::int64_t now = this->simulation.now();
    for (auto &[ref, watched] : this->watchedTasks) {
        if (this->isRunning(ref)) {
            if (watched.overdueSinceMs) {
                this->noteLate(ref, watched, beginMs);
            }
            watched = Watched();
            continue;
        }
        if (watched.stoppedMs == 0) {
            watched.stoppedMs = now;
        }
        std::string view = this->simulation.ownerView(ref);
        if (view != watched.view) {
            watched.trace += "\n    " + std::to_string(now - beginMs) + ": " + view;
            watched.view = std::move(view);
        }
        const std::optional<std::int64_t> bound = this->mustRunBy(ref, calmFromMs);
        if (bound && now > *bound && !watched.overdueSinceMs) {
            watched.overdueSinceMs = *bound;
            watched.overdueView = watched.view;
        }
    }
}

void LongRunningWatch::noteLate(const TaskRef &ref, const Watched &watched, std::int64_t beginMs)
{
    const std::int64_t now = this->simulation.now();
    std::ostringstream text;
    text << textOf(ref) << " did not run from " << watched.stoppedMs - beginMs << " to "
         << now - beginMs << " ms, calm from " << this->calmFromMs - beginMs << ", had to by "
         << *watched.overdueSinceMs - beginMs << ": " << now - *watched.overdueSinceMs
         << " late; then " << watched.overdueView << watched.trace;
    this->late.push_back(text.str());
}

std::vector<std::string> LongRunningWatch::lateTasks(std::int64_t beginMs)
{
    for (const auto &[ref, watched] : this->watchedTasks) {
        if (watched.overdueSinceMs) {
            this->noteLate(ref, watched, beginMs);
        }
    }
    return this->late;
}

} // namespace godwitfall::jobtests
