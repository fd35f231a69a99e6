#include "keptcallers.h"

#include <algorithm>
#include <utility>

namespace godwitfall::soak {

namespace {

constexpr std::size_t callersOfInstance = 2;
constexpr std::size_t mostCallers = 16;
constexpr std::int64_t probeGapMs = 1000; ///< From the platform.
constexpr unsigned missesUntilOut = 2;    ///< From the platform.
constexpr std::int64_t pauseMs = 40;
constexpr std::uint64_t pauseRangeMs = 260;
/** One pause in so many is long, so that requests also come on connections idle for a while. */
constexpr std::uint64_t longPauseEvery = 12;
constexpr std::int64_t longPauseMs = 2500;

} // namespace

KeptCallers::KeptCallers(boost::asio::io_context &context, const SoakLayout &layout,
                         std::uint64_t seed)
    : layout(layout)
    , random(seed)
    , http(context)
    , misses(layout.instances)
{
    const std::size_t count = std::min(mostCallers, callersOfInstance * layout.instances);
    for (std::size_t index = 0; index < count; ++index) {
        this->callers.push_back(std::make_unique<Caller>(context));
        this->callers.back()->instance = index % layout.instances;
    }
}

void KeptCallers::tick(std::int64_t now)
{
    this->nowMs = now;
    if (now < this->probesAt) {
        return;
    }
    this->probesAt = now + probeGapMs;
    for (std::size_t instance = 0; instance < this->layout.instances; ++instance) {
        this->probe(instance);
    }
}

void KeptCallers::probe(std::size_t instance)
{
    HttpCall call;
    call.step = "probe";
    call.address = this->layout.readinessAddress(instance);
    call.method = "GET";
    call.target = "/";
    call.timeout = Duration(probeGapMs);
    this->http.call(std::move(call), [this, instance](const Result<HttpResponse> &result) {
        unsigned &missed = this->misses[instance];
        missed = result && result->status == 200 ? 0 : missed + 1;
    });
}

std::size_t KeptCallers::drawInstance()
{
    std::vector<std::size_t> ready;
    for (std::size_t instance = 0; instance < this->layout.instances; ++instance) {
        if (this->misses[instance] < missesUntilOut) {
            ready.push_back(instance);
        }
    }
    // With none in rotation the platform uses all.
    return ready.empty() ? this->below(this->layout.instances) : ready[this->below(ready.size())];
}

std::vector<KeptCallers::Caller *> KeptCallers::idle(bool dueOnly)
{
    std::vector<Caller *> found;
    for (const auto &caller : this->callers) {
        if (!caller->busy && (!dueOnly || this->nowMs >= caller->nextAt)) {
            found.push_back(caller.get());
        }
    }
    return found;
}

void KeptCallers::finished(Caller &caller, const Result<HttpResponse> &result)
{
    caller.busy = false;
    const bool longPause = this->below(longPauseEvery) == 0;
    caller.nextAt =
        this->nowMs +
        (longPause ? longPauseMs : pauseMs + static_cast<std::int64_t>(this->below(pauseRangeMs)));
    const auto closes = [&] {
        const auto header = result->headers.find("connection");
        return header != result->headers.end() && header->second == "close";
    };
    if (!result || closes()) {
        caller.instance = this->drawInstance();
    }
}

} // namespace godwitfall::soak
