#pragma once

#include <cstdint>
#include <filesystem>
#include <string>

namespace godwitfall::soak {

/** Addresses and files of a deployment of instances, workers and a store on loopback. */
struct SoakLayout
{
    unsigned network = 20; ///< Second number of every address, so that runs don't meet.
    std::size_t instances = 5;
    std::size_t workers = 6;
    /** Also plays planned operations in series and overlapping, and loses workers for good. */
    bool extended = false;
    /** Also plays connections that go silent, and workers that restart within a heartbeat. */
    bool connections = false;
    /** With connections: instances and their callers also meet through proxies, so that connections
     * between all components go silent. */
    bool silence = false;
    /** Also plays cuts, restarts and crashes of workers in series, beside a store that rejects
     * calls and lost coordinators: what could close a job without cause. */
    bool closing = false;
    /** Off: instances are told of no condition on workers, to show that the checks notice. */
    bool tellsConditions = true;
    std::filesystem::path folder; ///< Of settings, logs and process ids.

    /** Returns the kind of the worker as it first starts; a label of its entry. */
    static const char *kindOf(std::size_t worker) { return worker % 2 == 0 ? "a" : "b"; }

    std::string storeAddress() const { return this->address(0, 1); }

    /** Where the instance finds the store; a proxy. */
    std::string storeProxyAddress(std::size_t instance) const { return this->address(1, instance); }

    std::string workerAddress(std::size_t worker) const { return this->address(2, worker); }

    /** Where instances find the worker; a proxy. */
    std::string workerProxyAddress(std::size_t worker) const { return this->address(3, worker); }

    std::string instanceName(std::size_t instance) const
    {
        return "instance" + std::to_string(instance);
    }

    std::string entranceAddress(std::size_t instance) const { return this->address(4, instance); }

    /** Where clients find the instance; a proxy if the callers of instances go silent. */
    std::string clientAddress(std::size_t instance) const
    {
        return this->silence ? this->address(6, instance) : this->entranceAddress(instance);
    }

    /** Where the instance listens for other instances. */
    std::string peerAddress(std::size_t instance) const
    {
        return this->ip(4, instance) + ":" + std::to_string(peerPort);
    }

    /** Where other instances find the instance if connections between them go silent; a proxy. */
    std::string peerProxyAddress(std::size_t instance) const
    {
        return this->ip(5, instance) + ":" + std::to_string(peerPort);
    }

    /** Where the instance says whether it wants new connections. */
    std::string readinessAddress(std::size_t instance) const
    {
        return this->ip(4, instance) + ":" + std::to_string(readinessPort);
    }

    std::filesystem::path settingsFile(std::size_t instance) const
    {
        return this->folder / (this->instanceName(instance) + ".conf");
    }

    /** Holds the process id of the instance while it runs; written by who starts it. */
    std::filesystem::path processFile(std::size_t instance) const
    {
        return this->folder / (this->instanceName(instance) + ".pid");
    }

    /** Holds the status of each end of the instance, one a line; written by who starts it. */
    std::filesystem::path endsFile(std::size_t instance) const
    {
        return this->folder / (this->instanceName(instance) + ".ends");
    }

    /** While it is there, ended instances are not started again. */
    std::filesystem::path stopFile() const { return this->folder / "stop"; }

    /** Returns the text of the instance's settings file. */
    std::string settings(std::size_t instance) const;

    static constexpr const char *queueHost = "plans.example";
    static constexpr const char *queuePrefix = "/plan/";
    static constexpr const char *serviceName = "orchard";
    /** A queue whose service has one worker, which no fault affects. */
    static constexpr const char *otherQueuePrefix = "/vine/";
    static constexpr const char *otherServiceName = "vineyard";
    static constexpr int maxAttempts = 3; ///< Of a task of the queues.

private:
    static constexpr unsigned port = 7300;
    static constexpr unsigned readinessPort = 7301;
    static constexpr unsigned peerPort = 7302;
    static constexpr unsigned lastInternalPort = 7303;

    std::string ip(std::size_t group, std::size_t index) const
    {
        return "127." + std::to_string(this->network) + "." + std::to_string(group) + "." +
               std::to_string(index + 1);
    }

    std::string address(std::size_t group, std::size_t index) const
    {
        return this->ip(group, index) + ":" + std::to_string(port);
    }
};

} // namespace godwitfall::soak
