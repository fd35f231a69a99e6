#pragma once

#include <map>
#include <optional>
#include <string>

#include "decision.h"
#include "godwitfall.pb.h"

namespace godwitfall {

/**
 * Workers that may get no new tasks: drained by an operator, or fenced after long silence.
 *
 * After a fence is in the log no instance renews yielding task leases on that worker, so that they
 * certainly lapse and the attempts can be declared over without the worker's word.
 */
class WorkerMarks
{
public:
    Decision drain(const wire::Record &record, Offset offset);
    Decision fence(const wire::Record &record, Offset offset);
    Decision unfence(const wire::Record &record, Offset offset);

    /** Returns why a lapse of the worker's leases must not be applied, or nothing. */
    std::optional<std::string> objectionToLapse(const wire::LapseWorker &lapse) const;

    /** Returns why the worker may get no new task, or nothing. */
    std::optional<std::string> objectionTo(const std::string &worker) const;

    bool drained(const std::string &worker) const;

    /** Returns the offset of the fence around the worker; 0 when there is none. */
    Offset fence(const std::string &worker) const;

    const std::map<std::string, wire::WorkerMark> &all() const { return this->marks; }

    void save(wire::Snapshot &snapshot) const;
    void load(const wire::Snapshot &snapshot);

private:
    void dropIfClear(const std::string &worker);

    std::map<std::string, wire::WorkerMark> marks;
};

} // namespace godwitfall
