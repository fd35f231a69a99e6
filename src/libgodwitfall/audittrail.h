#pragma once

#include <deque>
#include <map>
#include <string>

#include "decision.h"
#include "godwitfall.pb.h"

namespace godwitfall {

/**
 * The latest audited changes: who asked for what and when, and the decision on it.
 *
 * It also makes commands idempotent: a record with the id of an earlier one gets its decision.
 */
class AuditTrail
{
public:
    void add(const wire::Record &record, const Decision &decision);

    /** Returns the decision on an earlier record with the same id, or null. */
    const wire::AuditEntry *find(const std::string &id) const;
    const std::deque<wire::AuditEntry> &all() const { return this->entries; }

    void save(wire::Snapshot &snapshot) const;
    void load(const wire::Snapshot &snapshot);

private:
    std::deque<wire::AuditEntry> entries;
    std::map<std::string, std::uint64_t> positions;
    std::uint64_t dropped = 0;
};

/** Returns a one-line description of the change that the record asks for. */
std::string describe(const wire::Record &record);

/** Returns the decision that is stored in the entry. */
Decision decisionOf(const wire::AuditEntry &entry);

} // namespace godwitfall
