#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "command/language.h"
#include "command/queries.h"
#include "logwriter.h"
#include "outbox.h"

namespace godwitfall {

/**
 * Takes operators' commands, has the log decide changes, and tells the operator what was decided.
 *
 * A change is answered accepted or refused only after it was read back; else the answer is unknown,
 * with the id under which to ask again, unless the change was certainly never sent.
 */
class CommandDesk
{
public:
    using WallClock = std::function<std::uint64_t()>;

    CommandDesk(const Queries &queries, const Guarded<WorkerTable> &workers, LogWriter &writer,
                Outbox &outbox, WallClock wallClock);

    void submit(const wire::CommandRequest &request, const std::string &author, CallerToken caller,
                Instant now);

    void onTick(Instant now);

    std::size_t waiting() const;

private:
    struct Waiting
    {
        CallerToken caller;
        std::string id;
        Ticket ticket;
        Instant deadline;
        bool decided = false;
        bool waitsForAll = false;
        wire::CommandReply reply;
    };

    void submitChange(const Change &change, const wire::CommandRequest &request,
                      const std::string &author, CallerToken caller, Instant now);
    void onDecided(std::uint64_t key, const std::optional<Decision> &decision, Instant now);
    void refuse(const std::string &id, const std::string &reason, CallerToken caller);

    const Queries &queries;
    const Guarded<WorkerTable> &workers;
    LogWriter &writer;
    Outbox &outbox;
    const WallClock wallClock;
    mutable std::mutex mutex;
    std::uint64_t lastKey = 0;
    std::map<std::uint64_t, Waiting> open;
};

} // namespace godwitfall
