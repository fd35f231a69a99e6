#include "invariant.h"

#include <cstdlib>
#include <iostream>
#include <mutex>

namespace godwitfall {

namespace {

struct Registry
{
    std::mutex mutex;
    std::map<std::string, InvariantCount> counts;
    InvariantHandler handler = [](const std::string &name, const std::string &seen) {
        std::cerr << "invariant broken: " << name << ": " << seen << std::endl;
        std::abort();
    };
};

Registry &registry()
{
    static Registry instance;
    return instance;
}

} // namespace

InvariantHandler setInvariantHandler(InvariantHandler handler)
{
    std::lock_guard lock(registry().mutex);
    std::swap(registry().handler, handler);
    return handler;
}

void checkInvariant(bool holds, const char *name, const std::function<std::string()> &seen)
{
    InvariantHandler handler;
    {
        std::lock_guard lock(registry().mutex);
        InvariantCount &count = registry().counts[name];
        ++count.checked;
        if (holds) {
            return;
        }
        ++count.broken;
        handler = registry().handler;
    }
    handler(name, seen());
}

std::map<std::string, InvariantCount> invariantCounts()
{
    std::lock_guard lock(registry().mutex);
    return registry().counts;
}

} // namespace godwitfall
