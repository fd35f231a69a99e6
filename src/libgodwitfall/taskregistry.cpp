#include "taskregistry.h"

#include <algorithm>

#include "invariant.h"

namespace godwitfall {

namespace {

constexpr std::size_t terminalLimit = 20000;
/** A task is abandoned once attempts have failed on this many different workers. */
constexpr int maxFailedWorkers = 3;
/** Every so many pending tasks, one is picked by age instead of urgency. */
constexpr std::size_t oldestInterval = 4;

int kindRank(wire::TaskKind kind)
{
    switch (kind) {
    case wire::LATENCY_CRITICAL:
        return 0;
    case wire::WATCH:
        return 1;
    default:
        return 2;
    }
}

} // namespace

bool isTerminal(wire::TaskState state)
{
    return state == wire::FINISHED || state == wire::CALLED_OFF || state == wire::GIVEN_UP;
}

const char *stateName(wire::TaskState state)
{
    switch (state) {
    case wire::PENDING:
        return "pending";
    case wire::CLAIMED:
        return "claimed";
    case wire::FINISHED:
        return "finished";
    case wire::CALLED_OFF:
        return "cancelled";
    case wire::HELD:
        return "held";
    default:
        return "given-up";
    }
}

TaskRegistry::TaskRegistry(const ClaimRules &rules)
    : rules(rules)
{}

TaskRegistry::PendingKey TaskRegistry::pendingKey(const wire::TaskRecord &task)
{
    return {task.spec().team(), task.spec().zone()};
}

TaskRegistry::Urgency TaskRegistry::urgency(const wire::TaskRecord &task)
{
    return {kindRank(task.spec().kind()), -task.spec().priority(), task.submit_offset(),
            task.spec().task()};
}

void TaskRegistry::removeFromIndexes(const wire::TaskRecord &task)
{
    const std::string &name = task.spec().task();
    if (task.state() == wire::PENDING) {
        const auto same = this->pendingTasks.find(pendingKey(task));
        this->pendingTotal -= same->second.byUrgency.erase(urgency(task));
        same->second.byAge.erase({task.submit_offset(), name});
        if (same->second.byUrgency.empty()) {
            this->pendingTasks.erase(same);
        }
    } else if (task.state() == wire::CLAIMED) {
        std::set<std::string> &claimed = this->byWorker[task.worker()];
        claimed.erase(name);
        if (claimed.empty()) {
            this->byWorker.erase(task.worker());
        }
        this->usageByTeam[task.spec().team()] -= task.spec().size().milli_cores();
    }
}

void TaskRegistry::addToIndexes(const wire::TaskRecord &task)
{
    const std::string &name = task.spec().task();
    if (task.state() == wire::PENDING) {
        PendingTasks &same = this->pendingTasks[pendingKey(task)];
        this->pendingTotal += same.byUrgency.insert(urgency(task)).second ? 1 : 0;
        same.byAge.insert({task.submit_offset(), name});
    } else if (task.state() == wire::CLAIMED) {
        this->byWorker[task.worker()].insert(name);
        this->usageByTeam[task.spec().team()] += task.spec().size().milli_cores();
    } else if (isTerminal(task.state())) {
        this->terminalByOffset.insert({task.last_offset(), name});
    }
}

void TaskRegistry::changeState(wire::TaskRecord &task, wire::TaskState state, std::string reason)
{
    checkInvariant(!isTerminal(task.state()), "task-ends-once",
                   [&] { return task.spec().task() + " leaves " + stateName(task.state()); });
    this->removeFromIndexes(task);
    task.set_state(state);
    task.set_reason(std::move(reason));
    if (isTerminal(state)) {
        task.clear_checkpoint();
        task.mutable_spec()->clear_payload();
    }
    this->addToIndexes(task);
    this->dropOldestTerminal();
}

void TaskRegistry::dropOldestTerminal()
{
    while (this->terminalByOffset.size() > terminalLimit) {
        this->tasks.erase(this->terminalByOffset.begin()->second);
        this->terminalByOffset.erase(this->terminalByOffset.begin());
        ++this->droppedTerminal;
    }
}

wire::TaskRecord *TaskRegistry::findOpen(const std::string &task, const wire::Record &record,
                                         Decision &refusal)
{
    const auto found = this->tasks.find(task);
    if (found == this->tasks.end()) {
        refusal = Decision::refuse("no such task: " + task);
        return nullptr;
    }
    if (isTerminal(found->second.state())) {
        refusal = Decision::refuse(task + " is already " + stateName(found->second.state()),
                                   found->second.last_author());
        return nullptr;
    }
    if (record.based_on() != 0 && found->second.last_offset() > record.based_on()) {
        refusal = Decision::refuse(task + " was changed at offset " +
                                       std::to_string(found->second.last_offset()),
                                   found->second.last_author());
        return nullptr;
    }
    return &found->second;
}

Decision TaskRegistry::submit(const wire::Record &record, Offset offset)
{
    const wire::TaskSpec &spec = record.submit().spec();
    if (spec.task().empty()) {
        return Decision::refuse("a task needs a name");
    }
    const auto found = this->tasks.find(spec.task());
    if (found != this->tasks.end()) {
        return Decision::refuse(spec.task() + " was submitted before",
                                std::to_string(found->second.submit_offset()));
    }
    wire::TaskRecord &task = this->tasks[spec.task()];
    *task.mutable_spec() = spec;
    task.set_state(wire::PENDING);
    task.set_throttle_percent(100);
    task.set_submit_offset(offset.value());
    task.set_last_offset(offset.value());
    task.set_last_author(record.author());
    task.set_reason("waits for a worker");
    this->addToIndexes(task);
    return Decision::accept();
}

Decision TaskRegistry::claim(const wire::Record &record, Offset offset)
{
    const wire::ClaimTask &claim = record.claim();
    Decision refusal;
    wire::TaskRecord *task = this->findOpen(claim.key().task(), record, refusal);
    if (task == nullptr) {
        return refusal;
    }
    if (task->state() != wire::PENDING || claim.key().attempt() != task->attempt() + 1) {
        return Decision::refuse("attempt " + std::to_string(claim.key().attempt()) +
                                    " is not the next one",
                                task->instance());
    }
    if (const auto objection = this->rules.objectionTo(claim.worker())) {
        return Decision::refuse(*objection);
    }
    if (!task->pinned_worker().empty() && task->pinned_worker() != claim.worker()) {
        return Decision::refuse("placed on " + task->pinned_worker(), task->last_author());
    }
    const std::int64_t quota = this->rules.teamMilliCores(task->spec().team());
    if (this->teamUsage(task->spec().team()) + task->spec().size().milli_cores() > quota) {
        return Decision::refuse("team " + task->spec().team() + " is at its quota");
    }
    this->removeFromIndexes(*task);
    task->set_attempt(claim.key().attempt());
    task->set_state(wire::CLAIMED);
    task->set_worker(claim.worker());
    task->set_zone(claim.zone());
    task->set_epoch(claim.epoch());
    task->set_worker_incarnation(claim.worker_incarnation());
    task->set_instance(claim.instance());
    task->set_claim_offset(offset.value());
    task->set_last_offset(offset.value());
    task->set_reason("claimed for " + claim.worker());
    this->addToIndexes(*task);
    checkInvariant(this->teamUsage(task->spec().team()) <= quota, "team-within-quota",
                   [&] { return task->spec().team(); });
    return Decision::accept();
}

Decision TaskRegistry::applyEnd(wire::TaskRecord &task, wire::AttemptEnd end,
                                const std::string &checkpoint, const std::string &detail)
{
    if (!checkpoint.empty()) {
        task.set_checkpoint(checkpoint);
    }
    task.set_evict_requested(false);
    const std::string attempt = "attempt " + std::to_string(task.attempt()) + " ";
    const bool resumes = end == wire::NEVER_STARTED || !checkpoint.empty();
    if (end == wire::DONE) {
        this->changeState(task, wire::FINISHED, attempt + "finished");
    } else if (end == wire::CANCELLED || task.cancel_requested()) {
        this->changeState(task, wire::CALLED_OFF, attempt + "cancelled");
    } else if (end == wire::FAILED && task.failed_on_size() >= maxFailedWorkers) {
        this->changeState(task, wire::GIVEN_UP,
                          "failed on " + std::to_string(task.failed_on_size()) +
                              " workers: " + detail);
    } else if (task.spec().at_most_once() && !resumes) {
        this->changeState(task, wire::HELD,
                          attempt + "may have run and must not run twice: " + detail);
    } else if (task.hold_requested()) {
        this->changeState(task, wire::HELD, attempt + "stopped by " + task.last_author());
    } else {
        this->changeState(task, wire::PENDING,
                          attempt + "is over (" + detail + "); waits for a worker");
    }
    return Decision::accept(stateName(task.state()));
}

Decision TaskRegistry::end(const wire::Record &record, Offset offset)
{
    const wire::EndAttempt &end = record.end();
    Decision refusal;
    wire::TaskRecord *task = this->findOpen(end.key().task(), record, refusal);
    if (task == nullptr) {
        return refusal;
    }
    if (task->state() != wire::CLAIMED || task->attempt() != end.key().attempt() ||
        task->worker() != end.worker()) {
        return Decision::refuse("attempt " + std::to_string(end.key().attempt()) +
                                " is already over");
    }
    if (end.end() == wire::FAILED) {
        const auto &failed = task->failed_on();
        if (std::find(failed.begin(), failed.end(), end.worker()) == failed.end()) {
            task->add_failed_on(end.worker());
        }
    }
    if (end.end() == wire::EVICTED || end.end() == wire::LAPSED) {
        task->set_evictions(task->evictions() + 1);
    }
    task->set_last_offset(offset.value());
    return this->applyEnd(*task, end.end(), end.checkpoint(), end.detail());
}

Decision TaskRegistry::cancel(const wire::Record &record, Offset offset)
{
    std::size_t changed = 0;
    Decision refusal = Decision::refuse("names no task");
    for (const std::string &name : record.cancel().tasks()) {
        wire::TaskRecord *task = this->findOpen(name, record, refusal);
        if (task == nullptr) {
            continue;
        }
        ++changed;
        task->set_cancel_requested(true);
        task->set_last_offset(offset.value());
        task->set_last_author(record.author());
        if (task->state() != wire::CLAIMED) {
            this->changeState(*task, wire::CALLED_OFF, "cancelled by " + record.author());
        }
    }
    if (changed == 0) {
        return refusal;
    }
    return Decision::accept("cancels " + std::to_string(changed) + " of " +
                            std::to_string(record.cancel().tasks_size()));
}

Decision TaskRegistry::hold(const wire::Record &record, Offset offset)
{
    Decision refusal;
    wire::TaskRecord *task = this->findOpen(record.hold().task(), record, refusal);
    if (task == nullptr) {
        return refusal;
    }
    if (record.hold().hold() == (task->state() == wire::HELD || task->hold_requested())) {
        return Decision::refuse(task->spec().task() + (record.hold().hold() ? " is already stopped"
                                                                            : " is not stopped"),
                                task->last_author());
    }
    task->set_hold_requested(record.hold().hold());
    task->set_last_offset(offset.value());
    task->set_last_author(record.author());
    if (record.hold().hold() && task->state() == wire::PENDING) {
        this->changeState(*task, wire::HELD, "stopped by " + record.author());
    } else if (!record.hold().hold() && task->state() == wire::HELD) {
        this->changeState(*task, wire::PENDING, "resumed by " + record.author());
    }
    return Decision::accept();
}

Decision TaskRegistry::evict(const wire::Record &record, Offset offset)
{
    Decision refusal;
    wire::TaskRecord *task = this->findOpen(record.evict().key().task(), record, refusal);
    if (task == nullptr) {
        return refusal;
    }
    const std::uint32_t attempt = record.evict().key().attempt();
    if (task->state() != wire::CLAIMED || (attempt != 0 && attempt != task->attempt())) {
        return Decision::refuse(task->spec().task() + " is " + stateName(task->state()) +
                                ", not running that attempt");
    }
    task->set_evict_requested(true);
    task->set_last_offset(offset.value());
    task->set_last_author(record.author());
    task->set_reason("leaves " + task->worker() + ": " + record.evict().reason());
    return Decision::accept();
}

Decision TaskRegistry::place(const wire::Record &record, Offset offset)
{
    Decision refusal;
    wire::TaskRecord *task = this->findOpen(record.place().task(), record, refusal);
    if (task == nullptr) {
        return refusal;
    }
    const std::string &worker = record.place().worker();
    if (const auto objection = this->rules.objectionTo(worker); !worker.empty() && objection) {
        return Decision::refuse(*objection);
    }
    task->set_pinned_worker(worker);
    task->set_last_offset(offset.value());
    task->set_last_author(record.author());
    if (task->state() == wire::CLAIMED && !worker.empty() && task->worker() != worker) {
        task->set_evict_requested(true);
        task->set_reason("moves from " + task->worker() + " to " + worker);
    }
    return Decision::accept();
}

Decision TaskRegistry::throttle(const wire::Record &record, Offset offset)
{
    Decision refusal;
    wire::TaskRecord *task = this->findOpen(record.throttle().task(), record, refusal);
    if (task == nullptr) {
        return refusal;
    }
    if (record.throttle().percent() < 1 || record.throttle().percent() > 100) {
        return Decision::refuse("a throttle is 1 to 100 percent");
    }
    task->set_throttle_percent(record.throttle().percent());
    task->set_last_offset(offset.value());
    task->set_last_author(record.author());
    return Decision::accept();
}

Decision TaskRegistry::prioritise(const wire::Record &record, Offset offset)
{
    Decision refusal;
    wire::TaskRecord *task = this->findOpen(record.prioritise().task(), record, refusal);
    if (task == nullptr) {
        return refusal;
    }
    this->removeFromIndexes(*task);
    task->mutable_spec()->set_priority(record.prioritise().priority());
    task->set_last_offset(offset.value());
    task->set_last_author(record.author());
    this->addToIndexes(*task);
    return Decision::accept();
}

Decision TaskRegistry::lapse(const std::string &worker, Offset offset)
{
    std::size_t ended = 0;
    for (const std::string &name : this->claimedOn(worker)) {
        wire::TaskRecord &task = this->tasks.at(name);
        if (task.spec().on_silence() != wire::YIELD) {
            continue;
        }
        task.set_last_offset(offset.value());
        this->applyEnd(task, wire::LOST, {}, "leases on silent " + worker + " lapsed");
        ++ended;
    }
    return Decision::accept("ends " + std::to_string(ended) + " attempts");
}

const wire::TaskRecord *TaskRegistry::find(const std::string &task) const
{
    const auto found = this->tasks.find(task);
    return found == this->tasks.end() ? nullptr : &found->second;
}

std::vector<std::string> TaskRegistry::claimedOn(const std::string &worker) const
{
    const auto found = this->byWorker.find(worker);
    if (found == this->byWorker.end()) {
        return {};
    }
    return {found->second.begin(), found->second.end()};
}

std::vector<std::string> TaskRegistry::workersWithClaims(const std::string &zone) const
{
    std::vector<std::string> workers;
    for (const auto &[worker, claimed] : this->byWorker) {
        if (this->tasks.at(*claimed.begin()).zone() == zone) {
            workers.push_back(worker);
        }
    }
    return workers;
}

std::vector<std::string> TaskRegistry::pending(std::size_t limit, const std::string &zone) const
{
    const auto runsHere = [&](const auto &entry) {
        const std::string &boundTo = entry.first.second;
        return boundTo.empty() || boundTo == zone;
    };
    const auto groups = static_cast<std::size_t>(
        std::count_if(this->pendingTasks.begin(), this->pendingTasks.end(), runsHere));
    if (groups == 0) {
        return {};
    }
    const std::size_t share = std::max(limit / groups, oldestInterval);
    std::set<Urgency> urgent;
    std::set<Age> oldest;
    for (const auto &entry : this->pendingTasks) {
        const std::string &team = entry.first.first;
        if (!runsHere(entry) || this->teamUsage(team) >= this->rules.teamMilliCores(team)) {
            continue;
        }
        const PendingTasks &waiting = entry.second;
        const auto taken = static_cast<std::ptrdiff_t>(std::min(share, waiting.byUrgency.size()));
        urgent.insert(waiting.byUrgency.begin(), std::next(waiting.byUrgency.begin(), taken));
        oldest.insert(*waiting.byAge.begin());
    }
    std::vector<std::string> names;
    std::set<std::string> seen;
    auto nextUrgent = urgent.begin();
    auto nextOldest = oldest.begin();
    while (nextUrgent != urgent.end() || nextOldest != oldest.end()) {
        const bool ageFirst =
            names.size() % oldestInterval == oldestInterval - 1 || nextUrgent == urgent.end();
        const bool byAge = ageFirst && nextOldest != oldest.end();
        const std::string &name = byAge ? (nextOldest++)->second : std::get<3>(*nextUrgent++);
        if (seen.insert(name).second) {
            names.push_back(name);
        }
    }
    return names;
}

std::int64_t TaskRegistry::teamUsage(const std::string &team) const
{
    const auto found = this->usageByTeam.find(team);
    return found == this->usageByTeam.end() ? 0 : found->second;
}

void TaskRegistry::save(wire::Snapshot &snapshot) const
{
    for (const auto &[name, task] : this->tasks) {
        *snapshot.add_tasks() = task;
    }
    snapshot.set_ended_tasks_dropped(this->droppedTerminal);
}

void TaskRegistry::load(const wire::Snapshot &snapshot)
{
    this->tasks.clear();
    this->pendingTasks.clear();
    this->pendingTotal = 0;
    this->byWorker.clear();
    this->usageByTeam.clear();
    this->terminalByOffset.clear();
    this->droppedTerminal = snapshot.ended_tasks_dropped();
    for (const wire::TaskRecord &task : snapshot.tasks()) {
        this->tasks[task.spec().task()] = task;
        this->addToIndexes(task);
    }
}

} // namespace godwitfall
