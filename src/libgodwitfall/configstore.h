#pragma once

#include <map>
#include <optional>
#include <string>

#include "decision.h"
#include "godwitfall.pb.h"

namespace godwitfall {

/**
 * The configuration that operators publish; a value's version is its offset in the log.
 *
 * Every reader checks an entry alike, so an invalid change is refused everywhere, and a change of
 * several entries is applied whole or not at all.
 */
class ConfigStore
{
public:
    Decision set(const wire::Record &record, Offset offset);

    /** Returns why the entry is not acceptable, or nothing. */
    static std::optional<std::string> objectionTo(const std::string &key, const std::string &value);

    /** Returns the value of the key as a number, or the fallback when it was never set. */
    std::int64_t number(const std::string &key, std::int64_t fallback) const;

    const std::map<std::string, wire::ConfigValue> &all() const { return this->values; }

    void save(wire::Snapshot &snapshot) const;
    void load(const wire::Snapshot &snapshot);

private:
    std::map<std::string, wire::ConfigValue> values;
};

} // namespace godwitfall
