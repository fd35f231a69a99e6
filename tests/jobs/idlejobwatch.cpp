#include "idlejobwatch.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace godwitfall::jobtests {

namespace {

// The platform's rule for all jobs, judged from judgedFromMs after the end of the traffic: a job is
// LOST when nothing of it runs for longestIdleMs while there is capacity for a task whose turn has
// come.
constexpr std::int64_t judgedFromMs = 14000;
constexpr std::int64_t longestIdleMs = 3000;
constexpr std::size_t tasksPerWorker = 6; ///< Of a simulation.

/** Calls the function with each task of the step until it returns false; returns whether it did
 * not. */
template <typename Function>
bool forEachTask(const JobId &id, const jobs::JobSpec &spec, std::uint32_t step,
                 const Function &function)
{
    for (std::uint32_t index = 0; index < spec.steps(static_cast<int>(step)).count(); ++index) {
        if (!function(TaskRef{id, 0, step, index})) {
            return false;
        }
    }
    return true;
}

} // namespace

bool IdleJobWatch::hasEnded(const JobId &id) const
{
    const FleetLedger &ledger = this->simulation.ledger();
    const jobs::JobSpec &spec = this->simulation.specOf(id);
    for (int step = 0; step < spec.steps_size(); ++step) {
        if (!forEachTask(id, spec, static_cast<std::uint32_t>(step),
                         [&](const TaskRef &ref) { return ledger.everDone.contains(ref); })) {
            return false;
        }
    }
    return true;
}

bool IdleJobWatch::isIdle(const JobId &id) const
{
    const FleetLedger &ledger = this->simulation.ledger();
    const jobs::JobSpec &spec = this->simulation.specOf(id);
    const auto isDone = [&](const TaskRef &ref) {
        return ledger.everDone.contains(ref);
    };
    const auto isOver = [&](const TaskRef &ref) {
        const auto found = ledger.running.find(ref);
        return isDone(ref) || found == ledger.running.end() || found->second.empty();
    };
    bool hasTurn = false;
    for (int index = 0; index < spec.steps_size(); ++index) {
        const auto step = static_cast<std::uint32_t>(index);
        const auto &after = spec.steps(index).after();
        const bool due = std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
            return forEachTask(id, spec, earlier, isDone);
        });
        if (!due || forEachTask(id, spec, step, isDone)) {
            continue;
        }
        if (!forEachTask(id, spec, step, isOver)) {
            return false;
        }
        hasTurn = true;
    }
    return hasTurn;
}

bool IdleJobWatch::startedLate(const JobId &id) const
{
    const FleetLedger &ledger = this->simulation.ledger();
    const jobs::JobSpec &spec = this->simulation.specOf(id);
    for (int step = 0; step < spec.steps_size(); ++step) {
        const bool none =
            forEachTask(id, spec, static_cast<std::uint32_t>(step), [&](const TaskRef &ref) {
                const auto found = ledger.lastEnds.find(ref);
                return found == ledger.lastEnds.end() || !found->second.startedLate;
            });
        if (!none) {
            return true;
        }
    }
    return false;
}

bool IdleJobWatch::hasAmpleCapacity() const
{
    std::size_t slots = 0;
    for (std::size_t worker = 0; worker < this->simulation.workersEver(); ++worker) {
        slots += this->simulation.workerUp(worker) ? tasksPerWorker : 0;
    }
    std::size_t used = 0;
    for (const auto &[ref, runs] : this->simulation.ledger().running) {
        used += runs.size();
    }
    return used * 2 < slots;
}

bool IdleJobWatch::allDone() const
{
    const std::vector<JobId> &accepted = this->simulation.accepted();
    return std::all_of(accepted.begin(), accepted.end(),
                       [this](const JobId &id) { return this->hasEnded(id); });
}

void IdleJobWatch::check(std::int64_t beginMs, std::int64_t calmFromMs)
{
    this->calmFromMs = calmFromMs;
    const std::int64_t now = this->simulation.now();
    const bool ample = this->hasAmpleCapacity();
    for (const JobId &id : this->simulation.accepted()) {
        if (!ample || !this->isIdle(id)) {
            if (const auto found = this->idle.extract(id)) {
                this->noteEnd(id, found.mapped(), beginMs);
            }
            continue;
        }
        Idle &idle = this->idle.try_emplace(id, Idle{now, {}, {}, {}, now, {}}).first->second;
        std::string view = this->simulation.ownerView(id);
        if (view != idle.view) {
            idle.trace += "\n    " + std::to_string(now - beginMs) + ": " + view;
            idle.view = std::move(view);
        }
        idle.views[idle.view] += now - std::exchange(idle.checkedMs, now);
        const std::int64_t bound =
            std::max(idle.sinceMs, calmFromMs + judgedFromMs) + longestIdleMs;
        if (now > bound && !idle.overdueSinceMs && !this->startedLate(id)) {
            idle.overdueSinceMs = bound;
        }
    }
}

void IdleJobWatch::noteEnd(const JobId &id, const Idle &idle, std::int64_t beginMs)
{
    if (!idle.overdueSinceMs) {
        return;
    }
    const std::int64_t now = this->simulation.now();
    const auto longest =
        std::max_element(idle.views.begin(), idle.views.end(),
                         [](const auto &a, const auto &b) { return a.second < b.second; });
    std::ostringstream text;
    text << id.value() << " stood still from " << idle.sinceMs - beginMs << " to " << now - beginMs
         << " ms, calm from " << this->calmFromMs - beginMs << ": " << now - *idle.overdueSinceMs
         << " late; longest: " << longest->first << idle.trace;
    this->broken.push_back(text.str());
}

std::vector<std::string> IdleJobWatch::idleJobs(std::int64_t beginMs)
{
    for (const auto &[id, idle] : this->idle) {
        this->noteEnd(id, idle, beginMs);
    }
    this->idle.clear();
    return this->broken;
}

} // namespace godwitfall::jobtests
