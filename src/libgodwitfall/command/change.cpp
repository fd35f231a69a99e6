#include "command/change.h"

#include "configstore.h"
#include "resources.h"

namespace godwitfall {

std::optional<std::string> Change::objection(const WorkerTable &) const
{
    return std::nullopt;
}

std::optional<std::string> SubmitChange::objection(const WorkerTable &workers) const
{
    const Resources size = Resources::fromWire(this->submit.spec().size());
    if (size == Resources()) {
        return "a task needs a size: cores, memory or accelerators";
    }
    return workers.neverFits(size);
}

std::optional<std::string> ThrottleChange::objection(const WorkerTable &) const
{
    if (this->throttle.percent() < 1 || this->throttle.percent() > 100) {
        return "a throttle is 1 to 100 percent";
    }
    return std::nullopt;
}

std::optional<std::string> ConfigChange::objection(const WorkerTable &) const
{
    for (const wire::ConfigEntry &entry : this->config.entries()) {
        if (const auto objection = ConfigStore::objectionTo(entry.key(), entry.value())) {
            return objection;
        }
    }
    return std::nullopt;
}

} // namespace godwitfall
