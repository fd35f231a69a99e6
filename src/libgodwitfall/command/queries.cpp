#include "command/queries.h"

#include <algorithm>
#include <initializer_list>

namespace godwitfall {

namespace {

void setColumns(wire::CommandReply &reply, std::initializer_list<const char *> columns)
{
    for (const char *column : columns) {
        reply.add_columns(column);
    }
}

void addRow(wire::CommandReply &reply, std::initializer_list<std::string> cells)
{
    wire::Row &row = *reply.add_rows();
    for (const std::string &cell : cells) {
        row.add_cells(cell);
    }
}

std::string text(std::int64_t number)
{
    return std::to_string(number);
}

std::string yesNo(bool value)
{
    return value ? "yes" : "no";
}

std::string workerCondition(const WorkerTable &table, const Worker &worker, Instant now)
{
    if (worker.drained) {
        return "drained by an operator";
    }
    if (worker.reportedLeaving) {
        return "says that it is leaving";
    }
    if (worker.listedLeaving) {
        return "listed as leaving or gone";
    }
    if (!worker.owned) {
        return "owned by another instance or by none";
    }
    if (worker.transferring) {
        return "is handed over";
    }
    if (now < worker.ejectedUntil) {
        return "fails what it starts; tried again later";
    }
    return table.takesWork(worker, now) ? "takes work" : "silent";
}

} // namespace

Queries::Queries(const Guarded<ClusterState> &state, const Guarded<Membership> &members,
                 const Guarded<WorkerTable> &workers, const TaskScheduler &scheduler)
    : state(state)
    , members(members)
    , workers(workers)
    , scheduler(scheduler)
{}

const std::vector<Queries::Table> &Queries::tables()
{
    static const std::vector<Table> all = {
        {"workers", &Queries::workerRows},     {"tasks", &Queries::taskRows},
        {"services", &Queries::serviceRows},   {"zones", &Queries::zoneRows},
        {"instances", &Queries::instanceRows}, {"config", &Queries::configRows},
        {"audit", &Queries::auditRows},
    };
    return all;
}

wire::CommandReply Queries::list(const ListQuery &query, Instant now) const
{
    wire::CommandReply reply;
    reply.set_verdict(wire::QUERY_ANSWER);
    const auto table = std::find_if(tables().begin(), tables().end(), [&](const Table &candidate) {
        return query.table == candidate.name;
    });
    (this->*table->fill)(reply, now);
    std::vector<std::pair<int, std::string>> wanted;
    for (const Filter &filter : query.filters) {
        const auto column =
            std::find(reply.columns().begin(), reply.columns().end(), filter.column);
        if (column == reply.columns().end()) {
            wire::CommandReply refusal;
            refusal.set_verdict(wire::DECIDED_REFUSED);
            refusal.set_reason(query.table + " has no column " + filter.column);
            return refusal;
        }
        wanted.emplace_back(static_cast<int>(column - reply.columns().begin()), filter.value);
    }
    wire::CommandReply filtered = reply;
    filtered.clear_rows();
    for (const wire::Row &row : reply.rows()) {
        const bool matches = std::all_of(wanted.begin(), wanted.end(), [&](const auto &condition) {
            return row.cells(condition.first) == condition.second;
        });
        if (matches && static_cast<std::uint64_t>(filtered.rows_size()) < query.limit) {
            *filtered.add_rows() = row;
        }
    }
    filtered.set_offset(
        this->state.read([](const ClusterState &cluster) { return cluster.nextOffset().value(); }));
    return filtered;
}

void Queries::workerRows(wire::CommandReply &reply, Instant now) const
{
    setColumns(reply, {"worker", "rack", "condition", "owned", "epoch", "calls", "tasks",
                       "free_milli_cores", "free_memory_mb", "free_slots", "latency_ms"});
    this->workers.read([&](const WorkerTable &table) {
        for (const auto &[id, worker] : table.all()) {
            const Resources free = worker.free();
            addRow(reply, {id.value(), worker.rack, workerCondition(table, worker, now),
                           yesNo(worker.owned), std::to_string(worker.epoch.value()),
                           text(static_cast<std::int64_t>(worker.calls.size())),
                           text(static_cast<std::int64_t>(worker.attempts.size())),
                           text(free.milliCores), text(free.memoryMb), text(free.slots),
                           text(static_cast<std::int64_t>(worker.latencyMs))});
        }
    });
}

void Queries::taskRows(wire::CommandReply &reply, Instant) const
{
    setColumns(reply, {"task", "team", "kind", "state", "attempt", "worker", "zone", "priority",
                       "evictions", "reason"});
    this->state.read([&](const ClusterState &cluster) {
        for (const auto &[name, task] : cluster.tasks().all()) {
            addRow(reply,
                   {name, task.spec().team(), wire::TaskKind_Name(task.spec().kind()),
                    stateName(task.state()), text(task.attempt()), task.worker(), task.zone(),
                    text(task.spec().priority()), text(task.evictions()), task.reason()});
        }
    });
}

void Queries::serviceRows(wire::CommandReply &reply, Instant now) const
{
    setColumns(reply, {"service", "workers", "free_slots"});
    struct Sum
    {
        std::int64_t workers = 0;
        std::int64_t slots = 0;
    };
    std::map<std::string, Sum> sums;
    this->workers.read([&](const WorkerTable &table) {
        for (const auto &[id, worker] : table.all()) {
            for (const std::string &service : worker.services) {
                Sum &sum = sums[service];
                const bool takes = table.takesWork(worker, now);
                sum.workers += takes ? 1 : 0;
                sum.slots += takes ? worker.free().slots : 0;
            }
        }
    });
    for (const auto &[service, sum] : sums) {
        addRow(reply, {service, text(sum.workers), text(sum.slots)});
    }
}

void Queries::zoneRows(wire::CommandReply &reply, Instant now) const
{
    setColumns(reply, {"zone", "instances", "applied_to", "heard_ms_ago"});
    const Offset own =
        this->state.read([](const ClusterState &cluster) { return cluster.nextOffset(); });
    this->members.read([&](const Membership &table) {
        for (const wire::ZoneMark &mark : table.zoneSummaries(own, now)) {
            addRow(reply,
                   {mark.zone(), std::to_string(mark.instances()),
                    std::to_string(mark.lowest_next_offset()), std::to_string(mark.age_ms())});
        }
    });
}

void Queries::instanceRows(wire::CommandReply &reply, Instant now) const
{
    setColumns(reply, {"instance", "zone", "condition", "applied_to"});
    const Offset own =
        this->state.read([](const ClusterState &cluster) { return cluster.nextOffset(); });
    this->members.read([&](const Membership &table) {
        addRow(reply, {table.selfId().value(), table.ownZone().value(), "this instance",
                       std::to_string(own.value())});
        for (const auto &[id, peer] : table.all()) {
            std::string condition = table.alive(id, now) ? "alive" : "silent";
            if (peer.draining) {
                condition = "stopping";
            } else if (!peer.present && peer.zone != table.ownZone()) {
                condition = "of another zone; see list zones";
            } else if (!peer.present) {
                condition = "not heard";
            }
            addRow(reply, {id.value(), peer.zone.value(), condition,
                           std::to_string(peer.nextOffset.value())});
        }
    });
}

void Queries::configRows(wire::CommandReply &reply, Instant) const
{
    setColumns(reply, {"key", "value", "version", "author"});
    this->state.read([&](const ClusterState &cluster) {
        for (const auto &[key, value] : cluster.config().all()) {
            addRow(reply, {key, value.value(), std::to_string(value.offset()), value.author()});
        }
    });
}

void Queries::auditRows(wire::CommandReply &reply, Instant) const
{
    setColumns(reply, {"offset", "at_ms", "author", "id", "action", "outcome", "reason", "winner"});
    this->state.read([&](const ClusterState &cluster) {
        for (const wire::AuditEntry &entry : cluster.audit().all()) {
            addRow(reply,
                   {std::to_string(entry.offset()), std::to_string(entry.at_ms()), entry.author(),
                    entry.id(), entry.action(), entry.accepted() ? "accepted" : "refused",
                    entry.reason(), entry.winner()});
        }
    });
}

wire::CommandReply Queries::why(const WhyQuery &query, Instant now) const
{
    wire::CommandReply reply;
    reply.set_verdict(wire::QUERY_ANSWER);
    wire::TaskRecord task;
    const bool found = this->state.read([&](const ClusterState &cluster) {
        const wire::TaskRecord *record = cluster.tasks().find(query.task);
        if (record != nullptr) {
            task = *record;
        }
        reply.set_offset(cluster.nextOffset().value());
        return record != nullptr;
    });
    if (!found) {
        reply.set_verdict(wire::DECIDED_REFUSED);
        reply.set_reason("no such task: " + query.task);
        return reply;
    }
    setColumns(reply, {"evidence", "value"});
    addRow(reply, {"state", stateName(task.state())});
    addRow(reply, {"reason", task.reason()});
    addRow(reply, {"submitted at offset", std::to_string(task.submit_offset())});
    addRow(reply, {"last change at offset", std::to_string(task.last_offset())});
    addRow(reply, {"attempt", std::to_string(task.attempt())});
    if (task.attempt() > 0) {
        addRow(reply, {"claimed at offset", std::to_string(task.claim_offset())});
        addRow(reply, {"claimed by", task.instance()});
        addRow(reply, {"worker", task.worker()});
        addRow(reply, {"zone", task.zone()});
    }
    if (!task.checkpoint().empty()) {
        addRow(reply, {"resumes from", task.checkpoint()});
    }
    for (const std::string &worker : task.failed_on()) {
        addRow(reply, {"failed on", worker});
    }
    if (task.state() == wire::PENDING) {
        addRow(reply, {"waits because", this->scheduler.whyWaiting(task, now)});
    }
    return reply;
}

wire::CommandReply Queries::status(const StatusQuery &query) const
{
    wire::CommandReply reply;
    reply.set_id(query.id);
    this->state.read([&](const ClusterState &cluster) {
        const wire::AuditEntry *entry = cluster.audit().find(query.id);
        reply.set_offset(cluster.nextOffset().value());
        if (entry == nullptr) {
            reply.set_verdict(wire::DECIDED_UNKNOWN);
            reply.set_reason("no decision with that id is in the log up to this offset");
            return;
        }
        reply.set_verdict(entry->accepted() ? wire::DECIDED_ACCEPTED : wire::DECIDED_REFUSED);
        reply.set_offset(entry->offset());
        reply.set_reason(entry->reason());
        reply.set_winner(entry->winner());
    });
    return reply;
}

void Queries::fillReach(wire::CommandReply &reply, Offset offset, Instant now) const
{
    reply.clear_has_it();
    reply.clear_not_reached();
    const Offset own =
        this->state.read([](const ClusterState &cluster) { return cluster.nextOffset(); });
    this->members.read([&](const Membership &table) {
        reply.add_has_it(table.selfId().value());
        for (const auto &[id, peer] : table.all()) {
            if (peer.zone != table.ownZone()) {
                continue;
            }
            const bool has = peer.nextOffset > offset;
            (has ? reply.add_has_it() : reply.add_not_reached())->assign(id.value());
        }
        std::map<std::string, const wire::ZoneMark *> marks;
        const std::vector<wire::ZoneMark> all = table.zoneSummaries(own, now);
        for (const wire::ZoneMark &mark : all) {
            marks[mark.zone()] = &mark;
        }
        std::map<std::string, bool> zones;
        for (const auto &[id, peer] : table.all()) {
            if (peer.zone == table.ownZone()) {
                continue;
            }
            const auto mark = marks.find(peer.zone.value());
            zones[peer.zone.value()] =
                mark != marks.end() && mark->second->lowest_next_offset() > offset.value();
        }
        for (const auto &[zone, has] : zones) {
            (has ? reply.add_has_it() : reply.add_not_reached())->assign("zone " + zone);
        }
    });
}

} // namespace godwitfall
