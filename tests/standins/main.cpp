#include <algorithm>
#include <chrono>
#include <csignal>
#include <iostream>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <utility>
#include <vector>

#include <boost/asio.hpp>
#include <tclap/CmdLine.h>

#include "frostnight.h"
#include "jsoncodec.h"
#include "platformstandin.h"
#include "workerstandin.h"

namespace godwitfall::standins {

namespace {

constexpr std::chrono::milliseconds tickEvery(2);
constexpr Resources workerSize{64000, 250000, 4, 8};
constexpr const char *serviceName = "ordering";

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, separator)) {
        parts.push_back(part);
    }
    return parts;
}

/** All stand-ins of a deployment in one process, and what they saw from outside. */
class Standins
{
public:
    explicit Standins(const Layout &layout)
        : layout(layout)
        , started(std::chrono::steady_clock::now())
        , platform(this->context, layout, [this] { return this->now(); })
        , control(this->context, HttpLimits(),
                  [this](const HttpRequest &request, Respond respond) {
                      respond(this->handle(request));
                  })
        , ticker(this->context)
        , signals(this->context, SIGTERM, SIGINT)
    {}

    int run()
    {
        for (std::size_t zone = 0; zone < this->layout.zones.size(); ++zone) {
            for (int index = 0; index < this->layout.workersPerZone; ++index) {
                this->workers.push_back(std::make_unique<WorkerStandin>(
                    this->context, this->layout.workerName(zone, index), workerSize,
                    [this] { return this->now(); }));
                this->check(this->workers.back()->listen(this->layout.workerAddress(zone, index)));
            }
        }
        this->check(this->platform.listen());
        this->check(this->control.listen(this->layout.controlAddress()));
        this->platform.setList(this->makeList());
        this->signals.async_wait(
            [this](const boost::system::error_code &, int) { this->context.stop(); });
        this->tick();
        std::cout << "stand-ins are up" << std::endl;
        this->context.run();
        return 0;
    }

private:
    Instant now() const
    {
        const auto since = std::chrono::steady_clock::now() - this->started;
        return Instant(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
    }

    static void check(const Result<void> &result)
    {
        if (!result) {
            std::cerr << result.error().text() << "\n";
            std::exit(1);
        }
    }

    wire::InstanceList makeList() const
    {
        wire::InstanceList list;
        for (std::size_t zone = 0; zone < this->layout.zones.size(); ++zone) {
            for (int index = 0; index < this->layout.workersPerZone; ++index) {
                wire::ListedWorker &worker = *list.add_workers();
                worker.set_worker(this->layout.workerName(zone, index));
                worker.set_zone(this->layout.zones[zone]);
                worker.set_rack(this->layout.zones[zone] + "-r" + std::to_string(index / 8));
                worker.set_address(this->layout.workerAddress(zone, index));
                worker.set_leaving(this->leaving.contains(worker.worker()));
                *worker.mutable_capacity() = workerSize.toWire();
                worker.add_services(serviceName);
            }
            for (int index = 0; index < this->layout.instancesPerZone; ++index) {
                wire::ListedInstance &instance = *list.add_instances();
                instance.set_instance(this->layout.instanceName(zone, index));
                instance.set_zone(this->layout.zones[zone]);
                instance.set_peer_address(this->layout.instancePeer(zone, index));
            }
        }
        return list;
    }

    void tick()
    {
        for (const auto &worker : this->workers) {
            worker->tick();
        }
        this->platform.tick();
        this->observe();
        this->ticker.expires_after(tickEvery);
        this->ticker.async_wait([this](const boost::system::error_code &failure) {
            if (!failure) {
                this->tick();
            }
        });
    }

    /** Counts, from outside, promises that are seen broken. */
    void observe()
    {
        std::map<std::string, int> places;
        for (const auto &worker : this->workers) {
            const fakes::FakeWorker &fake = worker->worker();
            this->overcommits += fake.used().fitsIn(fake.capacity()) ? 0 : 1;
            for (const wire::TaskKey &key : fake.runningTasks()) {
                ++places[key.task()];
            }
        }
        for (const auto &[task, count] : places) {
            if (count > 1) {
                this->doubled.insert(task);
            }
        }
        ++this->observations;
    }

    HttpResponse handle(const HttpRequest &request)
    {
        HttpResponse response;
        response.contentType = "text/plain";
        const std::vector<std::string> parts = split(request.target, '/');
        if (request.target == "/counts") {
            response.body = this->counts();
            return response;
        }
        bool known = false;
        if (parts.size() >= 4 && parts[1] == "faults") {
            const std::string value = parts.size() > 4 ? parts[4] : "";
            known = parts[2] == "worker" ? this->setWorkerFault(parts[3], value)
                                         : this->platform.setFault(parts[2], parts[3], value);
        }
        response.status = known ? 200 : 404;
        return response;
    }

    bool setWorkerFault(const std::string &name, const std::string &fault)
    {
        if (fault == "list-leaving") {
            this->leaving.insert(name);
            this->platform.setList(this->makeList());
            return true;
        }
        const auto found =
            std::find_if(this->workers.begin(), this->workers.end(),
                         [&](const auto &worker) { return worker->worker().name() == name; });
        return found != this->workers.end() && (*found)->setFault(fault);
    }

    /** Returns "name value" lines: what was seen, and requests whose id was begun more than once.
     */
    std::string counts() const
    {
        std::map<std::string, int> begun;
        std::size_t running = 0;
        for (const auto &worker : this->workers) {
            running += worker->worker().runningTasks().size();
            for (const auto &[request, count] : worker->worker().begunRequests()) {
                begun[request] += count;
            }
        }
        std::ostringstream text;
        text << "observations " << this->observations << "\n"
             << "overcommits " << this->overcommits << "\n"
             << "doubled_tasks " << this->doubled.size() << "\n"
             << "running_tasks " << running << "\n"
             << "appends " << this->platform.appends() << "\n";
        for (const auto &[request, count] : begun) {
            if (request.starts_with("order-")) {
                text << "begun:" << request << " " << count << "\n";
            }
        }
        return text.str();
    }

    const Layout layout;
    const std::chrono::steady_clock::time_point started;
    boost::asio::io_context context;
    PlatformStandin platform;
    HttpServer control;
    boost::asio::steady_timer ticker;
    boost::asio::signal_set signals;
    std::vector<std::unique_ptr<WorkerStandin>> workers;
    std::set<std::string> leaving;
    std::set<std::string> doubled;
    std::uint64_t overcommits = 0;
    std::uint64_t observations = 0;
};

} // namespace

} // namespace godwitfall::standins

