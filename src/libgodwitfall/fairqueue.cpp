#include "fairqueue.h"

#include <algorithm>

namespace godwitfall {

void FairQueue::push(const std::string &caller, std::uint64_t entry)
{
    std::deque<std::uint64_t> &entries = this->entriesByCaller[caller];
    if (entries.empty()) {
        this->rotation.push_back(caller);
    }
    entries.push_back(entry);
    ++this->total;
}

void FairQueue::pushFront(const std::string &caller, std::uint64_t entry)
{
    std::deque<std::uint64_t> &entries = this->entriesByCaller[caller];
    if (entries.empty()) {
        this->rotation.push_front(caller);
    }
    entries.push_front(entry);
    ++this->total;
}

std::optional<std::uint64_t> FairQueue::pop()
{
    if (this->rotation.empty()) {
        return std::nullopt;
    }
    const std::string caller = this->rotation.front();
    this->rotation.pop_front();
    const auto found = this->entriesByCaller.find(caller);
    const std::uint64_t entry = found->second.front();
    found->second.pop_front();
    --this->total;
    if (found->second.empty()) {
        this->entriesByCaller.erase(found);
    } else {
        this->rotation.push_back(caller);
    }
    return entry;
}

bool FairQueue::remove(const std::string &caller, std::uint64_t entry)
{
    const auto found = this->entriesByCaller.find(caller);
    if (found == this->entriesByCaller.end()) {
        return false;
    }
    const auto position = std::find(found->second.begin(), found->second.end(), entry);
    if (position == found->second.end()) {
        return false;
    }
    found->second.erase(position);
    --this->total;
    if (found->second.empty()) {
        this->entriesByCaller.erase(found);
        this->rotation.remove(caller);
    }
    return true;
}

std::size_t FairQueue::sizeOf(const std::string &caller) const
{
    const auto found = this->entriesByCaller.find(caller);
    return found == this->entriesByCaller.end() ? 0 : found->second.size();
}

} // namespace godwitfall
