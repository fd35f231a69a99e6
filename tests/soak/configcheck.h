#pragma once

#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "faultplan.h"
#include "httpclient.h"
#include "soaklayout.h"

namespace godwitfall::soak {

/**
 * Changes the configuration and asks each instance for queues that were just added or removed.
 *
 * An instance in touch handles a request by a version that may still be in force 2 s after the next
 * one was acknowledged, and no incarnation goes back to an older version than it has shown.
 */
class ConfigCheck
{
public:
    ConfigCheck(boost::asio::io_context &context, const SoakLayout &layout, FaultPlan &faults,
                PlatformStore &store, std::uint64_t seed);

    /** Writes the next version: a queue of its own, that of the version before, and the common one.
     */
    void publish(std::int64_t nowMs);

    /** Asks what is due; the time is in ms since the run began. */
    void tick(std::int64_t nowMs);

    /** Notes that this process itself stood still until now, so that answers came late. */
    void notePause(std::int64_t nowMs) { this->troubledMs = nowMs; }

    /** Called with each broken promise. */
    std::function<void(const std::string &)> broken;

    unsigned answers() const { return this->answered; }

private:
    struct Version
    {
        std::uint64_t number = 0;
        std::int64_t atMs = 0;
        std::set<std::string> queues;
    };

    /** What an incarnation of an instance has shown. */
    struct Shown
    {
        std::string process;     ///< Its process id.
        std::size_t version = 0; ///< Index of the oldest version that allowed its answer.
        std::int64_t atMs = 0;
    };

    void ask(std::size_t instance);
    void judge(std::size_t instance, const std::string &process, const std::string &queue,
               unsigned status, std::int64_t sentMs);
    std::string processOf(std::size_t instance) const;

    const SoakLayout layout;
    FaultPlan &faults;
    PlatformStore &store;
    std::mt19937_64 random;
    HttpClient http;
    std::vector<Version> versions;
    std::vector<Shown> shown;
    std::int64_t nowMs = 0;
    std::int64_t publishAt = 0;
    std::int64_t askAt = 0;
    std::int64_t troubledMs = 0; ///< When the store was last in trouble.
    unsigned answered = 0;
};

} // namespace godwitfall::soak
