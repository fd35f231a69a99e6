#include "queueconfig.h"

#include <algorithm>

namespace godwitfall {

const QueueConfig *JobConfig::route(const std::string &host, const std::string &path) const
{
    const QueueConfig *best = nullptr;
    for (const QueueConfig &queue : this->queues) {
        const bool matches = queue.host == host && path.starts_with(queue.prefix);
        if (matches && (!best || queue.prefix.size() > best->prefix.size())) {
            best = &queue;
        }
    }
    return best;
}

const ServiceConfig *JobConfig::service(const ServiceId &name) const
{
    const auto found =
        std::find_if(this->services.begin(), this->services.end(),
                     [&](const ServiceConfig &service) { return service.name == name; });
    return found == this->services.end() ? nullptr : &*found;
}

} // namespace godwitfall
