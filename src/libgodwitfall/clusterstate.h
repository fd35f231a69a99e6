#pragma once

#include <map>
#include <string>
#include <vector>

#include "audittrail.h"
#include "configstore.h"
#include "decision.h"
#include "godwitfall.pb.h"
#include "intentregistry.h"
#include "taskregistry.h"
#include "workermarks.h"

namespace godwitfall {

/** The log's first entry stands here; 0 is free to mean "none". */
constexpr Offset firstOffset(1);

/** What applying one batch did. */
struct Applied
{
    bool duplicate = false;          ///< The batch stood in the log before, or was overtaken.
    std::vector<Decision> decisions; ///< One for each record, in order.
};

/**
 * The state that every instance builds from the log, entry by entry and in the log's order.
 *
 * It depends on nothing but the entries, so instances that applied the same prefix agree.
 */
class ClusterState : private ClaimRules
{
public:
    ClusterState();
    ClusterState(const ClusterState &) = delete;
    ClusterState &operator=(const ClusterState &) = delete;

    /**
     * Applies the batch at the offset, which must be the next one.
     *
     * A batch whose writer has a batch with the same or a higher number in the log before it has no
     * effect: that makes a repeated append harmless and lets a writer void one it gave up on.
     */
    Applied apply(Offset offset, const wire::Batch &batch);

    /** Passes over an entry that can't be read as a batch. */
    void skip(Offset offset);

    /** Returns the offset after the last one applied. */
    Offset nextOffset() const { return this->next; }

    const TaskRegistry &tasks() const { return this->taskRegistry; }
    const ConfigStore &config() const { return this->configStore; }
    const IntentRegistry &intents() const { return this->intentRegistry; }
    const WorkerMarks &marks() const { return this->workerMarks; }
    const AuditTrail &audit() const { return this->auditTrail; }

    /** Returns the highest batch number seen of the writer; 0 when none was. */
    std::uint64_t writerSeq(const std::string &writer) const;

    wire::Snapshot snapshot() const;

    /** Replaces the state; returns false and does nothing when the snapshot is not newer. */
    bool restore(const wire::Snapshot &snapshot);

    std::optional<std::string> objectionTo(const std::string &worker) const override;
    std::int64_t teamMilliCores(const std::string &team) const override;

private:
    using Handler = Decision (ClusterState::*)(const wire::Record &, Offset);
    struct Rule
    {
        wire::Record::BodyCase kind;
        Handler handler;
        bool audited;
    };
    static const std::vector<Rule> &rules();

    template <auto member, auto method>
    Decision pass(const wire::Record &record, Offset offset)
    {
        return (this->*member.*method)(record, offset);
    }
    template <auto method>
    Decision onTasks(const wire::Record &record, Offset offset)
    {
        return (this->taskRegistry.*method)(record, offset);
    }
    Decision fence(const wire::Record &record, Offset offset);
    Decision lapse(const wire::Record &record, Offset offset);
    Decision applyRecord(const wire::Record &record, Offset offset);
    void advance(Offset offset);
    void dropOldWriters(Offset offset);

    TaskRegistry taskRegistry;
    ConfigStore configStore;
    IntentRegistry intentRegistry;
    WorkerMarks workerMarks;
    AuditTrail auditTrail;
    std::map<std::string, wire::WriterMark> writers;
    Offset next = firstOffset;
};

} // namespace godwitfall
