#include "httpclient.h"

#include <chrono>
#include <map>
#include <utility>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include "address.h"
#include "httpread.h"

namespace godwitfall {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t idleLimit = 32;
constexpr std::chrono::milliseconds connectTimeout(1000);
constexpr std::uint64_t maxResponseBytes = 64 * 1024 * 1024;

using Stream = std::unique_ptr<beast::tcp_stream>;

} // namespace

struct HttpClient::Shared : std::enable_shared_from_this<HttpClient::Shared>
{
    explicit Shared(asio::io_context &context)
        : context(context)
    {}

    asio::awaitable<Result<HttpResponse>> perform(const HttpCall &call);
    asio::awaitable<Result<Stream>> connect(const HttpCall &call);
    Stream takeIdle(const std::string &address);

    asio::io_context &context;
    std::map<std::string, std::vector<Stream>> idle;
};

Stream HttpClient::Shared::takeIdle(const std::string &address)
{
    std::vector<Stream> &streams = this->idle[address];
    while (!streams.empty()) {
        Stream stream = std::move(streams.back());
        streams.pop_back();
        // A kept connection on which something waits to be read was closed by the server.
        boost::system::error_code failure;
        stream->socket().non_blocking(true, failure);
        char byte = 0;
        stream->socket().receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, failure);
        if (failure == asio::error::would_block) {
            return stream;
        }
    }
    return nullptr;
}

asio::awaitable<Result<Stream>> HttpClient::Shared::connect(const HttpCall &call)
{
    if (Stream kept = this->takeIdle(call.address)) {
        co_return kept;
    }
    const auto endpoint = parseEndpoint(call.address);
    if (!endpoint) {
        co_return tl::unexpected(endpoint.error());
    }
    auto stream = std::make_unique<beast::tcp_stream>(this->context);
    boost::system::error_code failure;
    stream->expires_after(connectTimeout);
    co_await stream->async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
        co_return tl::unexpected(
            Error{Fate::NotDone, call.step, call.address, "connect: " + failure.message()});
    }
    stream->socket().set_option(asio::ip::tcp::no_delay(true), failure);
    co_return stream;
}

asio::awaitable<Result<HttpResponse>> HttpClient::Shared::perform(const HttpCall &call)
{
    Result<Stream> connected = co_await this->connect(call);
    if (!connected) {
        co_return tl::unexpected(connected.error());
    }
    Stream stream = std::move(*connected);
    if (call.stillWanted && !call.stillWanted()) {
        this->idle[call.address].push_back(std::move(stream));
        co_return tl::unexpected(Error{Fate::NotDone, call.step, call.address,
                                       "no longer wanted when it was to be sent"});
    }
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(call.method);
    request.target(call.target);
    request.set(http::field::host, call.address);
    request.set(http::field::content_type, "application/json");
    for (const auto &[name, value] : call.headers) {
        request.set(name, value);
    }
    request.body() = call.body;
    request.prepare_payload();
    boost::system::error_code failure;
    stream->expires_after(std::chrono::milliseconds(call.timeout.count()));
    co_await http::async_write(*stream, request,
                               asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
        co_return tl::unexpected(
            Error{Fate::Unknown, call.step, call.address, "send: " + failure.message()});
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxResponseBytes);
    co_await readMessage(*stream, buffer, parser, failure);
    if (failure) {
        const std::string received = std::to_string(parser.get().body().size());
        co_return tl::unexpected(
            Error{Fate::Unknown, call.step, call.address,
                  "receive: " + failure.message() + " after " + received + " bytes of the body"});
    }
    HttpResponse response;
    response.status = parser.get().result_int();
    response.body = std::move(parser.get().body());
    for (const auto &field : parser.get()) {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(), ::tolower);
        response.headers[name] = std::string(field.value());
    }
    stream->expires_never();
    std::vector<Stream> &streams = this->idle[call.address];
    if (parser.get().keep_alive() && streams.size() < idleLimit) {
        streams.push_back(std::move(stream));
    }
    co_return response;
}

HttpClient::HttpClient(asio::io_context &context)
    : shared(std::make_shared<Shared>(context))
{}

HttpClient::~HttpClient() = default;

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
