#include "soakjob.h"

#include <cstdio>

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace godwitfall::soak {

namespace {

constexpr std::uint32_t milliCoresOfTask = 1000;
constexpr std::uint32_t memoryOfTask = 100;

} // namespace

TaskBehaviour behaviourOf(const std::string &payload, std::uint32_t run)
{
    unsigned workMs = 0;
    unsigned failing = 0;
    std::sscanf(payload.c_str(), "ms=%u fails=%u", &workMs, &failing);
    return TaskBehaviour{workMs, run <= failing};
}

std::string SoakJob::body() const
{
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.StartObject();
    writer.Key("spec");
    writer.String(this->payload.c_str());
    writer.Key("steps");
    writer.StartArray();
    for (const SoakStep &step : this->steps) {
        writer.StartObject();
        const auto number = [&](const char *name, std::uint32_t value) {
            writer.Key(name);
            writer.Uint(value);
        };
        number("count", step.count);
        number("cpu", milliCoresOfTask);
        number("mem_mb", memoryOfTask);
        number("estimated_ms", behaviourOf(this->payload, 1).workMs);
        if (step.lasts) {
            writer.Key("long_running");
            writer.Bool(true);
        }
        writer.Key("after");
        writer.StartArray();
        for (const std::uint32_t earlier : step.after) {
            writer.Uint(earlier);
        }
        writer.EndArray();
        writer.EndObject();
    }
    writer.EndArray();
    writer.EndObject();
    return buffer.GetString();
}

} // namespace godwitfall::soak
