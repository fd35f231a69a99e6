#include "configstore.h"

#include <array>
#include <charconv>
#include <set>
#include <string_view>

#include "invariant.h"

namespace godwitfall {

namespace {

constexpr std::size_t maxKeyBytes = 128;

/** Permits keys with the given prefix and suffix, and values within the given range. */
struct KeyRule
{
    std::string_view prefix;
    std::string_view suffix;
    std::int64_t min;
    std::int64_t max;
};

constexpr std::array keyRules = {
    KeyRule{"team.", ".milli_cores", 0, 1'000'000'000},
    KeyRule{"service.", ".budget_ms", 1, 600'000},
    KeyRule{"service.", ".max_waiting", 0, 100'000},
    KeyRule{"caller.", ".share_percent", 1, 100},
    KeyRule{"limit.retry_percent", "", 0, 100},
    KeyRule{"note.", "", 0, 1'000'000'000},
};

bool matches(const KeyRule &rule, std::string_view key)
{
    return key.size() >= rule.prefix.size() + rule.suffix.size() &&
           key.substr(0, rule.prefix.size()) == rule.prefix &&
           key.substr(key.size() - rule.suffix.size()) == rule.suffix;
}

std::optional<std::int64_t> parseNumber(const std::string &text)
{
    std::int64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failure != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

} // namespace

std::optional<std::string> ConfigStore::objectionTo(const std::string &key,
                                                    const std::string &value)
{
    if (key.size() > maxKeyBytes) {
        return "a key has at most " + std::to_string(maxKeyBytes) + " bytes";
    }
    for (const KeyRule &rule : keyRules) {
        if (!matches(rule, key)) {
            continue;
        }
        const std::optional<std::int64_t> number = parseNumber(value);
        if (!number || *number < rule.min || *number > rule.max) {
            return key + ": '" + value + "' is not a whole number from " +
                   std::to_string(rule.min) + " to " + std::to_string(rule.max);
        }
        return std::nullopt;
    }
    return key + " is not a key of the configuration";
}

Decision ConfigStore::set(const wire::Record &record, Offset offset)
{
    if (record.config().entries().empty()) {
        return Decision::refuse("names no entry");
    }
    std::set<std::string> seen;
    for (const wire::ConfigEntry &entry : record.config().entries()) {
        if (const auto objection = objectionTo(entry.key(), entry.value())) {
            return Decision::refuse(*objection);
        }
        if (!seen.insert(entry.key()).second) {
            return Decision::refuse(entry.key() + " stands twice");
        }
        const auto found = this->values.find(entry.key());
        if (record.based_on() != 0 && found != this->values.end() &&
            found->second.offset() > record.based_on()) {
            return Decision::refuse(entry.key() + " was changed at offset " +
                                        std::to_string(found->second.offset()),
                                    found->second.author());
        }
    }
    for (const wire::ConfigEntry &entry : record.config().entries()) {
        wire::ConfigValue &value = this->values[entry.key()];
        checkInvariant(value.offset() <= offset.value(), "configuration-never-reverts",
                       [&] { return entry.key(); });
        value.set_key(entry.key());
        value.set_value(entry.value());
        value.set_offset(offset.value());
        value.set_author(record.author());
    }
    return Decision::accept();
}

std::int64_t ConfigStore::number(const std::string &key, std::int64_t fallback) const
{
    const auto found = this->values.find(key);
    if (found == this->values.end()) {
        return fallback;
    }
    return parseNumber(found->second.value()).value_or(fallback);
}

void ConfigStore::save(wire::Snapshot &snapshot) const
{
    for (const auto &[key, value] : this->values) {
        *snapshot.add_config() = value;
    }
}

void ConfigStore::load(const wire::Snapshot &snapshot)
{
    this->values.clear();
    for (const wire::ConfigValue &value : snapshot.config()) {
        this->values[value.key()] = value;
    }
}

} // namespace godwitfall
