#pragma once

#include <string>
#include <vector>

namespace godwitfall::standins {

/** Where everything of a local deployment listens; all on the loopback network. */
struct Layout
{
    std::vector<std::string> zones;
    int workersPerZone = 4;
    int instancesPerZone = 3;

    std::string controlAddress() const { return "127.0.0.1:7000"; }
    std::string zoneIp(std::size_t zone, int host) const
    {
        return "127.0." + std::to_string(zone + 1) + "." + std::to_string(host);
    }
    std::string platformAddress(std::size_t zone) const { return this->zoneIp(zone, 1) + ":7100"; }
    std::string workerName(std::size_t zone, int index) const
    {
        return this->zones[zone] + "-w" + std::to_string(index);
    }
    std::string workerAddress(std::size_t zone, int index) const
    {
        return this->zoneIp(zone, 10 + index) + ":7200";
    }
    std::string instanceName(std::size_t zone, int index) const
    {
        return this->zones[zone] + "-i" + std::to_string(index);
    }
    std::string instanceHttp(std::size_t zone, int index) const
    {
        return this->zoneIp(zone, 200 + index) + ":7300";
    }
    std::string instancePeer(std::size_t zone, int index) const
    {
        return this->zoneIp(zone, 200 + index) + ":7301";
    }
};

} // namespace godwitfall::standins
