#include "daemon.h"

#include <algorithm>
#include <csignal>
#include <random>

#include "invariant.h"
#include "jsoncodec.h"
#include "logging.h"

namespace godwitfall {

namespace {

constexpr std::chrono::milliseconds tickEvery(10);
constexpr const char *requestsPath = "/v1/requests/";
constexpr const char *commandsPath = "/v1/commands";
constexpr std::int64_t msPerSecond = 1000;

std::uint64_t wallClockMs()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

NodeSettings nodeSettings(const wire::Settings &settings)
{
    NodeSettings node;
    node.instance = InstanceId(settings.instance());
    node.zone = ZoneId(settings.zone());
    // A later life must have a higher number; the platform starts one process of a name at a time.
    node.incarnation = Incarnation(wallClockMs());
    node.times.ownerLease = Duration(settings.lease_ms());
    node.times.renewEvery = Duration(settings.heartbeat_ms());
    node.times.taskLease = Duration(settings.task_lease_ms());
    node.times.contactAllowance = Duration(settings.contact_ms());
    node.times.fenceAfter = Duration(settings.fence_after_ms());
    node.times.driftPerMille = settings.drift_per_mille();
    node.peerTimeout = Duration(settings.peer_timeout_ms());
    node.commitEvery = Duration(settings.commit_ms());
    node.snapshotEvery = static_cast<std::uint64_t>(settings.snapshot_every());
    node.limits.queueLimit = static_cast<std::size_t>(settings.queue_limit());
    node.limits.defaultBudget = Duration(settings.default_budget_ms());
    node.chooser = settings.chooser();
    node.wallClock = wallClockMs;
    return node;
}

HttpLimits httpLimits(const wire::Settings &settings)
{
    HttpLimits limits;
    limits.maxBodyBytes = static_cast<std::size_t>(settings.max_body_bytes());
    limits.maxConnections = static_cast<std::size_t>(settings.max_connections());
    limits.headerTimeout = Duration(settings.io_timeout_ms());
    limits.ioTimeout = Duration(settings.io_timeout_ms());
    return limits;
}

ClientBounds clientBounds(const wire::Settings &settings)
{
    constexpr std::size_t bytesPerMb = std::size_t(1) << 20U;
    ClientBounds bounds;
    // Room for two bodies of the largest size, however large the operator allows them.
    bounds.bytes = std::max(static_cast<std::size_t>(settings.client_memory_mb()) * bytesPerMb,
                            2 * ClientBudget::costFactor *
                                static_cast<std::size_t>(settings.max_body_bytes()));
    bounds.connections = static_cast<std::size_t>(settings.max_connections());
    bounds.connectionsPerListener = bounds.connections;
    bounds.reservedConnections = 0;
    return bounds;
}

HttpResponse plain(unsigned status, const std::string &text)
{
    HttpResponse response;
    response.status = status;
    response.contentType = "text/plain";
    response.body = text + "\n";
    return response;
}

unsigned statusOf(wire::Outcome outcome)
{
    switch (outcome) {
    case wire::ANSWERED_WHOLE:
        return 200;
    case wire::NOT_RUN:
        return 503;
    case wire::ALREADY_ANSWERED:
        return 409;
    default:
        return 504;
    }
}

/** Compares without ending early, so that the time taken tells nothing of the token. */
bool equalInConstantTime(const std::string &left, const std::string &right)
{
    unsigned char difference = left.size() == right.size() ? 0 : 1;
    for (std::size_t index = 0; index < right.size(); ++index) {
        const char other = left.empty() ? '\0' : left[index % left.size()];
        difference |= static_cast<unsigned char>(other ^ right[index]);
    }
    return difference == 0;
}

std::uint64_t seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace

Daemon::Daemon(const wire::Settings &settings)
    : settings(settings)
    , started(std::chrono::steady_clock::now())
    , random(seed())
    , ticker(this->context)
    , signals(this->context, SIGTERM, SIGINT)
    , client(this->context)
    , workers(
          this->client, [this] { return this->now(); },
          [this](const SentOrder &order, const Result<wire::WorkerReply> &answer) {
              this->decide(
                  [this, order, answer] { this->node.onWorkerReply(order, answer, this->now()); });
          })
    , platform(this->client, settings.log_address(), settings.list_address(),
               {[this](Stream stream, const Result<Offset> &answer) {
                    this->decide([this, stream, answer] {
                        this->node.onAppended(stream, answer, this->now());
                    });
                },
                [this](Stream stream, const Result<wire::ReadReply> &answer) {
                    this->decide(
                        [this, stream, answer] { this->node.onRead(stream, answer, this->now()); });
                },
                [this](Instant askedAt, const Result<wire::InstanceList> &list) {
                    this->decide(
                        [this, askedAt, list] { this->node.onList(askedAt, list, this->now()); });
                }})
    , peers([this](const wire::PeerMessage &message) {
        this->decide([this, message] { this->node.onPeer(message, this->now()); });
    })
    , connections(std::make_shared<ConnectionLimiter>(clientBounds(settings)))
    , server(
          this->context, httpLimits(settings),
          [this](const HttpRequest &request, Respond respond) {
              this->handle(request, std::move(respond));
          },
          ListenerKind::Client, this->connections)
    , arena(static_cast<int>(settings.threads()) + 1, 1)
    , decisions(std::make_unique<tbb::task_group>())
    , node(nodeSettings(settings), *this, this->random)
{}

Daemon::~Daemon()
{
    this->peers.stop();
    this->arena.execute([this] { this->decisions->wait(); });
}

Instant Daemon::now() const
{
    const auto since = std::chrono::steady_clock::now() - this->started;
    return Instant(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

template <class Function>
void Daemon::decide(Function function)
{
    this->arena.enqueue(this->decisions->defer(std::move(function)));
}

int Daemon::run()
{
    if (const auto heard = this->peers.listen(this->settings.peer_address()); !heard) {
        logLine(LogLevel::Error, "start_failed", {{"error", heard.error().text()}});
        return 1;
    }
    if (const auto heard = this->server.listen(this->settings.http_address()); !heard) {
        logLine(LogLevel::Error, "start_failed", {{"error", heard.error().text()}});
        return 1;
    }
    this->signals.async_wait([this](const boost::system::error_code &failure, int) {
        if (!failure) {
            this->onSignal();
        }
    });
    this->scheduleTick();
    logLine(LogLevel::Info, "started",
            {{"zone", this->settings.zone()},
             {"http", this->settings.http_address()},
             {"peer", this->settings.peer_address()}});
    this->context.run();
    const NodeStatistics statistics = this->node.statistics(this->now());
    const bool clean = this->node.drained();
    logLine(clean ? LogLevel::Info : LogLevel::Warning, "stopped",
            {{"clean", clean ? "yes" : "no"},
             {"in_flight", std::to_string(statistics.inFlight)},
             {"open_calls", std::to_string(statistics.openCalls)},
             {"owned_workers", std::to_string(statistics.ownedWorkers)},
             {"log_backlog", std::to_string(statistics.logBacklog)}});
    return clean ? 0 : 3;
}

void Daemon::onSignal()
{
    // A second signal finds the stop under way and changes nothing.
    this->signals.async_wait([this](const boost::system::error_code &failure, int) {
        if (!failure) {
            this->onSignal();
        }
    });
    if (this->stopping.exchange(true)) {
        return;
    }
    logLine(LogLevel::Info, "stopping");
    this->stopSince = this->now();
    this->node.startDraining(this->now());
}

bool Daemon::stopDue(Instant at) const
{
    if (!this->stopping) {
        return false;
    }
    bool unanswered = false;
    {
        std::lock_guard lock(this->waitingMutex);
        unanswered = !this->waiting.empty();
    }
    return (this->node.drained() && !unanswered) ||
           at - this->stopSince >= Duration(this->settings.drain_grace_ms());
}

void Daemon::scheduleTick()
{
    if (this->stopDue(this->now())) {
        this->server.close();
        // The last answers are already queued on this thread; stopping is queued behind them.
        this->ticker.expires_after(std::chrono::milliseconds(100));
        this->ticker.async_wait(
            [this](const boost::system::error_code &) { this->context.stop(); });
        return;
    }
    // A tick is short; waking the pool for it would cost an idle instance more than the tick.
    this->node.onTick(this->now());
    this->ticker.expires_after(tickEvery);
    this->ticker.async_wait([this](const boost::system::error_code &failure) {
        if (!failure) {
            this->scheduleTick();
        }
    });
}

void Daemon::handle(const HttpRequest &request, Respond respond)
{
    if (request.method == "GET" && request.target == "/live") {
        respond(plain(200, "live"));
    } else if (request.method == "GET" && request.target == "/ready") {
        const bool ready = this->node.ready();
        respond(plain(ready ? 200 : 503, ready ? "ready" : "not ready"));
    } else if (request.method == "GET" && request.target == "/metrics") {
        respond(plain(200, this->metricsPage()));
    } else if (request.method == "POST" && request.target.starts_with(requestsPath)) {
        this->handleRequest(request, std::move(respond));
    } else if (request.method == "POST" && request.target == commandsPath) {
        this->handleCommand(request, std::move(respond));
    } else {
        respond(plain(404, "no such page"));
    }
}

CallerToken Daemon::wait(Respond respond, bool command)
{
    std::lock_guard lock(this->waitingMutex);
    const CallerToken token(++this->lastCaller);
    this->waiting[token] = {std::move(respond), std::chrono::steady_clock::now(), command};
    return token;
}

std::optional<Daemon::WaitingCaller> Daemon::take(CallerToken caller)
{
    std::lock_guard lock(this->waitingMutex);
    const auto found = this->waiting.find(caller);
    if (found == this->waiting.end()) {
        return std::nullopt;
    }
    WaitingCaller entry = std::move(found->second);
    this->waiting.erase(found);
    const auto took = std::chrono::steady_clock::now() - entry.since;
    this->metrics.observe(entry.command ? "godwitfall_command_ms" : "godwitfall_request_ms",
                          std::chrono::duration<double, std::milli>(took).count());
    return entry;
}

void Daemon::handleRequest(const HttpRequest &request, Respond respond)
{
    wire::CallerRequest asked;
    asked.set_request(request.header("x-request-id"));
    asked.set_service(request.target.substr(std::string(requestsPath).size()));
    asked.set_caller(request.header("x-caller"));
    asked.set_body(request.body);
    const std::string budget = request.header("x-budget-ms");
    const std::string repeatable = request.header("x-repeatable");
    const bool digits =
        budget.size() <= 7 && budget.find_first_not_of("0123456789") == std::string::npos;
    if (asked.request().empty() || asked.service().empty() || !digits ||
        (!repeatable.empty() && repeatable != "yes" && repeatable != "no")) {
        respond(plain(400, "not run: needs X-Request-Id; X-Budget-Ms is a number of ms; "
                           "X-Repeatable is yes or no"));
        return;
    }
    asked.set_budget_ms(budget.empty() ? 0 : std::stoull(budget));
    asked.set_repeatable(repeatable != "no");
    const CallerToken token = this->wait(std::move(respond), false);
    this->decide([this, asked, token] { this->node.onRequest(asked, token, this->now()); });
}

bool Daemon::authorised(const HttpRequest &request) const
{
    return equalInConstantTime(request.header("authorization"),
                               "Bearer " + this->settings.operator_token());
}

void Daemon::handleCommand(const HttpRequest &request, Respond respond)
{
    if (!this->authorised(request)) {
        logLine(LogLevel::Warning, "command_not_authorised");
        respond(plain(401, "refused: needs the operators' bearer token"));
        return;
    }
    wire::CommandRequest command;
    if (const auto read = fromJson(request.body, command, "read command", "operator"); !read) {
        respond(plain(400, "refused: " + read.error().text()));
        return;
    }
    if (command.id().empty()) {
        respond(plain(400, "refused: a command needs an id"));
        return;
    }
    const std::string author = request.header("x-operator");
    logLine(LogLevel::Info, "command",
            {{"author", author}, {"id", command.id()}, {"text", command.text()}});
    const CallerToken token = this->wait(std::move(respond), true);
    this->decide([this, command, author, token] {
        this->node.onCommand(command, author.empty() ? "operator" : author, token, this->now());
    });
}

void Daemon::answer(CallerToken caller, const wire::CallerAnswer &answer)
{
    const auto entry = this->take(caller);
    if (!entry) {
        return;
    }
    HttpResponse response;
    response.status = statusOf(answer.outcome());
    response.headers["X-Request-Id"] = answer.request();
    response.headers["X-Outcome"] = wire::Outcome_Name(answer.outcome());
    if (answer.outcome() == wire::ANSWERED_WHOLE) {
        response.contentType = "application/octet-stream";
        response.body = answer.body();
    } else {
        response.contentType = "text/plain";
        response.body = answer.reason() + "\n";
    }
    if (answer.retry_after_ms() > 0) {
        const auto delay = static_cast<std::int64_t>(answer.retry_after_ms());
        response.headers["Retry-After"] = std::to_string((delay + msPerSecond - 1) / msPerSecond);
        response.headers["X-Retry-After-Ms"] = std::to_string(delay);
    }
    entry->respond(std::move(response));
}

void Daemon::reply(CallerToken caller, const wire::CommandReply &reply)
{
    const auto entry = this->take(caller);
    if (!entry) {
        return;
    }
    HttpResponse response;
    response.body = toJson(reply);
    entry->respond(std::move(response));
}

void Daemon::sendPeer(const std::string &address, const wire::PeerMessage &message)
{
    this->peers.send(address, message);
}

void Daemon::sendWorker(const SentOrder &order)
{
    this->workers.send(order);
}

void Daemon::append(Stream stream, const std::string &payload)
{
    this->platform.append(stream, payload);
}

void Daemon::read(Stream stream, Offset from, std::size_t most, Duration wait)
{
    this->platform.read(stream, from, most, wait);
}

void Daemon::fetchList(Instant askedAt)
{
    this->platform.fetchList(askedAt);
}

std::string Daemon::metricsPage() const
{
    const NodeStatistics statistics = this->node.statistics(this->now());
    std::string page = this->metrics.text();
    page += sampleLine("godwitfall_requests_taken_total", statistics.requests.taken);
    page += sampleLine("godwitfall_requests_total", statistics.requests.answered,
                       "outcome=\"answered\"");
    page +=
        sampleLine("godwitfall_requests_total", statistics.requests.notRun, "outcome=\"not_run\"");
    page +=
        sampleLine("godwitfall_requests_total", statistics.requests.unknown, "outcome=\"unknown\"");
    page += sampleLine("godwitfall_request_retries_total", statistics.requests.retries);
    page += sampleLine("godwitfall_requests_forwarded_total", statistics.requests.forwarded);
    page += sampleLine("godwitfall_broken_answers_total", statistics.requests.corruptReplies);
    page += sampleLine("godwitfall_log_appends_total", statistics.appends);
    page += sampleLine("godwitfall_log_records_total", statistics.recordsAppended);
    page += sampleLine("godwitfall_log_next_offset", statistics.nextOffset);
    page += sampleLine("godwitfall_log_contact_age_ms", statistics.contactAgeMs);
    page += sampleLine("godwitfall_workers_owned", statistics.ownedWorkers);
    page += sampleLine("godwitfall_tasks_pending", statistics.pendingTasks);
    page += sampleLine("godwitfall_requests_in_flight", statistics.inFlight);
    page += sampleLine("godwitfall_calls_open", statistics.openCalls);
    page += this->connections->metricLines();
    for (const auto &[name, count] : invariantCounts()) {
        const std::string label = "invariant=\"" + name + "\"";
        page += sampleLine("godwitfall_invariant_checks_total", count.checked, label);
        page += sampleLine("godwitfall_invariant_broken_total", count.broken, label);
    }
    return page;
}

} // namespace godwitfall
