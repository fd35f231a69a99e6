#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "coordinatorrelay.h"
#include "httpclient.h"
#include "httpserver.h"
#include "instancemetrics.h"
#include "jobnode.h"
#include "platform/entrance.h"
#include "platform/ordersender.h"
#include "platform/settings.h"
#include "platform/storeclient.h"
#include "random.h"

namespace godwitfall {

/**
 * One entry instance on the users' platform: entrance for clients and, when it owns the job log,
 * coordinator of the workers. Runs in one thread.
 */
class EntryInstance : public JobNodeHost
{
public:
    EntryInstance(boost::asio::io_context &context, platform::Settings settings,
                  std::uint64_t incarnation, std::uint16_t metricsPort);
    ~EntryInstance() override;

    /** Listens and begins to follow the store; metrics only where a port is given. */
    Result<void> start();

    /** Goes on after an unexpected error: gives up coordination and reads the log anew. */
    void recover(const char *error);

private:
    /** Position in a topic that is followed by long reads. */
    struct Follower
    {
        std::string topic;
        bool loaded = false;
        bool busy = false;
        std::uint64_t cursor = 0;
        Instant dueAt;
        std::uint64_t generation = 0;
        Instant askedAt; ///< When the read was sent whose answer is awaited or was last taken in.
    };

    void taskReturned(const TaskRef &task, std::uint32_t run, const WorkerId &worker,
                      RunOutcome outcome) override;
    void jobFinished(const Job &job) override;
    void workerEjected(const WorkerId &worker, Duration length) override;
    void workerRestarted(const WorkerId &worker) override;
    void orderFenced(const WorkerId &worker) override;
    void workPending() override { this->wake(); }
    void progressNeeded(std::uint64_t epoch) override;
    void ownershipGained(std::uint64_t epoch) override;
    void ownershipLost(std::uint64_t epoch, const char *reason) override;
    void startsPaused(bool held, Duration viewAge) override;
    void recordUnreadable(const JobRecord &record) override;

    Instant now() const;
    std::int64_t unixMs() const;

    void scheduleTick();
    void tick();
    void work();
    void wake();
    void reportLoad(Instant at);
    void serveMetrics(const Respond &respond) const;

    void follow(Follower &follower, Instant at);
    void load(Follower &follower, const std::string &after);
    void readOn(Follower &follower);
    /** Returns the pause between reads of the job log. */
    Duration jobReadGap() const;
    void applyRecord(Follower &follower, const JobRecord &record);
    void applyConfigRecord(const JobRecord &record);
    void applyWorkerRecord(const JobRecord &record);
    /** Notes that the follower knows all that its topic held at the time. */
    void noteRead(const Follower &follower, Instant asOf);
    void restart(Follower &follower);

    void serveReadiness(const HttpRequest &request, const Respond &respond);
    void serveClient(const HttpRequest &request, const Respond &respond, bool forwarded);
    /** Answers from what this instance knows and can append itself. */
    void serveHere(const HttpRequest &request, const Respond &respond, bool maybeTaken);
    void waitForSignals();
    void beginShutdown();
    void finishShutdownWhenIdle(Instant at);

    boost::asio::io_context &context;
    const platform::Settings settings;
    const std::uint64_t incarnation;
    const std::uint16_t metricsPort; ///< 0: none.
    InstanceMetrics metrics;
    Random random;
    HttpClient http;
    platform::StoreClient store;
    platform::HttpOrderSender orders;
    JobNode node;
    platform::Entrance entrance;
    CoordinatorRelay relay;
    std::unique_ptr<HttpServer> entranceServer;
    std::unique_ptr<HttpServer> readinessServer;
    std::unique_ptr<HttpServer> peerServer;
    std::unique_ptr<HttpServer> metricsServer;
    boost::asio::steady_timer timer;
    boost::asio::signal_set signals;

    Follower jobFollower;
    Follower progressFollower; ///< Loads once, at a take-over.
    bool progressWanted = false;
    Follower configFollower;
    Follower workerFollower;
    bool wakePosted = false;
    Instant loadReportedAt;
    bool stopping = false;
    Instant stoppingSince;
    std::size_t openRequests = 0;
    Instant answeredAt; ///< When a request was last answered.
};

} // namespace godwitfall
