#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>

namespace godwitfall {

/**
 * A bounded queue that serves its callers in turn.
 *
 * A caller that sends many requests waits behind its own, not in front of everyone's.
 */
class FairQueue
{
public:
    /** Adds an entry for the caller at the end of that caller's own line. */
    void push(const std::string &caller, std::uint64_t entry);

    /** Puts an entry back at the head of the caller's line. */
    void pushFront(const std::string &caller, std::uint64_t entry);

    /** Takes the first entry of the caller whose turn it is, or returns nothing. */
    std::optional<std::uint64_t> pop();

    /** Takes out the entry; returns whether it was there. */
    bool remove(const std::string &caller, std::uint64_t entry);

    std::size_t size() const { return this->total; }
    std::size_t sizeOf(const std::string &caller) const;
    std::size_t callers() const { return this->lines.size(); }

private:
    std::map<std::string, std::deque<std::uint64_t>> lines;
    std::list<std::string> turns;
    std::size_t total = 0;
};

} // namespace godwitfall
