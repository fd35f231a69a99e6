#include "fairqueue.h"

#include <algorithm>

namespace godwitfall {

void FairQueue::push(const std::string &caller, std::uint64_t entry)
{
    std::deque<std::uint64_t> &line = this->lines[caller];
    if (line.empty()) {
        this->turns.push_back(caller);
    }
    line.push_back(entry);
    ++this->total;
}

void FairQueue::pushFront(const std::string &caller, std::uint64_t entry)
{
    std::deque<std::uint64_t> &line = this->lines[caller];
    if (line.empty()) {
        this->turns.push_front(caller);
    }
    line.push_front(entry);
    ++this->total;
}

std::optional<std::uint64_t> FairQueue::pop()
{
    if (this->turns.empty()) {
        return std::nullopt;
    }
    const std::string caller = this->turns.front();
    this->turns.pop_front();
    const auto found = this->lines.find(caller);
    const std::uint64_t entry = found->second.front();
    found->second.pop_front();
    --this->total;
    if (found->second.empty()) {
        this->lines.erase(found);
    } else {
        this->turns.push_back(caller);
    }
    return entry;
}

bool FairQueue::remove(const std::string &caller, std::uint64_t entry)
{
    const auto found = this->lines.find(caller);
    if (found == this->lines.end()) {
        return false;
    }
    const auto position = std::find(found->second.begin(), found->second.end(), entry);
    if (position == found->second.end()) {
        return false;
    }
    found->second.erase(position);
    --this->total;
    if (found->second.empty()) {
        this->lines.erase(found);
        this->turns.remove(caller);
    }
    return true;
}

std::size_t FairQueue::sizeOf(const std::string &caller) const
{
    const auto found = this->lines.find(caller);
    return found == this->lines.end() ? 0 : found->second.size();
}

} // namespace godwitfall
