#include "settingsloader.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <map>
#include <memory>
#include <sstream>

#include <tclap/CmdLine.h>

#include "workerchooser.h"

namespace godwitfall {

namespace {

using google::protobuf::FieldDescriptor;

constexpr std::size_t shortestToken = 16;
constexpr std::uint64_t highestPort = 65535;

const wire::SettingRule &ruleOf(const FieldDescriptor &field)
{
    return field.options().GetExtension(wire::rule);
}

std::string flagName(const FieldDescriptor &field)
{
    std::string name = field.name();
    std::replace(name.begin(), name.end(), '_', '-');
    return name;
}

std::string variableName(const FieldDescriptor &field)
{
    std::string name = "GODWITFALL_" + field.name();
    std::transform(name.begin(), name.end(), name.begin(), ::toupper);
    return name;
}

std::vector<const FieldDescriptor *> fields()
{
    std::vector<const FieldDescriptor *> all;
    const google::protobuf::Descriptor &descriptor = *wire::Settings::descriptor();
    all.reserve(static_cast<std::size_t>(descriptor.field_count()));
    for (int index = 0; index < descriptor.field_count(); ++index) {
        all.push_back(descriptor.field(index));
    }
    return all;
}

std::string allowed(const FieldDescriptor &field)
{
    const wire::SettingRule &rule = ruleOf(field);
    if (field.cpp_type() != FieldDescriptor::CPPTYPE_INT64) {
        return rule.unit();
    }
    return std::to_string(rule.min()) + " to " + std::to_string(rule.max()) + " " + rule.unit();
}

std::string fault(const FieldDescriptor &field, const std::string &value)
{
    const std::string shown = ruleOf(field).secret() ? "(secret)" : "'" + value + "'";
    return "--" + flagName(field) + " (" + variableName(field) + "): " + shown +
           " is not allowed; give " + allowed(field);
}

bool isAddress(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return false;
    }
    std::uint64_t port = 0;
    const char *end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + colon + 1, end, port);
    const bool digits = text.find_first_not_of("0123456789.", 0) == colon;
    return read.ec == std::errc() && read.ptr == end && port >= 1 && port <= highestPort && digits;
}

/** The words that a unit such as "a|b|c" allows. */
bool isOneOf(const std::string &value, const std::string &unit)
{
    std::istringstream words(unit);
    std::string word;
    while (std::getline(words, word, '|')) {
        if (word == value) {
            return true;
        }
    }
    return false;
}

bool acceptableText(const FieldDescriptor &field, const std::string &value)
{
    const wire::SettingRule &rule = ruleOf(field);
    if (rule.secret()) {
        return value.size() >= shortestToken;
    }
    if (rule.unit() == "ip:port") {
        return isAddress(value);
    }
    if (rule.unit().find('|') != std::string::npos) {
        return isOneOf(value, rule.unit());
    }
    return !value.empty() &&
           value.find_first_not_of(
               "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") ==
               std::string::npos;
}

void store(const FieldDescriptor &field, const std::string &value, LoadedSettings &loaded)
{
    const google::protobuf::Reflection &reflection = *loaded.settings.GetReflection();
    if (value.empty() && ruleOf(field).required()) {
        loaded.faults.push_back("--" + flagName(field) + " (" + variableName(field) +
                                "): is required; " + ruleOf(field).help());
        return;
    }
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_INT64) {
        std::int64_t number = 0;
        const char *end = value.data() + value.size();
        const auto read = std::from_chars(value.data(), end, number);
        const bool whole = read.ec == std::errc() && read.ptr == end;
        if (!whole || number < ruleOf(field).min() || number > ruleOf(field).max()) {
            loaded.faults.push_back(fault(field, value));
            return;
        }
        reflection.SetInt64(&loaded.settings, &field, number);
        return;
    }
    if (!acceptableText(field, value)) {
        loaded.faults.push_back(fault(field, value));
        return;
    }
    reflection.SetString(&loaded.settings, &field, value);
}

void checkTogether(LoadedSettings &loaded)
{
    const wire::Settings &settings = loaded.settings;
    if (settings.heartbeat_ms() * 3 > settings.lease_ms()) {
        loaded.faults.emplace_back("--lease-ms: must be at least three times --heartbeat-ms, so "
                                   "that two lost renewals do no harm");
    }
    if (settings.peer_timeout_ms() < settings.heartbeat_ms() * 2) {
        loaded.faults.emplace_back("--peer-timeout-ms: must be at least twice --heartbeat-ms");
    }
    if (settings.task_lease_ms() < settings.lease_ms() + settings.peer_timeout_ms()) {
        loaded.faults.emplace_back("--task-lease-ms: must be at least --lease-ms plus "
                                   "--peer-timeout-ms, so that tasks outlive a takeover");
    }
}

} // namespace

