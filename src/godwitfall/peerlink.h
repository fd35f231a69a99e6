#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "error.h"
#include "godwitfall.pb.h"

namespace godwitfall {

/**
 * Carries messages between instances over ZeroMQ.
 *
 * Messages to a peer that can't be reached are dropped after a bounded backlog; every protocol
 * above tolerates loss.
 */
class PeerLink
{
public:
    using Handler = std::function<void(const wire::PeerMessage &)>;

    explicit PeerLink(Handler handler);
    ~PeerLink();

    /** Starts to hear peers on "ip:port"; the error says why it can't. */
    Result<void> listen(const std::string &address);

    /** Sends the message; may be called from any thread. */
    void send(const std::string &address, const wire::PeerMessage &message);

    /** Stops the link's thread; messages not yet sent are dropped. */
    void stop();

private:
    struct Sockets;

    void run();

    const Handler handler;
    std::unique_ptr<Sockets> sockets;
    std::thread thread;
};

} // namespace godwitfall
