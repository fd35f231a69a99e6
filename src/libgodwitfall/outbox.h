#pragma once

#include <string>

#include "clock.h"
#include "error.h"
#include "godwitfall.pb.h"
#include "ids.h"

namespace godwitfall {

/** Streams in the platform's log service. */
enum class Stream {
    State,     ///< The records that ClusterState is built from.
    Snapshots, ///< Parts of snapshots of that state.
};

/** An order to a worker, with the send time and limits that its transport and reply need. */
struct SentOrder
{
    wire::WorkerOrder order;
    std::string address;
    Instant sentAt;   ///< Taken before the order was passed to the transport.
    Instant notAfter; ///< The transport must not send the order at or after this.
    Duration timeout; ///< How long the transport waits for the reply.
};

/**
 * All output of the library: messages to peers, workers, the log service and callers.
 *
 * Implementations neither block nor call back into the library.
 */
class Outbox
{
public:
    virtual ~Outbox() = default;
    virtual void sendPeer(const std::string &address, const wire::PeerMessage &message) = 0;
    virtual void sendWorker(const SentOrder &order) = 0;
    virtual void append(Stream stream, const std::string &payload) = 0;
    /** Reads at most that many entries from the offset on; waits up to that time for the first. */
    virtual void read(Stream stream, Offset from, std::size_t most, Duration wait) = 0;
    /** Requests the instance list; the reply is delivered with the given request time. */
    virtual void fetchList(Instant askedAt) = 0;
    virtual void answer(CallerToken caller, const wire::CallerAnswer &answer) = 0;
    virtual void reply(CallerToken caller, const wire::CommandReply &reply) = 0;
};

} // namespace godwitfall
