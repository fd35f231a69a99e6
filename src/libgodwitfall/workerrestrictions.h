#pragma once

#include <map>
#include <optional>
#include <string>

#include "decision.h"
#include "godwitfall.pb.h"

namespace godwitfall {

/**
 * Workers that may get no new tasks: drained by an operator, or fenced while unresponsive.
 *
 * Once a fence is in the log, no instance renews the leases of yielding tasks (those that may
 * resume elsewhere) on that worker. The leases then lapse for certain, and the attempts can be
 * ended without a report from the worker.
 */
class WorkerRestrictions
{
public:
    Decision drain(const wire::Record &record, Offset offset);
    Decision fence(const wire::Record &record, Offset offset);
    Decision unfence(const wire::Record &record, Offset offset);

    /** Returns why the lapse must be refused (its fence is not in place), or nothing. */
    std::optional<std::string> objectionToLapse(const wire::LapseWorker &lapse) const;

    /** Returns why the worker may get no new task, or nothing. */
    std::optional<std::string> objectionTo(const std::string &worker) const;

    bool drained(const std::string &worker) const;

    /** Returns the log offset of the worker's fence; 0 if it is not fenced. */
    Offset fence(const std::string &worker) const;

    const std::map<std::string, wire::WorkerMark> &all() const { return this->restrictions; }

    void save(wire::Snapshot &snapshot) const;
    void load(const wire::Snapshot &snapshot);

private:
    void dropIfClear(const std::string &worker);

    std::map<std::string, wire::WorkerMark> restrictions;
};

} // namespace godwitfall