LoadedSettings loadSettings(const std::vector<std::string> &arguments,
                            const Environment &environment)
{
    LoadedSettings loaded;
    TCLAP::CmdLine command("Flags win over environment variables, which win over defaults.", ' ',
                           "", false);
    command.setExceptionHandling(false);
    TCLAP::SwitchArg help("h", "help", "Shows this help.", command);
    std::map<const FieldDescriptor *, std::unique_ptr<TCLAP::ValueArg<std::string>>> values;
    for (const FieldDescriptor *field : fields()) {
        const wire::SettingRule &rule = ruleOf(*field);
        const std::string text = rule.help() + " Allowed: " + allowed(*field) +
                                 (rule.standard().empty() ? "" : ". Default: " + rule.standard()) +
                                 ". Environment: " + variableName(*field);
        values[field] = std::make_unique<TCLAP::ValueArg<std::string>>(
            "", flagName(*field), text, false, "", rule.unit(), command);
    }
    std::vector<std::string> words = arguments;
    try {
        command.parse(words);
    } catch (const TCLAP::ArgException &failure) {
        loaded.faults.push_back(failure.argId() + ": " + failure.error());
        return loaded;
    }
    if (help.getValue()) {
        loaded.help = settingsReference();
        return loaded;
    }
    for (const FieldDescriptor *field : fields()) {
        std::string value = ruleOf(*field).standard();
        const std::string fromEnvironment = environment(variableName(*field));
        if (values[field]->isSet()) {
            value = values[field]->getValue();
        } else if (!fromEnvironment.empty()) {
            value = fromEnvironment;
        }
        store(*field, value, loaded);
    }
    if (loaded.faults.empty()) {
        checkTogether(loaded);
    }
    return loaded;
}

namespace {

/** Limits of `godwitfall instance` on its clients; the platform gives these, without flags. */
constexpr const char *instanceLimits = R"(
## Limits of an entry instance on its clients

`godwitfall instance` has no flags for these. `limits.` of the settings file applies from the start of the process,
`limits` of the configuration to each request of a client that begins after it is in force. What is absent has the
default; in the configuration, a 0 other than that of `body_bytes` counts as absent.

| where | field | default | what it does |
|---|---|---|---|
| settings file | `limits.memory_mb` | 256 MB | Memory of the machine; an eighth is for requests from their first byte to their response, each taken as four times its size; a quarter bounds the estimated memory of accepted jobs (64 MB if the setting is absent). |
| settings file | `limits.max_fds` | 4096 | Descriptors of the process; a quarter is for connections to its listeners, at most 1024 to each. |
| configuration | `limits.body_bytes` | 262144 | Largest body; a larger one is refused with 413. |
| configuration | `limits.header_bytes` | 16384 | Largest header, trailers or header of a chunk; larger ones are refused with 431. |
| configuration | `limits.header_timeout_ms` | 3000 | Longest time from the first byte of a request to the end of its header; then 408. |
| configuration | `limits.idle_timeout_ms` | 15000 | Longest time that a connection is kept without a request. |
| fixed | rate of a body | 512 bytes a second | Lowest rate, over each 10 s; then 408. |
| fixed | time to send a response | 10 s | Then the connection is closed. |
)";

} // namespace

std::string settingsReference()
{
    std::ostringstream page;
    page
        << "# Settings\n\n"
        << "Made from schema/settings.proto by `godwitfall check-settings --reference`. Flags win\n"
        << "over environment variables, which win over defaults.\n\n"
        << "| flag | environment variable | allowed | default | what it does |\n"
        << "|---|---|---|---|---|\n";
    for (const FieldDescriptor *field : fields()) {
        const wire::SettingRule &rule = ruleOf(*field);
        std::string range = allowed(*field);
        for (std::size_t at = range.find('|'); at != std::string::npos;
             at = range.find('|', at + 4)) {
            range.replace(at, 1, " or ");
        }
        page << "| `--" << flagName(*field) << "` | `" << variableName(*field) << "` | " << range
             << " | " << (rule.required() ? "required" : rule.standard()) << " | " << rule.help()
             << " |\n";
    }
    page << instanceLimits;
    return page.str();
}

std::string processEnvironment(const std::string &name)
{
    const char *value = std::getenv(name.c_str());
    return value == nullptr ? std::string() : std::string(value);
}

} // namespace godwitfall
