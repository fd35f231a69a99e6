#include "platformstandin.h"

#include <algorithm>
#include <cstdlib>

#include "jsoncodec.h"

namespace godwitfall::standins {

namespace {

constexpr const char *streamsPath = "/v1/streams/";
constexpr double msPerSecond = 1000.0;

HttpResponse status(unsigned code)
{
    HttpResponse response;
    response.status = code;
    return response;
}

HttpResponse encode(const google::protobuf::Message &message)
{
    HttpResponse response;
    response.body = toJson(message);
    return response;
}

std::uint64_t parameter(const std::string &target, const std::string &name)
{
    const std::size_t at = target.find(name + "=");
    return at == std::string::npos
               ? 0
               : std::strtoull(target.c_str() + at + name.size() + 1, nullptr, 10);
}

} // namespace

PlatformStandin::PlatformStandin(boost::asio::io_context &context, Layout layout,
                                 std::function<Instant()> now)
    : context(context)
    , layout(std::move(layout))
    , now(std::move(now))
{}

Result<void> PlatformStandin::listen()
{
    for (std::size_t zone = 0; zone < this->layout.zones.size(); ++zone) {
        const std::string name = this->layout.zones[zone];
        HttpLimits limits;
        limits.maxBodyBytes = 16 << 20;
        this->servers.push_back(std::make_unique<HttpServer>(
            this->context, limits, [this, name](const HttpRequest &request, Respond respond) {
                this->handle(name, request, std::move(respond));
            }));
        if (const auto heard = this->servers.back()->listen(this->layout.platformAddress(zone));
            !heard) {
            return heard;
        }
    }
    return {};
}

bool PlatformStandin::unreachable(const std::string &zone) const
{
    return this->cutZones.contains(zone);
}

void PlatformStandin::setList(const wire::InstanceList &list)
{
    this->lists.push_back({this->now() + this->listLag, list});
}

void PlatformStandin::handle(const std::string &zone, const HttpRequest &request, Respond respond)
{
    if (this->unreachable(zone)) {
        respond(status(dropConnection));
        return;
    }
    if (request.target == "/v1/instances") {
        respond(encode(this->told));
        return;
    }
    if (this->outage || !request.target.starts_with(streamsPath)) {
        respond(status(this->outage ? dropConnection : 404));
        return;
    }
    const std::string rest = request.target.substr(std::string(streamsPath).size());
    const std::string stream = rest.substr(0, rest.find('?'));
    const auto act = [this, zone, stream, request, respond = std::move(respond)] {
        if (request.method == "POST") {
            this->append(stream, request, respond);
        } else {
            this->read(zone, stream, request, respond);
        }
    };
    if (this->slowness.count() > 0) {
        this->delayed.emplace_back(this->now() + this->slowness, act);
    } else {
        act();
    }
}

void PlatformStandin::append(const std::string &stream, const HttpRequest &request, Respond respond)
{
    const Instant at = this->now();
    this->appendTokens = std::min(
        this->appendCap,
        this->appendTokens +
            this->appendCap * static_cast<double>((at - this->tokensAt).count()) / msPerSecond);
    this->tokensAt = at;
    wire::AppendRequest message;
    if (!fromJson(request.body, message, "append", "caller")) {
        respond(status(400));
        return;
    }
    if (this->appendTokens < 1.0) {
        respond(status(429));
        return;
    }
    this->appendTokens -= 1.0;
    wire::AppendReply reply;
    reply.set_offset(this->log.append(stream, message.payload()));
    if (this->answersToLose > 0) {
        --this->answersToLose;
        respond(status(dropConnection));
        return;
    }
    respond(encode(reply));
    this->tick();
}

void PlatformStandin::read(const std::string &zone, const std::string &stream,
                           const HttpRequest &request, Respond respond)
{
    const std::uint64_t from = parameter(request.target, "from");
    const auto most = static_cast<std::size_t>(parameter(request.target, "most"));
    const Duration wait(static_cast<std::int64_t>(parameter(request.target, "wait_ms")));
    if (wait.count() == 0 || this->log.end(stream) > from) {
        respond(encode(this->log.read(stream, from, most)));
        return;
    }
    this->waiting.push_back({zone, stream, from, most, this->now() + wait, std::move(respond)});
}

void PlatformStandin::tick()
{
    const Instant at = this->now();
    for (auto entry = this->delayed.begin(); entry != this->delayed.end();) {
        if (entry->first > at) {
            ++entry;
            continue;
        }
        const auto act = entry->second;
        entry = this->delayed.erase(entry);
        act();
    }
    while (!this->lists.empty() && this->lists.front().at <= at) {
        this->told = this->lists.front().list;
        this->lists.pop_front();
    }
    for (auto read = this->waiting.begin(); read != this->waiting.end();) {
        const bool gone = this->outage || this->unreachable(read->zone);
        if (gone) {
            read->respond(status(dropConnection));
        } else if (this->log.end(read->stream) > read->from || at >= read->until) {
            read->respond(encode(this->log.read(read->stream, read->from, read->most)));
        } else {
            ++read;
            continue;
        }
        read = this->waiting.erase(read);
    }
}

bool PlatformStandin::setFault(const std::string &fault, const std::string &subject,
                               const std::string &value)
{
    const int number = std::atoi(subject.c_str());
    if (fault == "cut") {
        value == "on" ? (void)this->cutZones.insert(subject) : (void)this->cutZones.erase(subject);
    } else if (fault == "log-outage") {
        this->outage = subject == "on";
    } else if (fault == "log-lose-answers") {
        this->answersToLose = number;
    } else if (fault == "log-slow") {
        this->slowness = Duration(number);
    } else if (fault == "append-cap") {
        this->appendCap = number;
    } else if (fault == "retention") {
        this->log.retention = static_cast<std::size_t>(number);
    } else if (fault == "list-lag") {
        this->listLag = Duration(number);
    } else {
        return false;
    }
    return true;
}

} // namespace godwitfall::standins
