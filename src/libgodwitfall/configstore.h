#pragma once

#include <map>
#include <optional>
#include <string>

#include "decision.h"
#include "godwitfall.pb.h"

namespace godwitfall {

/**
 * The configuration that operators set; the version of a value is its offset in the log.
 *
 * All instances validate a change alike, so an invalid one is refused everywhere. A change of
 * several entries is applied atomically.
 */
class ConfigStore
{
public:
    /** Applies a change; refuses one that is invalid or based on an outdated version. */
    Decision set(const wire::Record &record, Offset offset);

    /** Returns why the entry is invalid, or nothing. */
    static std::optional<std::string> objectionTo(const std::string &key, const std::string &value);

    /** Returns the value of the key as a number, or the fallback if it was never set. */
    std::int64_t number(const std::string &key, std::int64_t fallback) const;

    const std::map<std::string, wire::ConfigValue> &all() const { return this->values; }

    void save(wire::Snapshot &snapshot) const;
    void load(const wire::Snapshot &snapshot);

private:
    std::map<std::string, wire::ConfigValue> values;
};

} // namespace godwitfall
