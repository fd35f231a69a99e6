#include "httpclient.h"

#include <chrono>
#include <optional>
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include "address.h"
#include "connectionpool.h"
#include "httpread.h"

namespace godwitfall {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::chrono::milliseconds connectTimeout(1000);
constexpr std::uint64_t maxResponseBytes = 64 * 1024 * 1024;

/** What a call sends on its connection, and how long it waits. */
struct Message
{
    const std::string &target;
    const std::string &body;
    Duration timeout;
    Duration serverWait; ///< Part of the timeout for which the server may delay its response.
};

} // namespace

namespace {

bool isClosedByPeer(const boost::system::error_code &failure)
{
    return failure == asio::error::eof || failure == asio::error::connection_reset ||
           failure == asio::error::connection_refused || failure == asio::error::broken_pipe ||
           failure == http::error::end_of_stream || failure == http::error::partial_message;
}

Error callError(Fate fate, const HttpCall &call, const std::string &action,
                const boost::system::error_code &failure, const std::string &rest = {})
{
    return Error{fate, call.step, call.address, action + ": " + failure.message() + rest,
                 isClosedByPeer(failure)};
}

} // namespace

struct HttpClient::Shared : std::enable_shared_from_this<HttpClient::Shared>
{
    Shared(asio::io_context &context, const ConnectionLimits &limits)
        : context(context)
        , idle(limits)
    {}

    asio::awaitable<Result<HttpResponse>> perform(const HttpCall &call);
    asio::awaitable<Result<Connection>> connect(const HttpCall &call);
    /** Has the server name its incarnation, if no response on the connection has. Returns whether
     * it is the one that the call is meant for. */
    asio::awaitable<Result<bool>> identify(Connection &connection, const HttpCall &call);
    /** Sends a request of the call on the connection and receives the response. */
    asio::awaitable<Result<HttpResponse>> exchange(Connection &connection, const HttpCall &call,
                                                   const Message &message);
    /** Connections may go silent together, without a reset: after a time-out on a kept one, those
     * on which no response has arrived for as long as one was due here in vain are closed. */
    void dropSilentAfter(const boost::system::error_code &failure, const Connection &connection,
                         const HttpCall &call, const Message &message);

    asio::io_context &context;
    ConnectionPool idle;
    CallTraffic traffic;
};

asio::awaitable<Result<Connection>> HttpClient::Shared::connect(const HttpCall &call)
{
    if (auto kept = this->idle.take(call.address, call.incarnation)) {
        co_return std::move(*kept);
    }
    const auto endpoint = parseEndpoint(call.address);
    if (!endpoint) {
        co_return tl::unexpected(endpoint.error());
    }
    Connection connection;
    connection.stream = std::make_unique<beast::tcp_stream>(this->context);
    beast::tcp_stream &stream = *connection.stream;
    boost::system::error_code failure;
    stream.expires_after(connectTimeout);
    co_await stream.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
        co_return tl::unexpected(callError(Fate::NotDone, call, "connect", failure));
    }
    stream.socket().set_option(asio::ip::tcp::no_delay(true), failure);
    co_return connection;
}

void HttpClient::Shared::dropSilentAfter(const boost::system::error_code &failure,
                                         const Connection &connection, const HttpCall &call,
                                         const Message &message)
{
    if (failure != beast::error::timeout || !connection.repliedAt) {
        return;
    }
    const Duration due = message.timeout - message.serverWait;
    this->idle.dropSilent(call.address,
                          SteadyClock::now() - std::chrono::milliseconds(due.count()));
}

