#include "httpserver.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <sstream>
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include "address.h"

namespace godwitfall {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/** Reads of a header that may become large, and the first ones of a chunked body, in bytes. */
constexpr std::size_t firstRead = 512;
constexpr std::size_t smallRead = 4096;
/** Most that is read at once, in bytes. */
constexpr std::size_t largestRead = 65536;
/** Bytes that a parsed field takes beyond its text, divided by ClientBudget::costFactor. */
constexpr std::size_t fieldBytes = 64;
/** Pause after a connection could not be accepted, mostly for lack of descriptors. */
constexpr std::chrono::milliseconds acceptPause(50);
/** Longest time to send an error response, which fits into the socket's buffer, and to receive what
 * the client has sent until then. */
constexpr std::chrono::milliseconds errorTimeout(1000);
/** Bytes of a refused request that are received before the connection is closed. */
constexpr std::size_t mostDiscarded = 262144;
/** Extension of a deadline at which bytes are there that were not read in time. */
constexpr std::chrono::milliseconds lateRead(100);
constexpr const char *retryAfterShortage = "1"; ///< In seconds.

std::chrono::milliseconds toChrono(Duration duration)
{
    return std::chrono::milliseconds(duration.count());
}

http::response<http::string_body> toBeast(HttpResponse response, bool keepAlive)
{
    http::response<http::string_body> message;
    message.version(11);
    message.result(response.status);
    message.set(http::field::content_type, response.contentType);
    for (const auto &[name, value] : response.headers) {
        message.set(name, value);
    }
    message.body() = std::move(response.body);
    message.keep_alive(keepAlive);
    message.prepare_payload();
    return message;
}

HttpRequest fromBeast(http::request<http::string_body> message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.body = std::move(message.body());
    // A string that grew piece by piece has up to twice the capacity that it needs.
    if (request.body.capacity() - request.body.size() > smallRead) {
        request.body.shrink_to_fit();
    }
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

// co_await stands in statements of its own: inside conditions GCC 12 resumed it with a wrong frame.

using Parser = http::request_parser<http::string_body>;

/** Why a request is answered with an error instead of being passed to the handler. */
struct Refusal
{
    unsigned status;
    const char *reason; ///< Of metrics and log lines.
    std::string text;
};

HttpResponse toResponse(const Refusal &refusal)
{
    HttpResponse response = errorResponse(refusal.status, refusal.text);
    if (refusal.status == 503) {
        response.headers["Retry-After"] = retryAfterShortage;
    }
    return response;
}

/** One accepted connection; its end is noted even when its coroutine ends by an exception. */
class ServedConnection : public std::enable_shared_from_this<ServedConnection>
{
public:
    ServedConnection(asio::ip::tcp::socket socket, ListenerKind kind,
                     std::shared_ptr<ConnectionLimiter> limiter)
        : stream(std::move(socket))
        , kind(kind)
        , limiter(std::move(limiter))
        , timer(this->stream.get_executor())
    {}
    ServedConnection(const ServedConnection &) = delete;
    ServedConnection &operator=(const ServedConnection &) = delete;
    ~ServedConnection() { this->limiter->closed(this->id); }

    /** Gives up reads so much later; to set a later time again takes no new timer. */
    void expireAfter(Duration length);
    void expireNever() { this->deadline = Clock::time_point::max(); }

    /** Reads up to so many bytes into the buffer; returns how many, 0 after a failure, the deadline
     * or an eviction. */
    asio::awaitable<std::size_t> read(std::size_t most, boost::system::error_code &failure);

    /** Gives up reads for good. */
    void evict();

    /** Its own timer is for writes only, as it closes the socket. */
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    const ListenerKind kind;
    const std::shared_ptr<ConnectionLimiter> limiter;
    ConnectionId id;
    bool evicted = false;

private:
    using Clock = asio::steady_timer::clock_type;

    void arm();
    void checkDeadline();

    asio::steady_timer timer;
    Clock::time_point deadline = Clock::time_point::max();
    bool armed = false;    ///< The timer is waited for.
    bool extended = false; ///< By lateRead.
    bool expired = false;
};

void ServedConnection::expireAfter(Duration length)
{
    this->deadline = Clock::now() + toChrono(length);
    this->extended = false;
    this->expired = false;
    if (!this->armed || this->timer.expiry() > this->deadline) {
        this->arm();
    }
}

void ServedConnection::arm()
{
    this->armed = true;
    this->timer.expires_at(this->deadline);
    this->timer.async_wait(
        [weak = this->weak_from_this()](const boost::system::error_code &failure) {
            const auto self = weak.lock();
            if (self && !failure) {
                self->armed = false;
                self->checkDeadline();
            }
        });
}

void ServedConnection::checkDeadline()
{
    if (this->deadline == Clock::time_point::max()) {
        return;
    }
    const Clock::time_point now = Clock::now();
    boost::system::error_code failure;
    if (now >= this->deadline && !this->extended && this->stream.socket().available(failure) > 0) {
        // The process may have been suspended; what has arrived meanwhile is still read.
        this->extended = true;
        this->deadline = now + lateRead;
    }
    if (now < this->deadline) {
        this->arm();
        return;
    }
    this->expired = true;
    this->stream.socket().cancel(failure);
}

void ServedConnection::evict()
{
    boost::system::error_code ignored;
    this->evicted = true;
    this->stream.socket().cancel(ignored);
}

asio::awaitable<std::size_t> ServedConnection::read(std::size_t most,
                                                    boost::system::error_code &failure)
{
    if (this->evicted) {
        co_return 0;
    }
    const std::size_t received = co_await this->stream.socket().async_read_some(
        this->buffer.prepare(most), asio::redirect_error(asio::use_awaitable, failure));
    this->buffer.commit(received);
    if (this->expired) {
        failure = beast::error::timeout;
    }
    co_return this->evicted || this->expired ? 0 : received;
}

/** Receives one request from a connection within the limits. */
class RequestReader
{
public:
    RequestReader(ServedConnection &connection, const HttpLimits &limits)
        : connection(connection)
        , limits(limits)
    {
        this->parser.header_limit(limits.maxHeaderBytes);
        this->parser.body_limit(limits.maxBodyBytes);
    }

    /** Receives the request; sets refusal if it is not to be served. False: there is none. */
    asio::awaitable<bool> receive();

    std::optional<Refusal> refusal;
    Parser parser;

private:
    asio::awaitable<bool> receiveHeader();
    asio::awaitable<bool> receiveBody();
    /** Parses what the buffer has; sets refusal if that is not a request within the limits. */
    bool parse();
    /** Sets the refusal, if any, for the failure of a read. */
    void refuseIncomplete(const char *slowPart);
    void refuseShortage();

    ServedConnection &connection;
    const HttpLimits limits;
    std::size_t requestBytes = 0; ///< Received or declared, with those of fieldBytes.
    boost::system::error_code failure;
};

asio::awaitable<bool> RequestReader::receive()
{
    bool whole = co_await this->receiveHeader();
    if (whole && !this->parser.is_done()) {
        whole = co_await this->receiveBody();
    }
    co_return whole || this->refusal.has_value();
}

bool RequestReader::parse()
{
    boost::system::error_code wrong;
    beast::flat_buffer &buffer = this->connection.buffer;
    while (buffer.size() > 0 && !wrong && !this->parser.is_done()) {
        const bool inBody = this->parser.is_header_done();
        const std::size_t parsed = this->parser.put(buffer.data(), wrong);
        buffer.consume(parsed);
        if (parsed == 0 || (!inBody && this->parser.is_header_done())) {
            break;
        }
    }
    if (wrong == http::error::need_more) {
        // What can't be parsed yet is a header, a chunk's header or trailers.
        if (buffer.size() < this->limits.maxHeaderBytes) {
            return true;
        }
        wrong = http::error::header_limit;
    }
    if (!wrong) {
        return true;
    }
    if (wrong == http::error::body_limit) {
        this->refusal =
            Refusal{413, "body_too_large", "request not understood: " + wrong.message()};
    } else if (wrong == http::error::header_limit) {
        this->refusal =
            Refusal{431, "header_too_large", "the header or the trailers are too large"};
    } else {
        this->refusal = Refusal{400, "malformed", "request not understood: " + wrong.message()};
    }
    return false;
}

void RequestReader::refuseShortage()
{
    this->refusal = Refusal{503, "short_of_memory", "not accepted: too much is being received"};
}

void RequestReader::refuseIncomplete(const char *slowPart)
{
    if (this->connection.evicted) {
        this->refusal = Refusal{503, "evicted", "not accepted: stalled while others waited"};
    } else if (this->failure == beast::error::timeout) {
        this->refusal = Refusal{408, slowPart, "not accepted: the request took too long to arrive"};
    } else if (this->failure == asio::error::eof) {
        boost::system::error_code partial = http::error::partial_message;
        this->refusal = Refusal{400, "malformed", "request not understood: " + partial.message()};
    }
}

asio::awaitable<bool> RequestReader::receiveHeader()
{
    ServedConnection &served = this->connection;
    std::size_t next = 0;
    std::size_t counted = 0; ///< Bytes of the buffer that are charged for.
    while (true) {
        const auto *data = static_cast<const char *>(served.buffer.data().data());
        const std::size_t size = served.buffer.size();
        const auto lines = std::count(data + counted, data + size, '\n');
        this->requestBytes += size - counted + fieldBytes * static_cast<std::size_t>(lines);
        if (!served.limiter->receivingHeader(served.id, this->requestBytes)) {
            this->refuseShortage();
            co_return false;
        }
        if (!this->parse()) {
            co_return false;
        }
        if (this->parser.is_header_done()) {
            co_return true;
        }
        counted = served.buffer.size();
        // Most headers arrive with the first read and need no deadline of their own.
        if (next == 0) {
            served.expireAfter(this->limits.headerTimeout);
        }
        next = next == 0 ? firstRead : smallRead;
        const std::size_t more = co_await served.read(next, this->failure);
        if (more == 0) {
            this->refuseIncomplete("slow_header");
            co_return false;
        }
    }
}

asio::awaitable<bool> RequestReader::receiveBody()
{
    ServedConnection &served = this->connection;
    const std::size_t enough = this->limits.minBytesPerSecond *
                               static_cast<std::size_t>(this->limits.ioTimeout.count()) / 1000;
    const std::size_t beforeBody = this->requestBytes;
    const bool declared = this->parser.content_length().has_value();
    std::size_t received = served.buffer.size();
    std::size_t recent = enough; ///< Received since the time for the minimum rate was extended.
    this->parser.eager(true);
    while (true) {
        this->requestBytes = beforeBody + (declared ? *this->parser.content_length() : received);
        if (!served.limiter->receivingBody(served.id, this->requestBytes)) {
            this->refuseShortage();
            co_return false;
        }
        if (served.buffer.size() > 0 && !this->parse()) {
            co_return false;
        }
        if (this->parser.is_done()) {
            co_return true;
        }
        if (recent >= enough) {
            recent = 0;
            served.expireAfter(this->limits.ioTimeout);
        }
        // A buffer never exceeds what is charged: the bytes received, or the rest of the body.
        const std::size_t next =
            declared ? std::min<std::size_t>(*this->parser.content_length_remaining(), largestRead)
                     : std::clamp(received, smallRead, largestRead);
        const std::size_t more = co_await served.read(next, this->failure);
        if (more == 0) {
            this->refuseIncomplete("slow_body");
            co_return false;
        }
        received += more;
        recent += more;
    }
}

} // namespace

struct HttpServer::Shared : std::enable_shared_from_this<HttpServer::Shared>
{
    Shared(asio::io_context &context, const HttpLimits &limits, HttpHandler handler,
           ListenerKind kind, std::shared_ptr<ConnectionLimiter> limiter)
        : context(context)
        , limits(limits)
        , handler(std::move(handler))
        , kind(kind)
        , limiter(std::move(limiter))
        , acceptor(context)
    {}