int main(int argumentCount, char **argumentValues)
{
    using namespace godwitfall::standins;
    TCLAP::CmdLine command("Stand-ins for workers, log service and instance list, and the caller "
                           "of the demonstration; all on the loopback network.",
                           ' ', "");
    TCLAP::ValueArg<std::string> zones("z", "zones", "Names of the zones.", false,
                                       "trnava,nitra,senica", "names", command);
    TCLAP::ValueArg<int> workers("w", "workers", "Workers in each zone.", false, 4, "number",
                                 command);
    TCLAP::ValueArg<int> instances("n", "instances", "Entry instances in each zone.", false, 3,
                                   "number", command);
    TCLAP::SwitchArg play("p", "play", "Plays a frost night against a running deployment.",
                          command);
    TCLAP::ValueArg<std::string> kill("k", "kill", "Process that is killed on the way, by its id.",
                                      false, "", "pid", command);
    TCLAP::ValueArg<int> seconds("s", "seconds", "Length of the frost night.", false, 30, "s",
                                 command);
    command.parse(argumentCount, argumentValues);
    Layout layout;
    layout.zones = split(zones.getValue(), ',');
    layout.workersPerZone = workers.getValue();
    layout.instancesPerZone = instances.getValue();
    if (play.getValue()) {
        return FrostNight(layout, seconds.getValue(), kill.getValue()).run();
    }
    return Standins(layout).run();
}
