#include "clusterstate.h"

#include <algorithm>
#include <limits>

#include "invariant.h"

namespace godwitfall {

namespace {

/** A writer whose latest batch is more than this many entries back is taken to be gone. */
constexpr std::uint64_t writerRetentionEntries = 1'000'000;
/** Writers that are gone are removed once every this many entries. */
constexpr std::uint64_t writerSweepInterval = 4096;

} // namespace

ClusterState::ClusterState()
    : taskRegistry(*this)
{}

const std::vector<ClusterState::Rule> &ClusterState::rules()
{
    static const std::vector<Rule> table = {
        {wire::Record::kSubmit, &ClusterState::applyToTasks<&TaskRegistry::submit>, true},
        {wire::Record::kClaim, &ClusterState::applyToTasks<&TaskRegistry::claim>, false},
        {wire::Record::kEnd, &ClusterState::applyToTasks<&TaskRegistry::end>, false},
        {wire::Record::kCancel, &ClusterState::applyToTasks<&TaskRegistry::cancel>, true},
        {wire::Record::kHold, &ClusterState::applyToTasks<&TaskRegistry::hold>, true},
        {wire::Record::kEvict, &ClusterState::applyToTasks<&TaskRegistry::evict>, true},
        {wire::Record::kPlace, &ClusterState::applyToTasks<&TaskRegistry::place>, true},
        {wire::Record::kThrottle, &ClusterState::applyToTasks<&TaskRegistry::throttle>, true},
        {wire::Record::kPrioritise, &ClusterState::applyToTasks<&TaskRegistry::prioritise>, true},
        {wire::Record::kDrain,
         &ClusterState::applyTo<&ClusterState::workerRestrictions, &WorkerRestrictions::drain>,
         true},
        {wire::Record::kFence, &ClusterState::fence, true},
        {wire::Record::kUnfence,
         &ClusterState::applyTo<&ClusterState::workerRestrictions, &WorkerRestrictions::unfence>,
         true},
        {wire::Record::kLapse, &ClusterState::lapse, true},
        {wire::Record::kConfig,
         &ClusterState::applyTo<&ClusterState::configStore, &ConfigStore::set>, true},
        {wire::Record::kOpenIntent,
         &ClusterState::applyTo<&ClusterState::intentRegistry, &IntentRegistry::open>, false},
        {wire::Record::kCloseIntent,
         &ClusterState::applyTo<&ClusterState::intentRegistry, &IntentRegistry::close>, false},
    };
    return table;
}

Decision ClusterState::fence(const wire::Record &record, Offset offset)
{
    return this->workerRestrictions.fence(record, offset);
}

Decision ClusterState::lapse(const wire::Record &record, Offset offset)
{
    if (const auto objection = this->workerRestrictions.objectionToLapse(record.lapse())) {
        return Decision::refuse(*objection);
    }
    return this->taskRegistry.lapse(record.lapse().worker(), offset);
}

Decision ClusterState::applyRecord(const wire::Record &record, Offset offset)
{
    const auto rule = std::find_if(rules().begin(), rules().end(), [&](const Rule &candidate) {
        return candidate.kind == record.body_case();
    });
    if (rule == rules().end()) {
        return Decision::refuse("a record of no known kind");
    }
    if (!rule->audited) {
        Decision decision = (this->*rule->handler)(record, offset);
        decision.offset = offset;
        return decision;
    }
    if (const wire::AuditEntry *earlier = this->auditTrail.find(record.id())) {
        return decisionOf(*earlier);
    }
    Decision decision = (this->*rule->handler)(record, offset);
    decision.offset = offset;
    this->auditTrail.add(record, decision);
    return decision;
}

void ClusterState::advance(Offset offset)
{
    checkInvariant(offset >= this->next, "log-applied-in-order", [&] {
        return std::to_string(offset.value()) + " after " + std::to_string(this->next.value());
    });
    this->next = Offset(offset.value() + 1);
    if (offset.value() % writerSweepInterval == 0) {
        this->dropOldWriters(offset);
    }
}

void ClusterState::dropOldWriters(Offset offset)
{
    std::erase_if(this->writers, [&](const auto &entry) {
        return entry.second.offset() + writerRetentionEntries < offset.value();
    });
}

Applied ClusterState::apply(Offset offset, const wire::Batch &batch)
{
    this->advance(offset);
    Applied applied;
    wire::WriterMark &mark = this->writers[batch.writer()];
    if (batch.seq() <= mark.seq()) {
        applied.duplicate = true;
        return applied;
    }
    mark.set_writer(batch.writer());
    mark.set_seq(batch.seq());
    mark.set_offset(offset.value());
    applied.decisions.reserve(static_cast<std::size_t>(batch.records_size()));
    for (const wire::Record &record : batch.records()) {
        applied.decisions.push_back(this->applyRecord(record, offset));
    }
    return applied;
}

void ClusterState::skip(Offset offset)
{
    this->advance(offset);
}

std::uint64_t ClusterState::writerSeq(const std::string &writer) const
{
    const auto found = this->writers.find(writer);
    return found == this->writers.end() ? 0 : found->second.seq();
}

wire::Snapshot ClusterState::snapshot() const
{
    wire::Snapshot snapshot;
    snapshot.set_next_offset(this->next.value());
    this->taskRegistry.save(snapshot);
    this->configStore.save(snapshot);
    this->intentRegistry.save(snapshot);
    this->workerRestrictions.save(snapshot);
    this->auditTrail.save(snapshot);
    for (const auto &[writer, mark] : this->writers) {
        *snapshot.add_writers() = mark;
    }
    return snapshot;
}

bool ClusterState::restore(const wire::Snapshot &snapshot)
{
    if (snapshot.next_offset() <= this->next.value()) {
        return false;
    }
    this->taskRegistry.load(snapshot);
    this->configStore.load(snapshot);
    this->intentRegistry.load(snapshot);
    this->workerRestrictions.load(snapshot);
    this->auditTrail.load(snapshot);
    this->writers.clear();
    for (const wire::WriterMark &mark : snapshot.writers()) {
        this->writers[mark.writer()] = mark;
    }
    this->next = Offset(snapshot.next_offset());
    return true;
}

std::optional<std::string> ClusterState::objectionTo(const std::string &worker) const
{
    return this->workerRestrictions.objectionTo(worker);
}

std::int64_t ClusterState::teamMilliCores(const std::string &team) const
{
    return this->configStore.number("team." + team + ".milli_cores",
                                    std::numeric_limits<std::int64_t>::max() / 2);
}

} // namespace godwitfall
