#pragma once

#include <deque>
#include <map>
#include <string>

#include "clock.h"
#include "godwitfall.pb.h"

namespace godwitfall::fakes {

/** An append-only log of streams with offsets from 1 and limited retention. */
class FakeLog
{
public:
    /** Adds the payload and returns its offset. */
    std::uint64_t append(const std::string &stream, const std::string &payload);

    wire::ReadReply read(const std::string &stream, std::uint64_t from, std::size_t most) const;

    /** Returns the offset after the last entry. */
    std::uint64_t end(const std::string &stream) const;

    std::uint64_t appends() const { return this->appendCount; }

    /** Number of entries kept per stream. */
    std::size_t retention = 1000000;

private:
    struct Entries
    {
        std::uint64_t first = 1;
        std::deque<std::string> payloads;
    };

    std::map<std::string, Entries> streams;
    std::uint64_t appendCount = 0;
};

} // namespace godwitfall::fakes
