#include "workerstate.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace godwitfall {

namespace {

/** Incarnations of which late replies and registry entries are recognised. */
constexpr std::size_t formerIncarnationsKept = 16;

/** Sorts before all runs of the step. */
RunRef firstRunOf(const StepRef &step)
{
    return RunRef{TaskRef{step.job, step.occurrence, step.step, 0}, 0};
}

bool isOf(const TaskRef &task, const StepRef &step)
{
    return task.job == step.job && task.occurrence == step.occurrence && task.step == step.step;
}

constexpr std::array<const char *, 6> endNames = {"done",   "failed", "stopped",
                                                  "lapsed", "broken", "alone"};

} // namespace

const char *toText(RunEnd end)
{
    return endNames.at(static_cast<std::size_t>(end));
}

Resources reservedBy(const jobs::StepSpec &step)
{
    Resources need;
    need.milliCores = step.fills() ? 0 : step.milli_cores();
    need.memoryMb = step.memory_mb();
    need.accelerators = step.accelerators();
    return need;
}

bool OrphanRun::endedIfUnlisted(Instant askedAt) const
{
    if (this->lastListedIn > 0) {
        return true;
    }
    const bool stopped = this->stoppedAt != Instant() && this->stoppedAt < askedAt;
    return stopped || (this->knownSince < askedAt && askedAt >= this->mayBeginUntil);
}

WorkerState::WorkerState(WorkerEntry entry)
    : entry(std::move(entry))
    , incarnationStartMs(this->entry.incarnationStartMs)
{}

void WorkerState::beginIncarnation(std::int64_t startMs, Instant now)
{
    if (this->incarnationStartMs != 0) {
        this->formerIncarnations.push_back(this->incarnationStartMs);
    }
    if (this->formerIncarnations.size() > formerIncarnationsKept) {
        this->formerIncarnations.pop_front();
    }
    this->incarnationStartMs = startMs;
    ++this->incarnation;
    this->ends = EndNumbers();
    this->responded = false;
    this->repliedAt = Instant();
    this->repliedNotBefore = Instant();
    this->closedAt = Instant();
    this->lastClosedAt = Instant();
    this->holdDue = now;
    this->earlierLeasesLapse = now;
    this->latestLeaseEndMs = 0;
    this->orphans.clear();
    this->orphansReserved = Resources();
}

bool WorkerState::hadIncarnation(std::int64_t startMs) const
{
    return std::find(this->formerIncarnations.begin(), this->formerIncarnations.end(), startMs) !=
           this->formerIncarnations.end();
}

void WorkerState::noteReply(Instant sentAt, Instant notBefore, Instant now)
{
    this->repliedAt = now;
    this->repliedNotBefore = std::max(sentAt, notBefore);
    // A reply that was on its way when the connection was closed tells nothing of the time after.
    if (sentAt > this->closedAt) {
        this->closedAt = Instant();
    }
}

void WorkerState::noteClosed(Instant now)
{
    if (this->closedAt == Instant()) {
        this->closedAt = now;
        this->closedAgain = false;
    }
    const Duration since = now - this->closedAt;
    this->closedAgain = this->closedAgain || (since >= nextCallAfter && since <= nextCallWithin);
    this->lastClosedAt = now;
}

bool WorkerState::noteNoReply(Instant sentAt)
{
    // Where a process has crashed, connections are refused; calls on a cut path end by timeouts.
    const bool timedOut = sentAt > this->lastClosedAt;
    if (timedOut) {
        this->closedAt = Instant();
    }
    return timedOut;
}

void WorkerState::sampleClock(std::int64_t clockMs, Instant receivedAt)
{
    this->clockSampleMs = clockMs;
    this->sampledAt = receivedAt;
}

std::int64_t WorkerState::leaseEnd(Duration length) const
{
    return this->responded ? this->clockSampleMs + length.count() : 0;
}

void WorkerState::noteLeaseEnd(std::int64_t endMs)
{
    this->latestLeaseEndMs = std::max(this->latestLeaseEndMs, endMs);
}

Instant WorkerState::lapsesAt(const WorkerBounds &bounds) const
{
    if (!this->responded) {
        return this->earlierLeasesLapse;
    }
    const auto leftOnItsClock = static_cast<double>(this->latestLeaseEndMs - this->clockSampleMs);
    const Duration left(static_cast<std::int64_t>(leftOnItsClock / (1.0 - clockDrift)));
    return this->sampledAt + left + bounds.stopTime + lapseMargin;
}

void WorkerState::assign(const TaskRef &ref, Job &job)
{
    if (!this->tasks.emplace(ref, &job).second) {
        return;
    }
    if (job.crashesUnder(ref) > 0) {
        this->suspects.insert(ref);
    }
    const jobs::StepSpec &step = job.stepSpec(ref.step);
    this->invalidatePlacementCosts();
    this->reserved += reservedBy(step);
    if (step.fills()) {
        this->bestEffortMilliCores += step.milli_cores();
    }
}

