#pragma once

#include <functional>
#include <string>
#include <vector>

#include "clusterstate.h"
#include "command/language.h"
#include "guarded.h"
#include "membership.h"
#include "taskscheduler.h"
#include "workertable.h"

namespace godwitfall {

/** Answers operators' queries from what this instance knows, and says what that is based on. */
class Queries
{
public:
    Queries(const Guarded<ClusterState> &state, const Guarded<Membership> &members,
            const Guarded<WorkerTable> &workers, const TaskScheduler &scheduler);

    wire::CommandReply list(const ListQuery &query, Instant now) const;
    wire::CommandReply why(const WhyQuery &query, Instant now) const;
    wire::CommandReply status(const StatusQuery &query) const;

    /** Fills in which instances and zones have applied the offset, and which were not reached. */
    void fillReach(wire::CommandReply &reply, Offset offset, Instant now) const;

private:
    using RowSource = void (Queries::*)(wire::CommandReply &, Instant) const;
    struct Table
    {
        const char *name;
        RowSource fill;
    };
    static const std::vector<Table> &tables();

    void workerRows(wire::CommandReply &reply, Instant now) const;
    void taskRows(wire::CommandReply &reply, Instant now) const;
    void serviceRows(wire::CommandReply &reply, Instant now) const;
    void zoneRows(wire::CommandReply &reply, Instant now) const;
    void instanceRows(wire::CommandReply &reply, Instant now) const;
    void configRows(wire::CommandReply &reply, Instant now) const;
    void auditRows(wire::CommandReply &reply, Instant now) const;

    const Guarded<ClusterState> &state;
    const Guarded<Membership> &members;
    const Guarded<WorkerTable> &workers;
    const TaskScheduler &scheduler;
};

} // namespace godwitfall
