#pragma once

#include <string>

#include "clock.h"
#include "error.h"
#include "godwitfall.pb.h"
#include "ids.h"

namespace godwitfall {

/** The streams that the system keeps in the platform's log service. */
enum class Stream {
    State,     ///< The records that ClusterState is built from.
    Snapshots, ///< Parts of snapshots of that state.
};

/** An order to a worker, with what is needed to judge its reply. */
struct SentOrder
{
    wire::WorkerOrder order;
    std::string address;
    Instant sentAt;   ///< Taken before the order was handed to the transport.
    Instant notAfter; ///< The transport must not send the order at or after this.
    Duration timeout; ///< How long the transport waits for the reply.
};

/**
 * Where the decisions leave an instance; the only way in which the library acts on the world.
 *
 * No call waits, and none calls back into the library.
 */
class Outbox
{
public:
    virtual ~Outbox() = default;
    virtual void sendPeer(const std::string &address, const wire::PeerMessage &message) = 0;
    virtual void sendWorker(const SentOrder &order) = 0;
    virtual void append(Stream stream, const std::string &payload) = 0;
    /** Reads entries from the offset on; waits for one up to the given time when there is none. */
    virtual void read(Stream stream, Offset from, std::size_t most, Duration wait) = 0;
    /** Asks for the instance list; the answer is handed back with the time of asking. */
    virtual void fetchList(Instant askedAt) = 0;
    virtual void answer(CallerToken caller, const wire::CallerAnswer &answer) = 0;
    virtual void reply(CallerToken caller, const wire::CommandReply &reply) = 0;
};

} // namespace godwitfall
