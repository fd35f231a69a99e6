#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "decision.h"
#include "godwitfall.pb.h"
#include "resources.h"

namespace godwitfall {

/** Returns whether the state is final. */
bool isTerminal(wire::TaskState state);

/** Returns the name of the state as shown to operators. */
const char *stateName(wire::TaskState state);

/** Restrictions on claims: workers that accept no new tasks, and quotas of teams. */
class ClaimRules
{
public:
    virtual ~ClaimRules() = default;
    /** Returns why tasks can't be claimed for the worker, or nothing if they can. */
    virtual std::optional<std::string> objectionTo(const std::string &worker) const = 0;
    /** Returns the team's CPU quota in thousandths of a core. */
    virtual std::int64_t teamMilliCores(const std::string &team) const = 0;
};

/**
 * All tasks and their current attempts, built by applying the records in log order.
 *
 * A task can be claimed only while pending, and only with the next attempt number; an attempt ends
 * once. So every attempt is claimed by one instance only, and every resume happens exactly once.
 */
class TaskRegistry
{
public:
    explicit TaskRegistry(const ClaimRules &rules);

    Decision submit(const wire::Record &record, Offset offset);
    Decision claim(const wire::Record &record, Offset offset);
    Decision end(const wire::Record &record, Offset offset);
    Decision cancel(const wire::Record &record, Offset offset);
    Decision hold(const wire::Record &record, Offset offset);
    Decision evict(const wire::Record &record, Offset offset);
    Decision place(const wire::Record &record, Offset offset);
    Decision throttle(const wire::Record &record, Offset offset);
    Decision prioritise(const wire::Record &record, Offset offset);

    /** Ends all attempts on the worker whose tasks yield, after its leases have lapsed. */
    Decision lapse(const std::string &worker, Offset offset);

    /** Returns the task, or null if there is none; valid until the next change. */
    const wire::TaskRecord *find(const std::string &task) const;
    const std::map<std::string, wire::TaskRecord> &all() const { return this->tasks; }

    /** Returns the tasks claimed on the worker. */
    std::vector<std::string> claimedOn(const std::string &worker) const;

    /** Returns the workers of the zone with claimed tasks. */
    std::vector<std::string> workersWithClaims(const std::string &zone) const;

    /**
     * Returns about the given number of pending tasks that may run in the zone, in the order in
     * which they should start.
     *
     * Teams at their quota are skipped, and each other team gets a share, so that no team crowds
     * out the others. Every fourth task is the oldest of a team regardless of priority, to prevent
     * starvation.
     */
    std::vector<std::string> pending(std::size_t limit, const std::string &zone) const;
    std::size_t pendingCount() const { return this->pendingTotal; }

    std::int64_t teamUsage(const std::string &team) const;

    void save(wire::Snapshot &snapshot) const;
    void load(const wire::Snapshot &snapshot);

private:
    using Urgency = std::tuple<int, std::int32_t, std::uint64_t, std::string>;

    using Age = std::pair<std::uint64_t, std::string>;
    /** A team, and the zone to which its tasks are bound; empty: none. */
    using PendingKey = std::pair<std::string, std::string>;
    /** Pending tasks of one team that may run in the same zones. */
    struct PendingTasks
    {
        std::set<Urgency> byUrgency;
        std::set<Age> byAge;
    };

    static PendingKey pendingKey(const wire::TaskRecord &task);
    static Urgency urgency(const wire::TaskRecord &task);
    /** Returns the task if the record may change it; otherwise null, with the refusal set. */
    wire::TaskRecord *findOpen(const std::string &task, const wire::Record &record,
                               Decision &refusal);
    Decision applyEnd(wire::TaskRecord &task, wire::AttemptEnd end, const std::string &checkpoint,
                      const std::string &detail);
    void changeState(wire::TaskRecord &task, wire::TaskState state, std::string reason);
    void removeFromIndexes(const wire::TaskRecord &task);
    void addToIndexes(const wire::TaskRecord &task);
    void dropOldestTerminal();

    const ClaimRules &rules;
    std::map<std::string, wire::TaskRecord> tasks;
    std::map<PendingKey, PendingTasks> pendingTasks;
    std::size_t pendingTotal = 0;
    std::map<std::string, std::set<std::string>> byWorker;
    std::map<std::string, std::int64_t> usageByTeam;
    std::set<Age> terminalByOffset;
    std::uint64_t droppedTerminal = 0;
};

} // namespace godwitfall
