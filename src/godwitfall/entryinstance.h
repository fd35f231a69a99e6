#pragma once

#include <cstdint>
#include <map>
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
#include "platform/jobapi.h"
#include "platform/ordersender.h"
#include "platform/settings.h"
#include "platform/storeclient.h"
#include "random.h"

namespace godwitfall {

/**
 * One entry instance on the users' platform: serves clients' jobs and, while it owns the job log,
 * coordinates the workers. Single-threaded.
 */
class EntryInstance : public JobNodeHost
{
public:
    EntryInstance(boost::asio::io_context &context, platform::Settings settings,
                  std::uint64_t incarnation, std::uint16_t metricsPort);
    ~EntryInstance() override;

    /** Starts the servers and the reads of the store; fails if an address can't be listened on.
     * Without the metrics page the instance starts all the same. */
    Result<void> start();

    /** Continues after an unexpected error: abandons coordination and reads the log again. */
    void recover(const char *error);

private:
    /** State of following one topic of the store by long polling. */
    struct Follower
    {
        std::string topic;
        bool loaded = false; ///< The newest record of each key has been read.
        bool readInFlight = false;
        std::uint64_t cursor = 0; ///< Offset of the next record.
        Instant dueAt;
        std::uint64_t generation = 0; ///< Replies to reads of an earlier one are ignored.
        Instant requestedAt;          ///< When the pending or the last applied read was sent.
    };

    void crashCounted(const CountedCrash &counted) override;
    void crashWithdrawn(const TaskRef &task, std::uint32_t run, const WorkerId &worker) override;
    void taskReturned(const TaskRef &task, std::uint32_t run, const WorkerId &worker,
                      RunOutcome outcome) override;
    void jobFinished(const Job &job, const JobEnd &end) override;
    void closedJobAdopted(const Job &job) override;
    void taskHeldBack(const TaskRef &task, std::size_t crashes, const HoldBack &hold) override;
    void workerEjected(const WorkerId &worker, Duration length) override;
    void capacityShort(const std::string &service, bool isShort) override;
    void workerRestarted(const WorkerState &former, std::int64_t startMs) override;
    void orderFenced(const WorkerId &worker) override;
    void workPending() override { this->wake(); }
    void progressNeeded(std::uint64_t epoch) override;
    void ownershipGained(std::uint64_t epoch) override;
    void ownershipLost(std::uint64_t epoch, const char *reason) override;
    void startsPaused(bool held, StartsPause reason, Duration viewAge) override;
    void zoneEvacuation(const ZoneId &zone, bool requested) override;
    void unplacedRunListed(const TaskRef &task, std::uint32_t run, const WorkerState &worker,
                           std::optional<RunEnd> end) override;
    void startUnanswered(const TaskRef &task, std::uint32_t run, const WorkerId &worker,
                         unsigned tries) override;
    void startDropped(const TaskRef &task, std::uint32_t run, const WorkerState &worker,
                      DropReason reason) override;
    void boundedStartSent(const BoundedStart &start, const WorkerState &worker) override;
    void runSuperseded(const TaskRef &task, std::uint32_t run, const WorkerState &worker,
                       std::uint32_t doneRun) override;
    void stepBoundExceeded(const StepRef &step, std::size_t listed,
                           const WorkerState &worker) override;
    void recordsRejected(const std::vector<JobRecord> &records) override;
    void recordUnreadable(const JobRecord &record) override;
    void jobEndRead(const Job &job) override;
    void configOutdated() override;

    Instant now() const;
    std::int64_t unixMs() const;

    void scheduleTick();
    void tick();
    void process();
    void wake();
    void reportLoad(Instant at);
    /** Logs what the calls since the last report have put on the link. */
    void reportCalls();
    /** Logs the long-running tasks that do not run, and why. */
    void reportDelays(Instant at);
    void reportIdleJobs(Instant at);
    void serveMetrics(const Respond &respond) const;

    void follow(Follower &follower, Instant at);
    void load(Follower &follower, const std::string &after);
    void readNext(Follower &follower);
    /** Returns the longest wait of a long poll of the follower's topic. */
    Duration waitOf(const Follower &follower) const;
    /** Returns the pause between reads of the follower's topic. */
    Duration readGap(const Follower &follower) const;
    void applyRecord(Follower &follower, const JobRecord &record);
    /** Applies the operator's limits to requests of clients that begin from now on. */
    void applyRequestLimits(const RequestLimits &limits);
    void applyConfigRecord(const JobRecord &record);
    void applyWorkerRecord(const JobRecord &record);
    /** Logs a read that failed, or took longer than its wait explains. */
    void reportRead(const Follower &follower, const platform::StoreClient::ReadReply &reply,
                    Instant at) const;
    /** Counts and logs that an order was not sent as another incarnation of its worker replied. */
    void reportOtherIncarnation(const OrderTarget &target, std::int64_t repliedStartMs);
    /** Logs a request that is answered with an error, and the configuration that it went by. */
    void reportRefusal(const HttpRequest &request, unsigned status, const char *reason);
    /** Records that the follower has applied all that its topic contained at the time. */
    void markCaughtUp(const Follower &follower, Instant asOf);
    void reload(Follower &follower);

    void serveReadiness(const HttpRequest &request, const Respond &respond);
    void serveClient(HttpRequest request, const Respond &respond, bool forwarded);
    /** Handles the request with this instance's own view and appends. */
    void serveLocally(const HttpRequest &request, const Respond &respond, bool maybeAccepted);
    void waitForSignals();
    void beginShutdown();
    void finishShutdownWhenIdle(Instant at);
    /** Answers what is still open, as the process is about to end. */
    void answerOpenRequests();

    boost::asio::io_context &context;
    const platform::Settings settings;
    const std::uint64_t incarnation;
    const std::uint16_t metricsPort; ///< 0: no metrics page.
    InstanceMetrics metrics;
    Random random;
    HttpClient http;
    platform::StoreClient store;
    platform::HttpOrderSender orders;
    JobNode node;
    platform::JobApi jobApi;
    CoordinatorRelay relay;
    const std::shared_ptr<ConnectionLimiter> connections;
    std::unique_ptr<HttpServer> jobApiServer;
    std::unique_ptr<HttpServer> readinessServer;
    std::unique_ptr<HttpServer> peerServer;
    std::unique_ptr<HttpServer> metricsServer;
    boost::asio::steady_timer timer;
    boost::asio::signal_set signals;

    Follower jobFollower;
    Follower progressFollower; ///< Loads once in each takeover.
    bool progressWanted = false;
    Follower configFollower;
    bool configReadable = true; ///< The newest configuration in the store is valid.
    Follower workerFollower;
    bool wakePosted = false;
    Instant loadReportedAt;
    Instant delaysReportedAt;
    bool stopping = false;
    Instant stoppingSince;
    bool lastAnswersGiven = false;                 ///< From then on requests are refused at once.
    std::map<std::uint64_t, Respond> openRequests; ///< By number.
    std::uint64_t lastRequest = 0;
    Instant lastResponseAt;
};

} // namespace godwitfall
