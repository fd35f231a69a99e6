#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "godwitfall.pb.h"
#include "workertable.h"

namespace godwitfall {

/**
 * One change that an operator can make.
 *
 * Its record goes into the log; whether it takes effect the log's order decides. What is known to
 * be wrong before that is refused at once.
 */
class Change
{
public:
    virtual ~Change() = default;

    /** Returns why the change can't be right, or nothing. */
    virtual std::optional<std::string> objection(const WorkerTable &workers) const;

    /** Fills in what the log is to hold of the change. */
    virtual void fill(wire::Record &record) const = 0;

    /** Returns whether the answer waits until all that can be reached have applied the change. */
    virtual bool waitsForAll() const { return false; }

    /** Offset that the operator decided on; 0 is no condition. */
    std::uint64_t basedOn = 0;
};

class SubmitChange : public Change
{
public:
    std::optional<std::string> objection(const WorkerTable &workers) const override;
    void fill(wire::Record &record) const override { *record.mutable_submit() = this->submit; }

    wire::SubmitTask submit;
};

class CancelChange : public Change
{
public:
    void fill(wire::Record &record) const override { *record.mutable_cancel() = this->cancel; }

    wire::CancelTasks cancel;
};

class HoldChange : public Change
{
public:
    void fill(wire::Record &record) const override { *record.mutable_hold() = this->hold; }

    wire::HoldTask hold;
};

class EvictChange : public Change
{
public:
    void fill(wire::Record &record) const override { *record.mutable_evict() = this->evict; }

    wire::EvictTask evict;
};

class PlaceChange : public Change
{
public:
    void fill(wire::Record &record) const override { *record.mutable_place() = this->place; }

    wire::PlaceTask place;
};

class ThrottleChange : public Change
{
public:
    std::optional<std::string> objection(const WorkerTable &workers) const override;
    void fill(wire::Record &record) const override { *record.mutable_throttle() = this->throttle; }

    wire::ThrottleTask throttle;
};

class PriorityChange : public Change
{
public:
    void fill(wire::Record &record) const override
    {
        *record.mutable_prioritise() = this->prioritise;
    }

    wire::PrioritiseTask prioritise;
};

class DrainChange : public Change
{
public:
    void fill(wire::Record &record) const override { *record.mutable_drain() = this->drain; }

    wire::DrainWorker drain;
};

class ConfigChange : public Change
{
public:
    std::optional<std::string> objection(const WorkerTable &workers) const override;
    void fill(wire::Record &record) const override { *record.mutable_config() = this->config; }
    bool waitsForAll() const override { return true; }

    wire::SetConfig config;
};

} // namespace godwitfall
