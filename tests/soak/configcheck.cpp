#include "configcheck.h"

#include <algorithm>
#include <fstream>

#include "platform/names.h"

namespace godwitfall::soak {

namespace {

constexpr std::int64_t applyMs = 2000;   ///< Until a version must be in force; from the platform.
constexpr std::int64_t slackMs = 250;    ///< From a version's effect until older ones are over.
constexpr std::int64_t contactMs = 4000; ///< Calm after which an instance is in touch.
constexpr std::int64_t publishGapMs = 1300;
constexpr std::int64_t askGapMs = 60;
constexpr std::uint64_t versionStep = 3;
/** One version in so many has as many queues as a record can hold. */
constexpr std::uint64_t largeEvery = 3;
constexpr std::size_t queuesOfLarge = 1200;
/** The newest queues that are asked for; some of them are removed again. */
constexpr std::size_t askedQueues = 4;

std::string prefixOf(const std::string &queue)
{
    return std::string("/").append(queue).append("/");
}

std::string routeText(const std::string &name, const std::string &prefix,
                      const char *service = SoakLayout::serviceName)
{
    return R"({"name":")" + name + R"(","host":")" + SoakLayout::queueHost +
           R"(","path_prefix":")" + prefix + R"(","service":")" + service + R"(","max_attempts":)" +
           std::to_string(SoakLayout::maxAttempts) +
           R"(,"stretch":3,"timeout_ms":3000,"target_latency_ms":1000})";
}

} // namespace

ConfigCheck::ConfigCheck(boost::asio::io_context &context, const SoakLayout &layout,
                         FaultPlan &faults, PlatformStore &store, std::uint64_t seed)
    : layout(layout)
    , faults(faults)
    , store(store)
    , random(seed)
    , http(context)
    , shown(layout.instances)
{}

void ConfigCheck::publish(std::int64_t now)
{
    Version next;
    next.number = versionStep * (this->versions.size() + 1);
    next.atMs = now;
    next.queues.insert("v" + std::to_string(next.number));
    if (!this->versions.empty()) {
        next.queues.insert("v" + std::to_string(this->versions.back().number));
    }
    std::string routes = routeText("plan", SoakLayout::queuePrefix);
    routes += "," + routeText("vine", SoakLayout::otherQueuePrefix,
                              this->layout.tellsConditions ? SoakLayout::otherServiceName
                                                           : SoakLayout::serviceName);
    for (const std::string &queue : next.queues) {
        routes += "," + routeText(queue, prefixOf(queue));
    }
    if (this->versions.size() % largeEvery == 1) {
        for (std::size_t idle = 0; idle < queuesOfLarge; ++idle) {
            const std::string name = "idle" + std::to_string(idle);
            routes += "," + routeText(name, prefixOf(name));
        }
    }
    this->store.put(platform::names::configTopic, platform::names::configKey,
                    R"({"version":)" + std::to_string(next.number) + R"(,"routes":[)" + routes +
                        R"(],"services":[{"name":")" + SoakLayout::serviceName +
                        R"(","max_connections":8,"enforces_capacity":true},{"name":")" +
                        SoakLayout::otherServiceName +
                        R"(","max_connections":8,"enforces_capacity":true}]})");
    this->versions.push_back(std::move(next));
    this->publishAt = now + publishGapMs;
}

void ConfigCheck::tick(std::int64_t now)
{
    this->nowMs = now;
    const bool storeTroubled = this->store.mood != PlatformStore::Mood::Well ||
                               this->store.answersLost > 0 || this->store.appendsLate > 0;
    this->troubledMs = storeTroubled ? now : this->troubledMs;
    if (now >= this->publishAt) {
        this->publish(now);
    }
    if (now >= this->askAt) {
        this->askAt = now + askGapMs;
        this->ask(this->random() % this->layout.instances);
    }
}

std::string ConfigCheck::processOf(std::size_t instance) const
{
    std::ifstream file(this->layout.processFile(instance));
    std::string process;
    file >> process;
    return process;
}

void ConfigCheck::ask(std::size_t instance)
{
    const std::size_t known = std::min(askedQueues, this->versions.size());
    const Version &about = this->versions[this->versions.size() - 1 - this->random() % known];
    const std::string queue = "v" + std::to_string(about.number);
    const std::string process = this->processOf(instance);
    HttpCall call;
    call.step = "ask for queue";
    call.address = this->layout.clientAddress(instance);
    call.method = "GET";
    call.target = prefixOf(queue);
    call.headers["Host"] = SoakLayout::queueHost;
    call.timeout = Duration(applyMs);
    this->http.call(std::move(call), [this, instance, process, queue,
                                      sentMs = this->nowMs](const Result<HttpResponse> &result) {
        constexpr unsigned served = 200;
        constexpr unsigned noQueue = 404;
        if (result && (result->status == served || result->status == noQueue) && !process.empty() &&
            process == this->processOf(instance)) {
            this->judge(instance, process, queue, result->status, sentMs);
        }
    });
}

void ConfigCheck::judge(std::size_t instance, const std::string &process, const std::string &queue,
                        unsigned status, std::int64_t sentMs)
{
    ++this->answered;
    constexpr unsigned served = 200;
    const auto allows = [&](std::size_t index) {
        return this->versions[index].queues.contains(queue) == (status == served);
    };
    std::size_t oldest = this->versions.size();
    std::size_t newest = 0;
    for (std::size_t index = 0; index < this->versions.size(); ++index) {
        if (allows(index)) {
            oldest = std::min(oldest, index);
            newest = index;
        }
    }
    const std::string name = this->layout.instanceName(instance);
    const std::string what = name + " answers " + std::to_string(status) + " for " + queue;
    const bool superseded =
        oldest == this->versions.size() ||
        (newest + 1 < this->versions.size() && sentMs > this->versions[newest + 1].atMs + applyMs);
    const bool inTouch = this->faults.undisturbedSince(instance, sentMs - contactMs) &&
                         sentMs > this->troubledMs + contactMs;
    if (superseded && inTouch) {
        this->broken(what + ", sent at " + std::to_string(sentMs) +
                     ": an older version than has to be in force");
    }
    Shown &last = this->shown[instance];
    if (last.process != process) {
        last = Shown{process, 0, 0};
    }
    if (newest < last.version && sentMs > last.atMs + slackMs) {
        this->broken(what + ", sent at " + std::to_string(sentMs) +
                     ": an older version than it has shown");
    }
    if (oldest < this->versions.size() && oldest > last.version) {
        last.version = oldest;
        last.atMs = this->nowMs;
    }
}

} // namespace godwitfall::soak
