// Messages between instances.
#include <atomic>
#include <chrono>
#include <thread>

#include <gtest/gtest.h>

#include "peerlink.h"

namespace godwitfall {
namespace {

// Guards against one odd address in the list of instances that ends the process of each of them.
TEST(PeerLinkTest, OutlivesAddressesThatCannotBeConnected)
{
    constexpr const char *address = "127.0.99.3:17413";
    std::atomic<int> received = 0;
    PeerLink receiver([&](const wire::PeerMessage &) { ++received; });
    ASSERT_TRUE(receiver.listen(address));
    PeerLink sender([](const wire::PeerMessage &) {});
    ASSERT_TRUE(sender.listen("127.0.99.4:17413"));
    wire::PeerMessage message;
    message.set_from("a");
    for (const char *odd :
         {"127.0.99.3:99999", "127.0.99.3:-1", "127.0.99.3", "nowhere", "::", ""}) {
        sender.send(odd, message);
    }
    sender.send(address, message);
    const auto giveUpAt = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (received == 0 && std::chrono::steady_clock::now() < giveUpAt) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    EXPECT_EQ(received, 1);
}

} // namespace
} // namespace godwitfall
