#pragma once

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fakes/fakelog.h"
#include "httpserver.h"
#include "layout.h"

namespace godwitfall::standins {

/** The log service and the instance list behind HTTP, with faults that can be switched. */
class PlatformStandin
{
public:
    PlatformStandin(boost::asio::io_context &context, Layout layout, std::function<Instant()> now);

    Result<void> listen();

    /** Answers reads that waited for an entry. */
    void tick();

    /** Switches a fault of the platform; false for no such one. */
    bool setFault(const std::string &fault, const std::string &subject, const std::string &value);

    std::uint64_t appends() const { return this->log.appends(); }

    /** Sets the list that is told from now on, after the lag. */
    void setList(const wire::InstanceList &list);

private:
    struct WaitingRead
    {
        std::string zone;
        std::string stream;
        std::uint64_t from = 0;
        std::size_t most = 0;
        Instant until;
        Respond respond;
    };

    struct DueList
    {
        Instant at;
        wire::InstanceList list;
    };

    void handle(const std::string &zone, const HttpRequest &request, Respond respond);
    void append(const std::string &stream, const HttpRequest &request, Respond respond);
    void read(const std::string &zone, const std::string &stream, const HttpRequest &request,
              Respond respond);
    bool unreachable(const std::string &zone) const;

    boost::asio::io_context &context;
    const Layout layout;
    const std::function<Instant()> now;
    std::vector<std::unique_ptr<HttpServer>> servers;
    fakes::FakeLog log;
    std::list<WaitingRead> waiting;
    std::set<std::string> cutZones;
    bool outage = false;
    int answersToLose = 0;
    Duration slowness;
    Duration listLag;
    double appendCap = 400.0;
    double appendTokens = 400.0;
    Instant tokensAt;
    std::deque<DueList> lists;
    wire::InstanceList told;
    std::list<std::pair<Instant, std::function<void()>>> delayed;
};

} // namespace godwitfall::standins