    asio::awaitable<void> accept();
    /** Starts to serve the connection, or refuses it. */
    void open(asio::ip::tcp::socket socket);
    asio::awaitable<void> serve(std::shared_ptr<ServedConnection> connection);
    asio::awaitable<HttpResponse> handle(HttpRequest request);
    /** Waits for the first bytes of a request; false: the connection is to be closed. */
    asio::awaitable<bool> waitForRequest(ServedConnection &connection);
    /** Receives what a refused client has sent already. A connection that is closed before that is
     * reset, and the client may lose the response. */
    asio::awaitable<void> discard(ServedConnection &connection);
    /** Receives one request, responds to it and returns whether to receive another. */
    asio::awaitable<bool> serveRequest(ServedConnection &connection);
    asio::awaitable<bool> send(beast::tcp_stream &stream, HttpResponse response, bool keepAlive,
                               std::chrono::milliseconds timeout);

    asio::io_context &context;
    HttpLimits limits;
    const HttpHandler handler;
    const ListenerKind kind;
    const std::shared_ptr<ConnectionLimiter> limiter;
    asio::ip::tcp::acceptor acceptor;
};

asio::awaitable<void> HttpServer::Shared::accept()
{
    const auto self = this->shared_from_this();
    asio::steady_timer pause(this->context);
    while (this->acceptor.is_open()) {
        boost::system::error_code failure;
        asio::ip::tcp::socket socket(this->context);
        co_await this->acceptor.async_accept(socket,
                                             asio::redirect_error(asio::use_awaitable, failure));
        if (failure == asio::error::operation_aborted) {
            co_return;
        }
        if (failure) {
            pause.expires_after(acceptPause);
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, failure));
            continue;
        }
        this->open(std::move(socket));
    }
}

