#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>

namespace godwitfall {

/**
 * A queue that serves its callers round-robin; its user bounds the size.
 *
 * A caller that sends many requests delays its own requests, not those of other callers.
 */
class FairQueue
{
public:
    /** Appends an entry to the caller's own queue. */
    void push(const std::string &caller, std::uint64_t entry);

    /** Puts an entry back at the head of the caller's queue; a caller without others is next. */
    void pushFront(const std::string &caller, std::uint64_t entry);

    /** Removes and returns the first entry of the next caller, or nothing if the queue is empty. */
    std::optional<std::uint64_t> pop();

    /** Removes the entry; returns whether it was there. */
    bool remove(const std::string &caller, std::uint64_t entry);

    std::size_t size() const { return this->total; }
    std::size_t sizeOf(const std::string &caller) const;
    std::size_t callers() const { return this->entriesByCaller.size(); }

private:
    std::map<std::string, std::deque<std::uint64_t>> entriesByCaller;
    std::list<std::string> rotation;
    std::size_t total = 0;
};

} // namespace godwitfall
