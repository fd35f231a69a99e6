#include "command/commanddesk.h"

#include <vector>

namespace godwitfall {

namespace {

constexpr Duration decisionTimeout(5000);
constexpr Duration reachTimeout(3000);

} // namespace

CommandDesk::CommandDesk(const Queries &queries, const Guarded<WorkerTable> &workers,
                         LogWriter &writer, Outbox &outbox, WallClock wallClock)
    : queries(queries)
    , workers(workers)
    , writer(writer)
    , outbox(outbox)
    , wallClock(std::move(wallClock))
{}

void CommandDesk::refuse(const std::string &id, const std::string &reason, CallerToken caller)
{
    wire::CommandReply reply;
    reply.set_id(id);
    reply.set_verdict(wire::DECIDED_REFUSED);
    reply.set_reason(reason);
    this->outbox.reply(caller, reply);
}

void CommandDesk::submit(const wire::CommandRequest &request, const std::string &author,
                         CallerToken caller, Instant now)
{
    const Result<Command> command = parseCommand(request.text());
    if (!command) {
        this->refuse(request.id(), command.error().detail, caller);
    } else if (const auto *list = std::get_if<ListQuery>(&*command)) {
        this->outbox.reply(caller, this->queries.list(*list, now));
    } else if (const auto *why = std::get_if<WhyQuery>(&*command)) {
        this->outbox.reply(caller, this->queries.why(*why, now));
    } else if (const auto *status = std::get_if<StatusQuery>(&*command)) {
        this->outbox.reply(caller, this->queries.status(*status));
    } else {
        this->submitChange(*std::get<std::shared_ptr<Change>>(*command), request, author, caller,
                           now);
    }
}

void CommandDesk::submitChange(const Change &change, const wire::CommandRequest &request,
                               const std::string &author, CallerToken caller, Instant now)
{
    const auto objection =
        this->workers.read([&](const WorkerTable &table) { return change.objection(table); });
    if (objection) {
        this->refuse(request.id(), *objection, caller);
        return;
    }
    wire::Record record;
    record.set_id(request.id());
    record.set_author(author);
    record.set_based_on(change.basedOn);
    record.set_at_ms(this->wallClock());
    change.fill(record);
    std::lock_guard lock(this->mutex);
    const std::uint64_t key = ++this->lastKey;
    Waiting &waiting = this->open[key];
    waiting.caller = caller;
    waiting.id = request.id();
    waiting.deadline = now + decisionTimeout;
    waiting.waitsForAll = change.waitsForAll();
    waiting.ticket = this->writer.submit(
        std::move(record), [this, key](const std::optional<Decision> &decision, Instant at) {
            this->onDecided(key, decision, at);
        });
}

void CommandDesk::onDecided(std::uint64_t key, const std::optional<Decision> &decision, Instant now)
{
    std::lock_guard lock(this->mutex);
    const auto found = this->open.find(key);
    if (found == this->open.end()) {
        return;
    }
    Waiting &waiting = found->second;
    if (!decision) {
        waiting.reply = this->queries.status({waiting.id});
    } else {
        waiting.reply.set_verdict(decision->accepted ? wire::DECIDED_ACCEPTED
                                                     : wire::DECIDED_REFUSED);
        waiting.reply.set_offset(decision->offset.value());
        waiting.reply.set_reason(decision->reason);
        waiting.reply.set_winner(decision->winner);
    }
    waiting.reply.set_id(waiting.id);
    waiting.decided = true;
    waiting.deadline = now + reachTimeout;
    if (waiting.waitsForAll && waiting.reply.verdict() == wire::DECIDED_ACCEPTED) {
        this->queries.fillReach(waiting.reply, Offset(waiting.reply.offset()), now);
        if (waiting.reply.not_reached_size() > 0) {
            return;
        }
    }
    this->outbox.reply(waiting.caller, waiting.reply);
    this->open.erase(found);
}

void CommandDesk::onTick(Instant now)
{
    std::lock_guard lock(this->mutex);
    std::vector<std::uint64_t> done;
    for (auto &[key, waiting] : this->open) {
        if (waiting.decided) {
            this->queries.fillReach(waiting.reply, Offset(waiting.reply.offset()), now);
            if (waiting.reply.not_reached_size() > 0 && now < waiting.deadline) {
                continue;
            }
        } else if (now < waiting.deadline) {
            continue;
        } else if (this->writer.withdraw(waiting.ticket)) {
            waiting.reply.set_verdict(wire::DECIDED_REFUSED);
            waiting.reply.set_reason("the log can't be reached; nothing was changed");
        } else {
            waiting.reply.set_verdict(wire::DECIDED_UNKNOWN);
            waiting.reply.set_reason("not yet decided; ask again with: status " + waiting.id);
        }
        waiting.reply.set_id(waiting.id);
        this->outbox.reply(waiting.caller, waiting.reply);
        done.push_back(key);
    }
    for (const std::uint64_t key : done) {
        this->open.erase(key);
    }
}

std::size_t CommandDesk::waiting() const
{
    std::lock_guard lock(this->mutex);
    return this->open.size();
}

} // namespace godwitfall