void HttpServer::Shared::open(asio::ip::tcp::socket socket)
{
    boost::system::error_code failure;
    socket.set_option(asio::ip::tcp::no_delay(true), failure);
    const asio::ip::tcp::endpoint remote = socket.remote_endpoint(failure);
    auto connection =
        std::make_shared<ServedConnection>(std::move(socket), this->kind, this->limiter);
    const auto id = this->limiter->open(this->kind, remote.address().to_string(),
                                        [weak = std::weak_ptr(connection)](ShortOf) {
                                            if (const auto evicted = weak.lock()) {
                                                evicted->evict();
                                            }
                                        });
    if (!id) {
        this->limiter->refused(ConnectionId(), this->kind, 503, "short_of_connections");
        std::ostringstream text;
        text << toBeast(toResponse({503, "", "too many connections; come back shortly"}), false);
        // Fits into the socket's buffer; the descriptor is free again at once.
        asio::ip::tcp::socket &refused = connection->stream.socket();
        refused.non_blocking(true, failure);
        refused.write_some(asio::buffer(text.str()), failure);
        refused.shutdown(asio::ip::tcp::socket::shutdown_send, failure);
        return;
    }
    connection->id = *id;
    asio::co_spawn(
        this->context,
        [self = this->shared_from_this(), connection = std::move(connection)] {
            return self->serve(connection);
        },
        asio::detached);
}

