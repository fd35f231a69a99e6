#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "coordinator.h"
#include "groupcommit.h"
#include "httpclient.h"
#include "httpserver.h"
#include "jobdesk.h"
#include "jobtable.h"
#include "ownerlease.h"
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
class EntryInstance : public CoordinatorObserver
{
public:
    EntryInstance(boost::asio::io_context &context, platform::Settings settings,
                  std::uint64_t incarnation);
    ~EntryInstance() override;

    /** Listens and begins to follow the store. */
    Result<void> start();

private:
    /** Position in a topic that is followed by long reads. */
    struct Follower
    {
        std::string topic;
        bool loaded = false;
        bool busy = false;
        std::uint64_t cursor = 0;
        Instant dueAt;
        Instant sentAt;
        std::uint64_t generation = 0;
    };

    void taskReturned(const TaskRef &task, std::uint32_t run, const WorkerId &worker,
                      RunOutcome outcome) override;
    void jobFinished(const Job &job) override;
    void workerRests(const WorkerId &worker, Duration length) override;
    void workerReborn(const WorkerId &worker) override;
    void superseded(const WorkerId &worker) override;

    Instant now() const;
    std::int64_t unixMs() const;

    void scheduleTick();
    void tick();
    void work();
    void wake();

    void follow(Follower &follower, Instant at);
    void load(Follower &follower, const std::string &after);
    void readOn(Follower &follower);
    void applyRecord(Follower &follower, const JobRecord &record);
    void applyJobRecord(const JobRecord &record);
    void applyConfigRecord(const JobRecord &record);
    void applyWorkerRecord(const JobRecord &record);
    void noteContact(Follower &follower);

    void considerClaim(Instant at);
    void claim(Instant at);
    void becomeOwner(Instant at);
    void stepDown(const char *reason);
    void reloadJobs();
    void commit(Instant at);
    JobRecord ownershipRecord(bool released) const;
    void trimFinished(Instant at);

    bool ready(Instant at) const;
    void serveReadiness(const HttpRequest &request, const Respond &respond);
    void serveClient(const HttpRequest &request, const Respond &respond);
    void waitForSignals();
    void beginShutdown();
    void finishShutdownWhenIdle(Instant at);

    boost::asio::io_context &context;
    const platform::Settings settings;
    const std::uint64_t incarnation;
    Random random;
    HttpClient http;
    platform::StoreClient store;
    JobTable table;
    GroupCommit submissions;
    GroupCommit records;
    JobDesk desk;
    OwnerLease lease;
    platform::HttpOrderSender orders;
    std::unique_ptr<Coordinator> coordinator;
    std::optional<JobConfig> config;
    platform::Entrance entrance;
    std::unique_ptr<HttpServer> entranceServer;
    std::unique_ptr<HttpServer> readinessServer;
    boost::asio::steady_timer timer;
    boost::asio::signal_set signals;

    Follower jobFollower;
    Follower configFollower;
    Follower workerFollower;
    bool claimInFlight = false;
    std::uint64_t claimSequence = 0;
    Instant claimSentAt;
    bool claimPrompt = false;
    Instant ownershipWrittenAt;
    Instant committedAt;
    bool commitInFlight = false;
    bool stepDownAsked = false;
    bool wakePosted = false;
    bool stopping = false;
    Instant stoppingSince;
    std::size_t openRequests = 0;
    Instant trimmedAt;
};

} // namespace godwitfall
