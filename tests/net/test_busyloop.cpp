// Large bodies on an event loop that is busy with other work.
#include <functional>
#include <optional>
#include <thread>
#include <utility>

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include "httpclient.h"
#include "httpserver.h"

namespace godwitfall {
namespace {

namespace asio = boost::asio;

constexpr const char *address = "127.0.99.2:17412";
/** Length of one turn of a coordinator's event loop in a burst. */
constexpr std::chrono::milliseconds turnInBurst(50);
/** The shortest time in which a confirmed configuration has to be in force; set by the platform. */
constexpr std::chrono::milliseconds configApplyTime(2000);
constexpr int allowedTurns = static_cast<int>(configApplyTime / turnInBurst);

constexpr std::size_t largestRecord = 262144; ///< Of the store, in bytes.
constexpr std::size_t largestPage = 1048576;  ///< Of a read of the store, in bytes.

/** Does some work in every turn of an event loop, and counts the turns. */
class BusyWork
{
public:
    explicit BusyWork(asio::io_context &context)
        : context(context)
    {
        this->work();
    }

    int turns = 0;

private:
    void work()
    {
        asio::post(this->context, [this] {
            ++this->turns;
            // What the peer has sent is there by the next turn.
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            this->work();
        });
    }

    asio::io_context &context;
};

struct Transfer
{
    const char *name;
    std::size_t requestBytes;
    std::size_t responseBytes;
    bool busyClient; ///< Otherwise the server's loop is the busy one.
};

class BusyLoopTest : public ::testing::TestWithParam<Transfer>
{};

// Guards against configurations that a busy coordinator reads for seconds, as the number of turns
// that a body took grew with its size.
TEST_P(BusyLoopTest, ReceivesLargeBodiesInFewTurns)
{
    const Transfer &transfer = GetParam();
    HttpLimits limits;
    limits.maxBodyBytes = largestPage;
    asio::io_context serverContext;
    std::size_t received = 0;
    HttpServer server(serverContext, limits,
                      [&](const HttpRequest &request, const Respond &respond) {
                          received = request.body.size();
                          HttpResponse response;
                          response.body = std::string(transfer.responseBytes, 'x');
                          respond(std::move(response));
                      });
    ASSERT_TRUE(server.listen(address));
    asio::io_context clientContext;
    HttpClient client(clientContext);
    HttpCall call;
    call.address = address;
    call.target = "/";
    call.body = std::string(transfer.requestBytes, 'x');
    std::optional<Result<HttpResponse>> result;
    client.call(std::move(call), [&](const Result<HttpResponse> &outcome) {
        result = outcome;
        clientContext.stop();
        serverContext.stop();
    });
    BusyWork busy(transfer.busyClient ? clientContext : serverContext);
    std::thread serverThread([&] { serverContext.run(); });
    clientContext.run();
    serverThread.join();
    ASSERT_TRUE(result && *result) << (result ? result->error().text() : "no result");
    EXPECT_EQ((*result)->body.size(), transfer.responseBytes);
    EXPECT_EQ(received, transfer.requestBytes);
    EXPECT_LE(busy.turns, allowedTurns);
}

INSTANTIATE_TEST_SUITE_P(Bodies, BusyLoopTest,
                         ::testing::Values(Transfer{"smallReply", 100, 1000, true},
                                           Transfer{"largestRecord", 100, largestRecord, true},
                                           Transfer{"largestPage", 100, largestPage, true},
                                           Transfer{"largeRequest", largestRecord, 100, false}),
                         [](const auto &given) { return std::string(given.param.name); });

} // namespace
} // namespace godwitfall