asio::awaitable<Result<HttpResponse>>
HttpClient::Shared::exchange(Connection &connection, const HttpCall &call, const Message &message)
{
    beast::tcp_stream &stream = *connection.stream;
    http::request<http::span_body<const char>> request;
    request.version(11);
    request.method_string(call.method);
    request.target(message.target);
    request.set(http::field::host, call.address);
    request.set(http::field::content_type, "application/json");
    for (const auto &[name, value] : call.headers) {
        request.set(name, value);
    }
    request.body() = beast::span<const char>(message.body.data(), message.body.size());
    request.prepare_payload();
    boost::system::error_code failure;
    stream.expires_after(std::chrono::milliseconds(message.timeout.count()));
    const auto sentAt = SteadyClock::now();
    this->traffic.countCall(
        call.step, co_await http::async_write(stream, request,
                                              asio::redirect_error(asio::use_awaitable, failure)));
    // A request larger than what the system buffers shows a silent connection here.
    this->dropSilentAfter(failure, connection, call, message);
    if (failure == beast::error::timeout) {
        this->traffic.countTimeout(call.step, 0);
    }
    if (failure) {
        co_return tl::unexpected(callError(Fate::Unknown, call, "send", failure));
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxResponseBytes);
    const std::size_t read = co_await readMessage(stream, buffer, parser, failure);
    this->dropSilentAfter(failure, connection, call, message);
    if (failure == beast::error::timeout) {
        this->traffic.countTimeout(call.step, read);
    }
    if (failure) {
        const std::string received = std::to_string(parser.get().body().size());
        co_return tl::unexpected(callError(Fate::Unknown, call, "receive", failure,
                                           " after " + received + " bytes of the body"));
    }
    connection.repliedAt = SteadyClock::now();
    const auto took =
        std::chrono::duration_cast<std::chrono::milliseconds>(*connection.repliedAt - sentAt);
    this->traffic.countResponse(call.step, read, Duration(took.count()) - message.serverWait);
    HttpResponse response;
    response.status = parser.get().result_int();
    response.body = std::move(parser.get().body());
    for (const auto &field : parser.get()) {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        response.headers[name] = std::string(field.value());
    }
    if (connection.incarnation == 0 && call.incarnationOf) {
        connection.incarnation = call.incarnationOf(response);
    }
    if (!parser.get().keep_alive()) {
        connection.stream.reset();
    }
    co_return response;
}

asio::awaitable<Result<bool>> HttpClient::Shared::identify(Connection &connection,
                                                           const HttpCall &call)
{
    if (call.incarnation == 0 || connection.incarnation == call.incarnation) {
        co_return true;
    }
    const Result<HttpResponse> response =
        co_await this->exchange(connection, call,
                                Message{call.identifyTarget, call.identifyBody,
                                        call.timeout - call.serverWait, Duration(0)});
    if (!response) {
        Error error = response.error();
        error.fate = Fate::NotDone;
        co_return tl::unexpected(std::move(error));
    }
    if (connection.incarnation != call.incarnation) {
        if (call.identifiedOther) {
            call.identifiedOther(*response);
        }
        co_return false;
    }
    co_return true;
}

asio::awaitable<Result<HttpResponse>> HttpClient::Shared::perform(const HttpCall &call)
{
    Result<Connection> connected = co_await this->connect(call);
    if (!connected) {
        co_return tl::unexpected(connected.error());
    }
    Connection connection = std::move(*connected);
    const Result<bool> meant = co_await this->identify(connection, call);
    if (!meant) {
        co_return tl::unexpected(meant.error());
    }
    const bool wanted = *meant && connection.stream && (!call.stillWanted || call.stillWanted());
    Result<HttpResponse> response =
        tl::unexpected(Error{Fate::NotDone, call.step, call.address,
                             *meant ? "no longer wanted when it was to be sent"
                                    : "another incarnation of the server replied"});
    if (wanted) {
        response = co_await this->exchange(
            connection, call, Message{call.target, call.body, call.timeout, call.serverWait});
    }
    if ((response || !wanted) && connection.stream) {
        this->idle.keep(call.address, std::move(connection), SteadyClock::now());
    }
    co_return response;
}

HttpClient::HttpClient(asio::io_context &context, const ConnectionLimits &limits)
    : shared(std::make_shared<Shared>(context, limits))
{}

HttpClient::~HttpClient() = default;

CallTraffic &HttpClient::traffic() const
{
    return this->shared->traffic;
}

void HttpClient::call(HttpCall call, Handler handler)
{
    asio::co_spawn(
        this->shared->context,
        [self = this->shared, call = std::move(call),
         handler = std::move(handler)]() -> asio::awaitable<void> {
            const Result<HttpResponse> result = co_await self->perform(call);
            handler(result);
        },
        asio::detached);
}

} // namespace godwitfall
