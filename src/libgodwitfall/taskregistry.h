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

/** Returns whether the task is in a state that it never leaves. */
bool isTerminal(wire::TaskState state);

/** Names a state as operators read it. */
const char *stateName(wire::TaskState state);

/** Says whether a worker may be given new tasks and what a team may use. */
class ClaimRules
{
public:
    virtual ~ClaimRules() = default;
    /** Returns why no claim may name the worker, or nothing. */
    virtual std::optional<std::string> objectionTo(const std::string &worker) const = 0;
    /** Returns the largest amount of processor, in thousandths of a core, that the team may claim.
     */
    virtual std::int64_t teamMilliCores(const std::string &team) const = 0;
};

/**
 * All tasks and the attempts to run them, as the log's order decides them.
 *
 * A task is claimable only while pending, and only with the attempt number that follows the last;
 * an attempt ends once. That makes every attempt single and every resume happen exactly once.
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

    /** Ends every yielding attempt that was claimed on the worker, after its leases have lapsed. */
    Decision lapse(const std::string &worker, Offset offset);

    /** Returns the task, or null; valid until the next change. */
    const wire::TaskRecord *find(const std::string &task) const;
    const std::map<std::string, wire::TaskRecord> &all() const { return this->tasks; }

    /** Returns the tasks claimed on the worker. */
    std::vector<std::string> claimedOn(const std::string &worker) const;

    /**
     * Returns about the given number of pending tasks in the order in which they should start.
     *
     * Teams at their quota are passed over, and each other team gets a share, so that none hides
     * the rest. Every fourth is one of the oldest, whatever its priority, so that none starves.
     */
    std::vector<std::string> pending(std::size_t most) const;
    std::size_t pendingCount() const { return this->pendingTotal; }

    std::int64_t teamUsage(const std::string &team) const;

    void save(wire::Snapshot &snapshot) const;
    void load(const wire::Snapshot &snapshot);

private:
    using Urgency = std::tuple<int, std::int32_t, std::uint64_t, std::string>;

    using Age = std::pair<std::uint64_t, std::string>;
    struct PendingOfTeam
    {
        std::set<Urgency> byUrgency;
        std::set<Age> byAge;
    };

    static Urgency urgency(const wire::TaskRecord &task);
    wire::TaskRecord *open(const std::string &task, const wire::Record &record, Decision &refusal);
    Decision settle(wire::TaskRecord &task, wire::AttemptEnd end, const std::string &checkpoint,
                    const std::string &detail);
    void become(wire::TaskRecord &task, wire::TaskState state, std::string reason);
    void dropIndexes(const wire::TaskRecord &task);
    void addIndexes(const wire::TaskRecord &task);
    void dropOldestTerminal();

    const ClaimRules &rules;
    std::map<std::string, wire::TaskRecord> tasks;
    std::map<std::string, PendingOfTeam> pendingByTeam;
    std::size_t pendingTotal = 0;
    std::map<std::string, std::set<std::string>> byWorker;
    std::map<std::string, std::int64_t> usageByTeam;
    std::set<Age> terminalByOffset;
    std::uint64_t droppedTerminal = 0;
};

} // namespace godwitfall
