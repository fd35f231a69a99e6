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
#include "workerrestrictions.h"

namespace godwitfall {

/** The offset of the log's first entry; 0 means "none". */
constexpr Offset firstOffset(1);

/** The effect of applying one batch. */
struct Applied
{
    bool duplicate = false;          ///< The batch was already in the log, or was superseded.
    std::vector<Decision> decisions; ///< One per record, in order.
};

/**
 * The replicated state that every instance builds by applying the log's entries in order.
 *
 * It is a function of the entries alone, so instances that applied the same prefix agree.
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
     * A batch has no effect if an earlier batch of its writer has the same or a higher sequence
     * number: repeated appends are harmless, and a writer can void an append that it abandoned.
     */
    Applied apply(Offset offset, const wire::Batch &batch);

    /** Advances past an entry that can't be parsed as a batch. */
    void skip(Offset offset);

    /** Returns the offset of the next entry to apply. */
    Offset nextOffset() const { return this->next; }

    const TaskRegistry &tasks() const { return this->taskRegistry; }
    const ConfigStore &config() const { return this->configStore; }
    const IntentRegistry &intents() const { return this->intentRegistry; }
    const WorkerRestrictions &restrictions() const { return this->workerRestrictions; }
    const AuditTrail &audit() const { return this->auditTrail; }

    /** Returns the highest applied batch number of the writer; 0 if there is none. */
    std::uint64_t writerSeq(const std::string &writer) const;

    wire::Snapshot snapshot() const;

    /** Replaces the state; returns false and changes nothing if the snapshot is not newer. */
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
    Decision applyTo(const wire::Record &record, Offset offset)
    {
        return (this->*member.*method)(record, offset);
    }
    template <auto method>
    Decision applyToTasks(const wire::Record &record, Offset offset)
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
    WorkerRestrictions workerRestrictions;
    AuditTrail auditTrail;
    std::map<std::string, wire::WriterMark> writers;
    Offset next = firstOffset;
};

} // namespace godwitfall
