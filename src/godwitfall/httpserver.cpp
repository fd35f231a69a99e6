#include "httpserver.h"

#include <chrono>
#include <optional>
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include "address.h"
#include "httpread.h"

namespace godwitfall {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::uint32_t maxHeaderBytes = 16 * 1024;

std::chrono::milliseconds toChrono(Duration duration)
{
    return std::chrono::milliseconds(duration.count());
}

http::response<http::string_body> toBeast(const HttpResponse &response, bool keepAlive)
{
    http::response<http::string_body> message;
    message.version(11);
    message.result(response.status);
    message.set(http::field::content_type, response.contentType);
    for (const auto &[name, value] : response.headers) {
        message.set(name, value);
    }
    message.body() = response.body;
    message.keep_alive(keepAlive);
    message.prepare_payload();
    return message;
}

HttpRequest fromBeast(const http::request<http::string_body> &message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.body = message.body();
    for (const auto &field : message) {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        request.headers[name] = std::string(field.value());
    }
    return request;
}

bool asksToClose(const HttpResponse &response)
{
    const auto connection = response.headers.find("Connection");
    return connection != response.headers.end() && connection->second == "close";
}

HttpResponse errorResponse(unsigned status, const std::string &reason)
{
    HttpResponse response;
    response.status = status;
    response.contentType = "text/plain";
    response.body = reason + "\n";
    return response;
}

/** Holds the response of one request until the connection's coroutine takes it. */
struct Slot
{
    explicit Slot(const asio::any_io_executor &executor)
        : ready(executor)
    {
        this->ready.expires_at(asio::steady_timer::time_point::max());
    }

    asio::steady_timer ready;
    std::optional<HttpResponse> response;
};

} // namespace

struct HttpServer::Shared : std::enable_shared_from_this<HttpServer::Shared>
{
    Shared(asio::io_context &context, const HttpLimits &limits, HttpHandler handler)
        : context(context)
        , limits(limits)
        , handler(std::move(handler))
        , acceptor(context)
    {}

    asio::awaitable<void> accept();
    asio::awaitable<void> serve(beast::tcp_stream stream);
    asio::awaitable<HttpResponse> handle(HttpRequest request);
    asio::awaitable<bool> send(beast::tcp_stream &stream, const HttpResponse &response,
                               bool keepAlive);

    asio::io_context &context;
    const HttpLimits limits;
    const HttpHandler handler;
    asio::ip::tcp::acceptor acceptor;
    std::size_t connections = 0;
};

asio::awaitable<void> HttpServer::Shared::accept()
{
    const auto self = this->shared_from_this();
    while (this->acceptor.is_open()) {
        boost::system::error_code failure;
        asio::ip::tcp::socket socket(this->context);
        co_await this->acceptor.async_accept(socket,
                                             asio::redirect_error(asio::use_awaitable, failure));
        if (failure == asio::error::operation_aborted) {
            co_return;
        }
        if (failure) {
            continue;
        }
        socket.set_option(asio::ip::tcp::no_delay(true), failure);
        asio::co_spawn(
            this->context,
            [self, stream = beast::tcp_stream(std::move(socket))]() mutable {
                return self->serve(std::move(stream));
            },
            asio::detached);
    }
}

asio::awaitable<HttpResponse> HttpServer::Shared::handle(HttpRequest request)
{
    const auto slot = std::make_shared<Slot>(co_await asio::this_coro::executor);
    asio::io_context &target = this->context;
    this->handler(request, [slot, &target](HttpResponse response) {
        asio::post(target, [slot, response = std::move(response)]() mutable {
            slot->response = std::move(response);
            slot->ready.cancel();
        });
    });
    boost::system::error_code cancelled;
    while (!slot->response) {
        co_await slot->ready.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    }
    co_return std::move(*slot->response);
}

asio::awaitable<bool> HttpServer::Shared::send(beast::tcp_stream &stream,
                                               const HttpResponse &response, bool keepAlive)
{
    boost::system::error_code failure;
    const auto message = toBeast(response, keepAlive);
    stream.expires_after(toChrono(this->limits.ioTimeout));
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, failure));
    co_return !failure;
}

asio::awaitable<void> HttpServer::Shared::serve(beast::tcp_stream stream)
{
    boost::system::error_code failure;
    if (this->connections >= this->limits.maxConnections) {
        HttpResponse full = errorResponse(503, "too many connections; come back shortly");
        full.headers["Retry-After"] = "1";
        co_await this->send(stream, full, false);
        co_return;
    }
    ++this->connections;
    beast::flat_buffer buffer;
    bool keepAlive = true;
    while (keepAlive) {
        // The wait for a next request may be long; once it has begun it must come in whole.
        stream.expires_after(toChrono(this->limits.idleTimeout));
        if (buffer.size() == 0) {
            co_await stream.socket().async_wait(asio::ip::tcp::socket::wait_read,
                                                asio::redirect_error(asio::use_awaitable, failure));
            if (failure) {
                break;
            }
        }
        http::request_parser<http::string_body> parser;
        parser.header_limit(maxHeaderBytes);
        parser.body_limit(this->limits.maxBodyBytes);
        stream.expires_after(toChrono(this->limits.ioTimeout));
        co_await readMessage(stream, buffer, parser, failure);
        if (failure == http::error::end_of_stream) {
            break;
        }
        if (failure) {
            const bool large = failure == http::error::body_limit;
            const bool slow = failure == beast::error::timeout;
            if (!slow) {
                co_await this->send(stream,
                                    errorResponse(large ? 413 : 400,
                                                  "request not understood: " + failure.message()),
                                    false);
            }
            break;
        }
        keepAlive = parser.get().keep_alive();
        stream.expires_never();
        // Many connections are kept, few of them receive a large request.
        buffer.shrink_to_fit();
        const HttpResponse response = co_await this->handle(fromBeast(parser.get()));
        keepAlive = keepAlive && !asksToClose(response);
        if (response.status == dropConnection ||
            !co_await this->send(stream, response, keepAlive)) {
            break;
        }
    }
    --this->connections;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, failure);
}

HttpServer::HttpServer(asio::io_context &context, const HttpLimits &limits, HttpHandler handler)
    : shared(std::make_shared<Shared>(context, limits, std::move(handler)))
{}

HttpServer::~HttpServer()
{
    this->close();
}

Result<void> HttpServer::listen(const std::string &address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        return tl::unexpected(endpoint.error());
    }
    boost::system::error_code failure;
    asio::ip::tcp::acceptor &acceptor = this->shared->acceptor;
    acceptor.open(endpoint->protocol(), failure);
    acceptor.set_option(asio::socket_base::reuse_address(true), failure);
    acceptor.bind(*endpoint, failure);
    if (!failure) {
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (failure) {
        return tl::unexpected(Error{Fate::NotDone, "listen", address, failure.message()});
    }
    asio::co_spawn(
        this->shared->context, [self = this->shared] { return self->accept(); }, asio::detached);
    return {};
}

void HttpServer::close()
{
    asio::post(this->shared->context, [self = this->shared] {
        boost::system::error_code ignored;
        self->acceptor.close(ignored);
    });
}

} // namespace godwitfall
