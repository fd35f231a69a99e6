#include "calltraffic.h"

#include <algorithm>
#include <utility>

#include "metrics.h"

namespace godwitfall {

void CallTraffic::countCall(const std::string &kind, std::size_t bytes)
{
    for (CallFigures *figures : {&this->totals[kind], &this->recent[kind]}) {
        ++figures->calls;
        figures->sentBytes += bytes;
    }
}

void CallTraffic::countResponse(const std::string &kind, std::size_t bytes, Duration delay)
{
    for (CallFigures *figures : {&this->totals[kind], &this->recent[kind]}) {
        figures->receivedBytes += bytes;
        figures->longestDelay = std::max(figures->longestDelay, delay);
    }
}

void CallTraffic::countTimeout(const std::string &kind, std::size_t bytes)
{
    for (CallFigures *figures : {&this->totals[kind], &this->recent[kind]}) {
        figures->receivedBytes += bytes;
        ++figures->timedOut;
    }
}

std::map<std::string, CallFigures> CallTraffic::takeRecent()
{
    return std::exchange(this->recent, {});
}

std::string CallTraffic::metricLines() const
{
    std::string lines;
    for (const auto &[kind, figures] : this->totals) {
        const std::string call = "call=\"" + kind + "\"";
        const auto line = [&](const char *name, std::uint64_t value, const char *label = "") {
            lines += sampleLine(name, static_cast<double>(value), call + label);
        };
        line("godwitfall_calls_total", figures.calls);
        line("godwitfall_calls_timed_out_total", figures.timedOut);
        line("godwitfall_call_bytes_total", figures.sentBytes, ",direction=\"sent\"");
        line("godwitfall_call_bytes_total", figures.receivedBytes, ",direction=\"received\"");
    }
    return lines;
}

} // namespace godwitfall
