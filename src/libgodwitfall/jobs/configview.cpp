#include "configview.h"

#include <algorithm>

namespace godwitfall {

ConfigView::ConfigView(Duration applyTime)
    // The rest is for a request in transit.
    : longestDenialAge(applyTime * 3 / 4)
{}

bool ConfigView::apply(const JobConfig &newer)
{
    if (this->config && newer.version <= this->config->version) {
        return false;
    }
    this->config = newer;
    return true;
}

bool ConfigView::noteVersion(std::uint64_t known)
{
    if (known <= this->newestVersion()) {
        return false;
    }
    this->newestKnown = known;
    return true;
}

void ConfigView::readTo(Instant asOf)
{
    this->viewedAt = std::max(this->viewedAt, asOf);
}

} // namespace godwitfall