asio::awaitable<HttpResponse> HttpServer::Shared::handle(HttpRequest request)
{
    const auto slot = std::make_shared<Slot>(co_await asio::this_coro::executor);
    asio::io_context &target = this->context;
    this->handler(std::move(request), [slot, &target](HttpResponse response) {
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

asio::awaitable<bool> HttpServer::Shared::send(beast::tcp_stream &stream, HttpResponse response,
                                               bool keepAlive, std::chrono::milliseconds timeout)
{
    boost::system::error_code failure;
    const auto message = toBeast(std::move(response), keepAlive);
    stream.expires_after(timeout);
    co_await http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, failure));
    if (failure == beast::error::timeout) {
        this->limiter->countClosed(this->kind, "response_not_read");
    }
    co_return !failure;
}

asio::awaitable<bool> HttpServer::Shared::waitForRequest(ServedConnection &connection)
{
    this->limiter->idle(connection.id);
    if (connection.buffer.size() > 0) {
        co_return true;
    }
    boost::system::error_code failure;
    connection.expireAfter(this->limits.idleTimeout);
    const std::size_t received = co_await connection.read(firstRead, failure);
    if (received == 0 && failure == beast::error::timeout && !connection.evicted) {
        this->limiter->countClosed(this->kind, ConnectionLimiter::idleReason);
    }
    co_return received > 0;
}

asio::awaitable<void> HttpServer::Shared::discard(ServedConnection &connection)
{
    boost::system::error_code failure;
    connection.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, failure);
    this->limiter->idle(connection.id);
    connection.expireAfter(Duration(errorTimeout.count()));
    std::size_t received = 0;
    while (received < mostDiscarded) {
        const std::size_t more = co_await connection.read(smallRead, failure);
        if (more == 0) {
            break;
        }
        connection.buffer.consume(more);
        received += more;
    }
}

