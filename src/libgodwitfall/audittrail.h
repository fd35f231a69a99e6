#pragma once

#include <deque>
#include <map>
#include <string>

#include "decision.h"
#include "godwitfall.pb.h"

namespace godwitfall {

/**
 * Who changed what, when, and what came of it, for the latest operators' changes.
 *
 * It also makes commands idempotent: a record whose id was decided before gets that decision.
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

/** Returns the change that the record asks for, as one line for people. */
std::string describe(const wire::Record &record);

/** Returns the decision that the entry keeps. */
Decision decisionOf(const wire::AuditEntry &entry);

} // namespace godwitfall
