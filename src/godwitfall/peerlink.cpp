#include "peerlink.h"

#include <map>
#include <mutex>

#include <zmq.hpp>

#include "address.h"
#include "logging.h"

namespace godwitfall {

namespace {

constexpr int backlogMessages = 1000;
constexpr std::int64_t maxMessageBytes = 32 * 1024 * 1024;
constexpr const char *outgoingName = "inproc://outgoing";
/** Peers that come and go under new addresses would else pile up as sockets. */
constexpr std::size_t maxPeers = 1024;

} // namespace

struct PeerLink::Sockets
{
    Sockets()
        : incoming(this->context, zmq::socket_type::pull)
        , outgoing(this->context, zmq::socket_type::pull)
        , queue(this->context, zmq::socket_type::push)
    {
        this->outgoing.bind(outgoingName);
        this->queue.set(zmq::sockopt::linger, 0);
        this->queue.connect(outgoingName);
        this->incoming.set(zmq::sockopt::linger, 0);
        this->incoming.set(zmq::sockopt::maxmsgsize, maxMessageBytes);
        this->incoming.set(zmq::sockopt::rcvhwm, backlogMessages);
    }

    /** Returns the socket to the peer, or null if the address can't be connected. */
    zmq::socket_t *peerAt(const std::string &address)
    {
        const auto known = this->peers.find(address);
        if (known != this->peers.end()) {
            return &known->second;
        }
        if (const auto endpoint = parseEndpoint(address); !endpoint) {
            logLine(LogLevel::Warning, "peer_address_unusable", {{"why", endpoint.error().text()}});
            return nullptr;
        }
        if (this->peers.size() >= maxPeers) {
            this->peers.clear();
        }
        zmq::socket_t socket(this->context, zmq::socket_type::push);
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, backlogMessages);
        try {
            socket.connect("tcp://" + address);
        } catch (const zmq::error_t &failure) {
            logLine(LogLevel::Warning, "peer_address_unusable",
                    {{"why", address + ": " + failure.what()}});
            return nullptr;
        }
        return &this->peers.emplace(address, std::move(socket)).first->second;
    }

    zmq::context_t context{1};
    zmq::socket_t incoming;
    zmq::socket_t outgoing;
    std::mutex queueMutex;
    zmq::socket_t queue;
    std::map<std::string, zmq::socket_t> peers;
};

PeerLink::PeerLink(Handler handler)
    : handler(std::move(handler))
    , sockets(std::make_unique<Sockets>())
{}

PeerLink::~PeerLink()
{
    this->stop();
}

Result<void> PeerLink::listen(const std::string &address)
{
    try {
        this->sockets->incoming.bind("tcp://" + address);
    } catch (const zmq::error_t &failure) {
        return tl::unexpected(Error{Fate::NotDone, "listen for peers", address, failure.what()});
    }
    this->thread = std::thread([this] { this->run(); });
    return {};
}

void PeerLink::send(const std::string &address, const wire::PeerMessage &message)
{
    std::lock_guard lock(this->sockets->queueMutex);
    // The backlog is counted by whole messages: when the first part finds no room, neither is sent.
    const auto begun = this->sockets->queue.send(
        zmq::buffer(address), zmq::send_flags::sndmore | zmq::send_flags::dontwait);
    if (begun) {
        this->sockets->queue.send(zmq::buffer(message.SerializeAsString()),
                                  zmq::send_flags::dontwait);
    }
}

void PeerLink::stop()
{
    if (!this->thread.joinable()) {
        return;
    }
    {
        std::lock_guard lock(this->sockets->queueMutex);
        this->sockets->queue.send(zmq::message_t(), zmq::send_flags::none);
    }
    this->thread.join();
}

void PeerLink::run()
{
    Sockets &all = *this->sockets;
    while (true) {
        std::array<zmq::pollitem_t, 2> items = {
            zmq::pollitem_t{all.incoming.handle(), 0, ZMQ_POLLIN, 0},
            zmq::pollitem_t{all.outgoing.handle(), 0, ZMQ_POLLIN, 0},
        };
        zmq::poll(items.data(), items.size(), std::chrono::milliseconds(-1));
        if ((items[1].revents & ZMQ_POLLIN) != 0) {
            zmq::message_t address;
            (void)all.outgoing.recv(address);
            if (!address.more()) {
                return;
            }
            zmq::message_t body;
            (void)all.outgoing.recv(body);
            const std::string target = address.to_string();
            if (zmq::socket_t *peer = all.peerAt(target)) {
                (void)peer->send(body, zmq::send_flags::dontwait);
            }
        }
        if ((items[0].revents & ZMQ_POLLIN) != 0) {
            zmq::message_t body;
            (void)all.incoming.recv(body);
            wire::PeerMessage message;
            if (!body.more() &&
                message.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
                this->handler(message);
            } else {
                logLine(LogLevel::Warning, "peer_message_unreadable",
                        {{"bytes", std::to_string(body.size())}});
            }
        }
    }
}

} // namespace godwitfall
