#include "audittrail.h"

namespace godwitfall {

namespace {

constexpr std::size_t entryLimit = 4096;

} // namespace

std::string describe(const wire::Record &record)
{
    switch (record.body_case()) {
    case wire::Record::kSubmit:
        return "submit task " + record.submit().spec().task();
    case wire::Record::kCancel:
        return "cancel " + std::to_string(record.cancel().tasks_size()) + " tasks, first " +
               (record.cancel().tasks().empty() ? "none" : record.cancel().tasks(0));
    case wire::Record::kHold:
        return (record.hold().hold() ? "stop task " : "resume task ") + record.hold().task();
    case wire::Record::kEvict:
        return "evict task " + record.evict().key().task() + ": " + record.evict().reason();
    case wire::Record::kPlace:
        return "place task " + record.place().task() + " on " + record.place().worker();
    case wire::Record::kThrottle:
        return "throttle task " + record.throttle().task() + " to " +
               std::to_string(record.throttle().percent()) + "%";
    case wire::Record::kPrioritise:
        return "set priority of task " + record.prioritise().task() + " to " +
               std::to_string(record.prioritise().priority());
    case wire::Record::kDrain:
        return (record.drain().drain() ? "drain worker " : "undrain worker ") +
               record.drain().worker();
    case wire::Record::kFence:
        return "fence worker " + record.fence().worker();
    case wire::Record::kUnfence:
        return "unfence worker " + record.unfence().worker();
    case wire::Record::kLapse:
        return "lapse leases on worker " + record.lapse().worker();
    case wire::Record::kConfig: {
        std::string text = "set";
        for (const wire::ConfigEntry &entry : record.config().entries()) {
            text += " " + entry.key() + "=" + entry.value();
        }
        return text;
    }
    default:
        return "internal";
    }
}

Decision decisionOf(const wire::AuditEntry &entry)
{
    Decision decision;
    decision.accepted = entry.accepted();
    decision.reason = entry.reason();
    decision.winner = entry.winner();
    decision.offset = Offset(entry.offset());
    return decision;
}

void AuditTrail::add(const wire::Record &record, const Decision &decision)
{
    wire::AuditEntry &entry = this->entries.emplace_back();
    entry.set_id(record.id());
    entry.set_author(record.author());
    entry.set_at_ms(record.at_ms());
    entry.set_offset(decision.offset.value());
    entry.set_action(describe(record));
    entry.set_accepted(decision.accepted);
    entry.set_reason(decision.reason);
    entry.set_winner(decision.winner);
    if (!record.id().empty()) {
        this->positions[record.id()] = this->dropped + this->entries.size() - 1;
    }
    if (this->entries.size() > entryLimit) {
        this->positions.erase(this->entries.front().id());
        this->entries.pop_front();
        ++this->dropped;
    }
}

const wire::AuditEntry *AuditTrail::find(const std::string &id) const
{
    const auto found = this->positions.find(id);
    if (id.empty() || found == this->positions.end()) {
        return nullptr;
    }
    return &this->entries.at(found->second - this->dropped);
}

void AuditTrail::save(wire::Snapshot &snapshot) const
{
    for (const wire::AuditEntry &entry : this->entries) {
        *snapshot.add_audit() = entry;
    }
}

void AuditTrail::load(const wire::Snapshot &snapshot)
{
    this->entries.assign(snapshot.audit().begin(), snapshot.audit().end());
    this->positions.clear();
    this->dropped = 0;
    for (std::size_t index = 0; index < this->entries.size(); ++index) {
        if (!this->entries[index].id().empty()) {
            this->positions[this->entries[index].id()] = index;
        }
    }
}

} // namespace godwitfall
