#include "workerstate.h"

#include <algorithm>
#include <utility>

namespace godwitfall {

namespace {

Resources reservedBy(const jobs::StepSpec &step)
{
    Resources need;
    need.milliCores = step.fills() ? 0 : step.milli_cores();
    need.memoryMb = step.memory_mb();
    need.accelerators = step.accelerators();
    return need;
}

} // namespace

WorkerState::WorkerState(WorkerEntry entry)
    : entry(std::move(entry))
{}

void WorkerState::sampleClock(std::int64_t clockMs, Instant receivedAt)
{
    this->sampleMs = clockMs;
    this->sampledAt = receivedAt;
}

std::int64_t WorkerState::leaseEnd(Instant now, Duration length) const
{
    if (!this->heard) {
        return 0;
    }
    return this->sampleMs + (now - this->sampledAt).count() + length.count();
}

void WorkerState::noteLeaseEnd(std::int64_t endMs)
{
    this->longestEndMs = std::max(this->longestEndMs, endMs);
}

Instant WorkerState::lapsesAt(const WorkerBounds &bounds) const
{
    if (!this->heard) {
        return this->unheardLapse;
    }
    const double left = static_cast<double>(this->longestEndMs - this->sampleMs);
    return this->sampledAt + Duration(static_cast<std::int64_t>(left / (1.0 - clockDrift))) +
           bounds.stopTime + lapseMargin;
}

void WorkerState::assign(const TaskRef &ref, Job &job)
{
    if (!this->tasks.emplace(ref, &job).second) {
        return;
    }
    const jobs::StepSpec &step = job.stepSpec(ref.step);
    this->reserved += reservedBy(step);
    if (step.fills()) {
        this->fillMilliCores += step.milli_cores();
    }
}

void WorkerState::release(const TaskRef &ref)
{
    const auto found = this->tasks.find(ref);
    if (found == this->tasks.end()) {
        return;
    }
    const jobs::StepSpec &step = found->second->stepSpec(ref.step);
    this->reserved -= reservedBy(step);
    if (step.fills()) {
        this->fillMilliCores -= step.milli_cores();
    }
    this->tasks.erase(found);
}

bool WorkerState::fits(const jobs::StepSpec &step) const
{
    return (this->reserved + reservedBy(step)).fitsIn(this->entry.capacity);
}

std::uint32_t WorkerState::countOf(const JobId &job, std::uint32_t occurrence,
                                   std::uint32_t step) const
{
    std::uint32_t count = 0;
    for (auto at = this->tasks.lower_bound(TaskRef{job, occurrence, step, 0});
         at != this->tasks.end() && at->first.job == job && at->first.occurrence == occurrence &&
         at->first.step == step;
         ++at) {
        ++count;
    }
    return count;
}

} // namespace godwitfall
