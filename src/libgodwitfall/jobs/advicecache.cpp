#include "advicecache.h"

#include <utility>

namespace godwitfall {

AdviceCache::AdviceCache(OrderSender &orders)
    : orders(orders)
{}

bool AdviceCache::known(const StepRef &step, const WorkerState &worker, Instant now) const
{
    const auto ofStep = this->adviceByStep.find(step);
    if (ofStep == this->adviceByStep.end()) {
        return false;
    }
    const auto cached = ofStep->second.find(worker.entry.id.value());
    if (cached == ofStep->second.end() ||
        cached->second.incarnationStartMs != worker.incarnationStartMs) {
        return false;
    }
    return cached->second.ticket.empty() || now + useMargin < cached->second.validUntil;
}

const std::string *AdviceCache::ticket(const StepRef &step, const WorkerState &worker,
                                       Instant now) const
{
    if (!this->known(step, worker, now)) {
        return nullptr;
    }
    const CachedAdvice &cached = this->adviceByStep.at(step).at(worker.entry.id.value());
    return cached.ticket.empty() ? nullptr : &cached.ticket;
}

bool AdviceCache::ask(const StepRef &step, const std::vector<WorkerState *> &candidates,
                      const AdviceRules &rules, Instant now)
{
    if (this->requestedStep || now < this->pausedUntil) {
        return false;
    }
    AdviceOrder order;
    order.step = step;
    this->requestedWorkers.clear();
    for (const WorkerState *worker : candidates) {
        if (order.workers.size() < maxWorkersPerRequest && !this->known(step, *worker, now)) {
            order.workers.push_back(worker->entry.id);
            this->requestedWorkers[worker->entry.id.value()] = worker->incarnationStartMs;
        }
    }
    if (order.workers.empty()) {
        return false;
    }
    order.answerTime =
        rules.decisionTime + rules.timePerWorker * static_cast<std::int64_t>(order.workers.size());
    this->requestedStep = step;
    this->validity = rules.valid;
    this->requestedAt = now;
    this->orders.advise(std::move(order));
    return true;
}

void AdviceCache::answered(const StepRef &step, const std::optional<Advice> &advice, Instant now)
{
    if (this->requestedStep != step) {
        return;
    }
    this->requestedStep.reset();
    if (!advice) {
        this->pausedUntil = now + retryGap;
        return;
    }
    auto &ofStep = this->adviceByStep[step];
    for (const auto &[worker, incarnationStartMs] : this->requestedWorkers) {
        CachedAdvice &cached = ofStep[worker];
        cached = CachedAdvice{incarnationStartMs, {}, now};
        const auto granted = advice->tickets.find(worker);
        if (granted != advice->tickets.end()) {
            cached.ticket = granted->second;
            // Counted from the request, as the service may have issued it at any time since.
            cached.validUntil =
                this->requestedAt + (advice->valid > Duration(0) ? advice->valid : this->validity);
        }
    }
}

void AdviceCache::refused(const StepRef &step, const WorkerId &worker)
{
    const auto ofStep = this->adviceByStep.find(step);
    if (ofStep != this->adviceByStep.end()) {
        ofStep->second.erase(worker.value());
    }
}

void AdviceCache::remove(const JobId &job)
{
    for (auto at = this->adviceByStep.lower_bound(StepRef{job, 0, 0});
         at != this->adviceByStep.end() && at->first.job == job;) {
        at = this->adviceByStep.erase(at);
    }
}

void AdviceCache::clear()
{
    this->adviceByStep.clear();
    this->requestedWorkers.clear();
    this->requestedStep.reset();
}

} // namespace godwitfall
