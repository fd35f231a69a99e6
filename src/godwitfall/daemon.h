#pragma once

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <tbb/task_arena.h>
#include <tbb/task_group.h>

#include "httpclient.h"
#include "httpserver.h"
#include "metrics.h"
#include "node.h"
#include "peerlink.h"
#include "platformclient.h"
#include "settings.pb.h"
#include "workerclient.h"

namespace godwitfall {

/**
 * One entry instance as a process: sockets, threads and the clock around a Node.
 *
 * One thread does all HTTP, one all ZeroMQ; a oneTBB pool runs the decisions.
 */
class Daemon : private Outbox
{
public:
    explicit Daemon(const wire::Settings &settings);
    ~Daemon() override;

    /** Serves until a planned stop has finished; returns the exit status of the process. */
    int run();

private:
    struct WaitingCaller
    {
        Respond respond;
        std::chrono::steady_clock::time_point since;
        bool command = false;
    };

    void sendPeer(const std::string &address, const wire::PeerMessage &message) override;
    void sendWorker(const SentOrder &order) override;
    void append(Stream stream, const std::string &payload) override;
    void read(Stream stream, Offset from, std::size_t most, Duration wait) override;
    void fetchList(Instant askedAt) override;
    void answer(CallerToken caller, const wire::CallerAnswer &answer) override;
    void reply(CallerToken caller, const wire::CommandReply &reply) override;

    Instant now() const;
    template <class Function>
    void decide(Function function);
    void handle(const HttpRequest &request, Respond respond);
    void handleRequest(const HttpRequest &request, Respond respond);
    void handleCommand(const HttpRequest &request, Respond respond);
    bool authorised(const HttpRequest &request) const;
    std::string metricsPage() const;
    CallerToken wait(Respond respond, bool command);
    std::optional<WaitingCaller> take(CallerToken caller);
    void scheduleTick();
    void onSignal();
    bool stopDue(Instant at) const;

    const wire::Settings settings;
    const std::chrono::steady_clock::time_point started;
    Random random;
    boost::asio::io_context context;
    boost::asio::steady_timer ticker;
    boost::asio::signal_set signals;
    HttpClient client;
    WorkerClient workers;
    PlatformClient platform;
    PeerLink peers;
    const std::shared_ptr<ConnectionLimiter> connections;
    HttpServer server;
    Metrics metrics;
    tbb::task_arena arena;
    std::unique_ptr<tbb::task_group> decisions;
    Node node;
    std::atomic<bool> stopping = false;
    Instant stopSince;
    mutable std::mutex waitingMutex;
    std::uint64_t lastCaller = 0;
    std::map<CallerToken, WaitingCaller> waiting;
};

} // namespace godwitfall
