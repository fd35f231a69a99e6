#include "advicecache.h"

#include <utility>

namespace godwitfall {

AdviceCache::AdviceCache(OrderSender &orders)
    : orders(orders)
{}

bool AdviceCache::known(const StepRef &step, const WorkerState &worker, Instant now) const
{
    const auto said = this->words.find(step);
    if (said == this->words.end()) {
        return false;
    }
    const auto word = said->second.find(worker.entry.id.value());
    if (word == said->second.end() ||
        word->second.incarnationStartMs != worker.entry.incarnationStartMs) {
        return false;
    }
    return word->second.ticket.empty() || now + useMargin < word->second.goodUntil;
}

const std::string *AdviceCache::ticket(const StepRef &step, const WorkerState &worker,
                                       Instant now) const
{
    if (!this->known(step, worker, now)) {
        return nullptr;
    }
    const Word &word = this->words.at(step).at(worker.entry.id.value());
    return word.ticket.empty() ? nullptr : &word.ticket;
}

bool AdviceCache::ask(const StepRef &step, const std::vector<WorkerState *> &candidates,
                      const AdviceRules &rules, Instant now)
{
    if (this->asking || now < this->pausedUntil) {
        return false;
    }
    AdviceOrder order;
    order.step = step;
    this->asked.clear();
    for (const WorkerState *worker : candidates) {
        if (order.workers.size() < batch && !this->known(step, *worker, now)) {
            order.workers.push_back(worker->entry.id);
            this->asked[worker->entry.id.value()] = worker->entry.incarnationStartMs;
        }
    }
    if (order.workers.empty()) {
        return false;
    }
    order.answerTime = rules.decide + rules.each * static_cast<std::int64_t>(order.workers.size());
    this->asking = step;
    this->validity = rules.valid;
    this->askedAt = now;
    this->orders.advise(std::move(order));
    return true;
}

void AdviceCache::answered(const StepRef &step, const std::optional<Advice> &advice, Instant now)
{
    if (this->asking != step) {
        return;
    }
    this->asking.reset();
    if (!advice) {
        this->pausedUntil = now + retryGap;
        return;
    }
    auto &said = this->words[step];
    for (const auto &[worker, incarnationStartMs] : this->asked) {
        Word &word = said[worker];
        word = Word{incarnationStartMs, {}, now};
        const auto good = advice->tickets.find(worker);
        if (good != advice->tickets.end()) {
            word.ticket = good->second;
            // Counted from the question, as the service may have issued it at any time since.
            word.goodUntil =
                this->askedAt + (advice->valid > Duration(0) ? advice->valid : this->validity);
        }
    }
}

void AdviceCache::refused(const StepRef &step, const WorkerId &worker)
{
    const auto said = this->words.find(step);
    if (said != this->words.end()) {
        said->second.erase(worker.value());
    }
}

void AdviceCache::remove(const JobId &job)
{
    for (auto at = this->words.lower_bound(StepRef{job, 0, 0});
         at != this->words.end() && at->first.job == job;) {
        at = this->words.erase(at);
    }
}

void AdviceCache::clear()
{
    this->words.clear();
    this->asked.clear();
    this->asking.reset();
}

} // namespace godwitfall