asio::awaitable<bool> HttpServer::Shared::serveRequest(ServedConnection &connection)
{
    const bool begun = co_await this->waitForRequest(connection);
    if (!begun) {
        co_return false;
    }
    std::optional<RequestReader> reader(std::in_place, connection, this->limits);
    const bool received = co_await reader->receive();
    if (!received) {
        co_return false;
    }
    if (reader->refusal) {
        const Refusal refusal = std::move(*reader->refusal);
        reader.reset();
        connection.buffer = beast::flat_buffer();
        connection.limiter->refused(connection.id, this->kind, refusal.status, refusal.reason);
        const bool sent =
            co_await this->send(connection.stream, toResponse(refusal), false, errorTimeout);
        if (sent) {
            co_await this->discard(connection);
        }
        co_return false;
    }
    bool keepAlive = reader->parser.get().keep_alive();
    HttpRequest request = fromBeast(reader->parser.release());
    reader.reset();
    connection.limiter->busy(connection.id);
    connection.expireNever();
    // Many connections are kept, few of them receive a large request.
    connection.buffer.shrink_to_fit();
    HttpResponse response = co_await this->handle(std::move(request));
    keepAlive = keepAlive && !asksToClose(response);
    if (response.status == dropConnection) {
        co_return false;
    }
    connection.limiter->responding(connection.id, response.body.size());
    const bool sent = co_await this->send(connection.stream, std::move(response), keepAlive,
                                          toChrono(this->limits.ioTimeout));
    co_return sent &&keepAlive;
}

asio::awaitable<void> HttpServer::Shared::serve(std::shared_ptr<ServedConnection> connection)
{
    bool keepAlive = true;
    while (keepAlive) {
        keepAlive = co_await this->serveRequest(*connection);
    }
    boost::system::error_code ignored;
    connection->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

HttpServer::HttpServer(asio::io_context &context, const HttpLimits &limits, HttpHandler handler)
    : HttpServer(context, limits, std::move(handler), ListenerKind::Client,
                 std::make_shared<ConnectionLimiter>(
                     ClientBounds{.bytes = SIZE_MAX,
                                  .connections = limits.maxConnections,
                                  .connectionsPerListener = limits.maxConnections,
                                  .reservedConnections = 0}))
{}

HttpServer::HttpServer(asio::io_context &context, const HttpLimits &limits, HttpHandler handler,
                       ListenerKind kind, std::shared_ptr<ConnectionLimiter> limiter)
    : shared(
          std::make_shared<Shared>(context, limits, std::move(handler), kind, std::move(limiter)))
{}

void HttpServer::setLimits(const HttpLimits &limits)
{
    this->shared->limits = limits;
}

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
