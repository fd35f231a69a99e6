#include "soakjob.h"

#include <cstdio>

#include "soaklayout.h"

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

std::string SoakJob::path() const
{
    return (this->inOtherQueue ? SoakLayout::otherQueuePrefix : SoakLayout::queuePrefix) +
           this->id.value();
}

jobtests::RouteConditions SoakJob::conditionsOf(std::uint32_t step) const
{
    const SoakStep &spec = this->steps.at(step);
    return {ServiceId(this->inOtherQueue ? SoakLayout::otherServiceName : SoakLayout::serviceName),
            spec.label, spec.mostPerWorker};
}

std::string SoakJob::body(bool tellsConditions) const
{
    std::string stepList;
    for (const SoakStep &step : this->steps) {
        std::string earlier;
        for (const std::uint32_t number : step.after) {
            earlier += (earlier.empty() ? "" : ",") + std::to_string(number);
        }
        stepList += (stepList.empty() ? R"({"count":)" : R"(,{"count":)") +
                    std::to_string(step.count) + R"(,"cpu":)" + std::to_string(milliCoresOfTask) +
                    R"(,"mem_mb":)" + std::to_string(memoryOfTask) + R"(,"estimated_ms":)" +
                    std::to_string(behaviourOf(this->payload, 1).workMs) +
                    (step.lasts ? R"(,"long_running":true)" : "") + R"(,"after":[)" + earlier + "]";
        if (tellsConditions && !step.label.empty()) {
            stepList += R"(,"requirements":")" + step.label + '"';
        }
        if (tellsConditions && step.mostPerWorker > 0) {
            stepList += R"(,"anti_affinity":)" + std::to_string(step.mostPerWorker);
        }
        stepList += '}';
    }
    return R"({"spec":")" + this->payload + R"(","steps":[)" + stepList + "]}";
}

} // namespace godwitfall::soak
