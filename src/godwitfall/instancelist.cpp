#include "instancelist.h"

#include <array>
#include <optional>
#include <string_view>

#include "address.h"
#include "jsoncodec.h"

namespace godwitfall {

namespace {

/** One element of an array that is a member of the list. */
struct Entry
{
    std::string_view member; ///< Name of the array.
    std::string_view json;
};

/**
 * Splits the list into its entries; returns nothing if it is no JSON object or not complete.
 *
 * Only strings and brackets are told apart, so that what is odd about an entry stays within it.
 */
std::optional<std::vector<Entry>> splitEntries(std::string_view json)
{
    constexpr int memberLevel = 1;
    constexpr int entryLevel = 3;
    const std::size_t first = json.find_first_not_of(" \t\r\n");
    if (first == std::string_view::npos || json[first] != '{') {
        return std::nullopt;
    }
    std::vector<Entry> entries;
    std::string_view member;
    std::optional<std::size_t> stringBegin;
    std::size_t entryBegin = 0;
    int level = 0;
    for (std::size_t at = first; at < json.size(); ++at) {
        const char character = json[at];
        if (stringBegin) {
            if (character == '\\') {
                ++at;
            } else if (character == '"') {
                member =
                    level == memberLevel ? json.substr(*stringBegin, at - *stringBegin) : member;
                stringBegin.reset();
            }
        } else if (character == '"') {
            stringBegin = at + 1;
        } else if (character == '{' || character == '[') {
            if (++level == entryLevel) {
                entryBegin = at;
            }
        } else if (character == '}' || character == ']') {
            if (level-- == entryLevel) {
                entries.push_back(Entry{member, json.substr(entryBegin, at + 1 - entryBegin)});
            }
        }
    }
    return level == 0 && !stringBegin ? std::optional(std::move(entries)) : std::nullopt;
}

Result<void> addWorker(const std::string &json, const std::string &peer, wire::InstanceList &list)
{
    wire::ListedWorker worker;
    return fromJson(json, worker, "read list entry", peer)
        .and_then([&] { return parseEndpoint(worker.address()); })
        .map([&](const auto &) { *list.add_workers() = worker; });
}

Result<void> addInstance(const std::string &json, const std::string &peer, wire::InstanceList &list)
{
    wire::ListedInstance instance;
    return fromJson(json, instance, "read list entry", peer)
        .and_then([&] { return parseEndpoint(instance.peer_address()); })
        .map([&](const auto &) { *list.add_instances() = instance; });
}

/** Adds the entries of one member of the list. */
struct EntryKind
{
    std::string_view member;
    Result<void> (*add)(const std::string &json, const std::string &peer, wire::InstanceList &list);
};

constexpr std::array entryKinds = {
    EntryKind{"workers", addWorker},
    EntryKind{"instances", addInstance},
};

} // namespace

Result<ParsedInstanceList> parseInstanceList(const std::string &json, const std::string &peer)
{
    const auto entries = splitEntries(json);
    if (!entries) {
        return tl::unexpected(
            Error{Fate::Invalid, "read list", peer, "the body is not a complete JSON object"});
    }
    ParsedInstanceList parsed;
    for (const Entry &entry : *entries) {
        for (const EntryKind &kind : entryKinds) {
            if (kind.member != entry.member) {
                continue;
            }
            if (const auto added = kind.add(std::string(entry.json), peer, parsed.list); !added) {
                parsed.unusable.push_back(added.error().text());
            }
        }
    }
    return parsed;
}

} // namespace godwitfall
