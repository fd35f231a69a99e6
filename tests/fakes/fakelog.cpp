#include "fakelog.h"

#include <algorithm>

namespace godwitfall::fakes {

std::uint64_t FakeLog::append(const std::string &stream, const std::string &payload)
{
    Entries &entries = this->streams[stream];
    entries.payloads.push_back(payload);
    ++this->appendCount;
    const std::uint64_t offset = entries.first + entries.payloads.size() - 1;
    while (entries.payloads.size() > this->retention) {
        entries.payloads.pop_front();
        ++entries.first;
    }
    return offset;
}

wire::ReadReply FakeLog::read(const std::string &stream, std::uint64_t from, std::size_t most) const
{
    wire::ReadReply reply;
    const auto found = this->streams.find(stream);
    if (found == this->streams.end()) {
        reply.set_first_retained(1);
        reply.set_end(1);
        return reply;
    }
    const Entries &entries = found->second;
    const std::uint64_t end = entries.first + entries.payloads.size();
    reply.set_first_retained(entries.first);
    reply.set_end(end);
    const std::uint64_t begin = std::max(from, entries.first);
    for (std::uint64_t offset = begin; offset < end && offset < begin + most; ++offset) {
        wire::LogEntry &entry = *reply.add_entries();
        entry.set_offset(offset);
        entry.set_payload(entries.payloads[offset - entries.first]);
    }
    return reply;
}

std::uint64_t FakeLog::end(const std::string &stream) const
{
    const auto found = this->streams.find(stream);
    return found == this->streams.end() ? 1 : found->second.first + found->second.payloads.size();
}

} // namespace godwitfall::fakes