OrphanRun &WorkerState::setOrphan(const RunRef &run, const Resources &resources)
{
    OrphanRun &orphan = this->orphans[run];
    this->orphansReserved -= orphan.reserved;
    this->orphansReserved += resources;
    orphan.reserved = resources;
    return orphan;
}

void WorkerState::removeOrphan(const RunRef &run)
{
    const auto orphan = this->orphans.find(run);
    if (orphan != this->orphans.end()) {
        this->orphansReserved -= orphan->second.reserved;
        this->orphans.erase(orphan);
    }
}

void WorkerState::release(const TaskRef &ref)
{
    const auto found = this->tasks.find(ref);
    if (found == this->tasks.end()) {
        return;
    }
    const jobs::StepSpec &step = found->second->stepSpec(ref.step);
    this->invalidatePlacementCosts();
    this->reserved -= reservedBy(step);
    if (step.fills()) {
        this->bestEffortMilliCores -= step.milli_cores();
    }
    this->suspects.erase(ref);
    this->tasks.erase(found);
    if (this->probe == ref) {
        this->probe.reset();
    }
}

void WorkerState::noteSuccess()
{
    this->failedJobs.clear();
    this->ejectionCount = 0;
    this->onProbation = false;
    this->probe.reset();
}

Resources WorkerState::missingFor(const jobs::StepSpec &step) const
{
    return this->used() + reservedBy(step) - this->entry.capacity;
}

bool WorkerState::fits(const jobs::StepSpec &step) const
{
    return (this->used() + reservedBy(step)).fitsIn(this->entry.capacity);
}

double WorkerState::shareOf(double milliCores) const
{
    return milliCores /
           static_cast<double>(std::max<std::int64_t>(1, this->entry.capacity.milliCores));
}

std::int64_t WorkerState::freeSlots(const jobs::StepSpec &step) const
{
    if (!this->listed || !this->entryIsCurrent() || this->entry.draining || this->zoneEvacuated ||
        !this->responded || this->probe || !this->fits(step)) {
        return 0;
    }
    if (this->onProbation) {
        return 1;
    }
    const auto times = [](std::int64_t free, std::uint64_t need) {
        return need > 0 ? free / static_cast<std::int64_t>(need)
                        : std::numeric_limits<std::int64_t>::max();
    };
    const Resources free = this->entry.capacity - this->used();
    return std::min(times(free.milliCores, step.milli_cores()),
                    times(free.memoryMb, step.memory_mb()));
}

std::vector<BestEffortShare> WorkerState::pacedBestEffortShares() const
{
    return this->bestEffortShares(false);
}

const std::vector<BestEffortShare> &WorkerState::fullPaceBestEffortShares() const
{
    if (!this->cachedFullPaceShares) {
        this->cachedFullPaceShares = this->bestEffortShares(true);
    }
    return *this->cachedFullPaceShares;
}

std::vector<BestEffortShare> WorkerState::bestEffortShares(bool atFullPace) const
{
    constexpr double fullPace = 100.0;
    std::vector<BestEffortShare> shares;
    for (const auto &[ref, job] : this->tasks) {
        const jobs::StepSpec &step = job->stepSpec(ref.step);
        if (!step.fills()) {
            continue;
        }
        const Task &task = *job->task(ref);
        const double pace = atFullPace ? 1.0 : task.pace / fullPace;
        const bool works = atFullPace || task.phase == TaskPhase::Running;
        const double share = works ? this->shareOf(step.milli_cores() * pace) : 0.0;
        const auto known =
            std::find_if(shares.begin(), shares.end(), [&](const BestEffortShare &entry) {
                return entry.image == step.image() && entry.activity == task.activity;
            });
        if (known != shares.end()) {
            known->share += share;
        } else {
            shares.push_back(BestEffortShare{step.image(), share, task.activity});
        }
    }
    return shares;
}

void WorkerState::invalidatePlacementCosts()
{
    this->interferenceCosts.clear();
    this->serving.reset();
    this->cachedFullPaceShares.reset();
}

std::uint32_t WorkerState::countOf(const StepRef &step) const
{
    if (this->orphans.empty()) {
        return this->countPlaced(step);
    }
    std::set<TaskRef> orphaned;
    for (auto at = this->orphans.lower_bound(firstRunOf(step));
         at != this->orphans.end() && isOf(at->first.task, step); ++at) {
        if (!this->tasks.contains(at->first.task)) {
            orphaned.insert(at->first.task);
        }
    }
    return this->countPlaced(step) + static_cast<std::uint32_t>(orphaned.size());
}

std::uint32_t WorkerState::countPlaced(const StepRef &step) const
{
    std::uint32_t count = 0;
    for (auto at = this->tasks.lower_bound(firstRunOf(step).task);
         at != this->tasks.end() && isOf(at->first, step); ++at) {
        ++count;
    }
    return count;
}

std::uint32_t WorkerState::countOrphans(const StepRef &step) const
{
    std::uint32_t count = 0;
    for (auto at = this->orphans.lower_bound(firstRunOf(step));
         at != this->orphans.end() && isOf(at->first.task, step); ++at) {
        ++count;
    }
    return count;
}

} // namespace godwitfall
