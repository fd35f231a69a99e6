#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "httpclient.h"
#include "soaklayout.h"

namespace godwitfall::soak {

/**
 * Callers that each stay on one connection, and so on one instance, until it ends.
 *
 * As on the platform, only instances that report themselves ready get their new connections.
 */
class KeptCallers
{
public:
    struct Caller
    {
        explicit Caller(boost::asio::io_context &context)
            : http(context)
        {}

        HttpClient http;
        std::size_t instance = 0;
        bool busy = false;
        std::int64_t nextAt = 0; ///< When it asks again, in ms since the run began.
    };

    KeptCallers(boost::asio::io_context &context, const SoakLayout &layout, std::uint64_t seed);

    /** Probes the instances; the time is in ms since the run began. */
    void tick(std::int64_t now);

    /** Returns the idle callers; dueOnly: those whose pause is over. */
    std::vector<Caller *> idle(bool dueOnly);

    /** Notes the end of a call; a caller whose connection ended takes one to a ready instance. */
    void finished(Caller &caller, const Result<HttpResponse> &result);

    std::uint64_t below(std::uint64_t bound) { return this->random() % bound; }

private:
    void probe(std::size_t instance);
    std::size_t drawInstance();

    const SoakLayout layout;
    std::mt19937_64 random;
    HttpClient http;
    std::vector<std::unique_ptr<Caller>> callers;
    std::vector<unsigned> misses; ///< Of probes in a row, by instance.
    std::int64_t nowMs = 0;
    std::int64_t probesAt = 0;
};

} // namespace godwitfall::soak
