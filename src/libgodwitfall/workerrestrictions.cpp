#include "workerrestrictions.h"

namespace godwitfall {

Decision WorkerRestrictions::drain(const wire::Record &record, Offset offset)
{
    const wire::DrainWorker &body = record.drain();
    wire::WorkerMark &mark = this->restrictions[body.worker()];
    mark.set_worker(body.worker());
    const bool drained = mark.drain_offset() != 0;
    if (drained == body.drain()) {
        const std::string author = mark.author();
        this->dropIfClear(body.worker());
        return Decision::refuse(
            body.worker() + (drained ? " is already drained" : " is not drained"), author);
    }
    mark.set_drain_offset(body.drain() ? offset.value() : 0);
    mark.set_author(record.author());
    this->dropIfClear(body.worker());
    return Decision::accept();
}

Decision WorkerRestrictions::fence(const wire::Record &record, Offset offset)
{
    wire::WorkerMark &mark = this->restrictions[record.fence().worker()];
    mark.set_worker(record.fence().worker());
    if (mark.fence_offset() != 0) {
        return Decision::refuse(record.fence().worker() + " is already fenced");
    }
    mark.set_fence_offset(offset.value());
    return Decision::accept();
}

Decision WorkerRestrictions::unfence(const wire::Record &record, Offset)
{
    const wire::UnfenceWorker &body = record.unfence();
    const auto found = this->restrictions.find(body.worker());
    if (found == this->restrictions.end() || found->second.fence_offset() != body.fence_offset()) {
        return Decision::refuse(body.worker() + " has no such fence");
    }
    found->second.set_fence_offset(0);
    this->dropIfClear(body.worker());
    return Decision::accept();
}

std::optional<std::string>
WorkerRestrictions::objectionToLapse(const wire::LapseWorker &lapse) const
{
    if (lapse.fence_offset() == 0 || this->fence(lapse.worker()).value() != lapse.fence_offset()) {
        return lapse.worker() + " has no such fence";
    }
    return std::nullopt;
}

std::optional<std::string> WorkerRestrictions::objectionTo(const std::string &worker) const
{
    const auto found = this->restrictions.find(worker);
    if (found == this->restrictions.end()) {
        return std::nullopt;
    }
    if (found->second.drain_offset() != 0) {
        return worker + " is drained by " + found->second.author();
    }
    if (found->second.fence_offset() != 0) {
        return worker + " is fenced after long silence";
    }
    return std::nullopt;
}

bool WorkerRestrictions::drained(const std::string &worker) const
{
    const auto found = this->restrictions.find(worker);
    return found != this->restrictions.end() && found->second.drain_offset() != 0;
}

Offset WorkerRestrictions::fence(const std::string &worker) const
{
    const auto found = this->restrictions.find(worker);
    return Offset(found == this->restrictions.end() ? 0 : found->second.fence_offset());
}

void WorkerRestrictions::dropIfClear(const std::string &worker)
{
    const auto found = this->restrictions.find(worker);
    if (found != this->restrictions.end() && found->second.drain_offset() == 0 &&
        found->second.fence_offset() == 0) {
        this->restrictions.erase(found);
    }
}

void WorkerRestrictions::save(wire::Snapshot &snapshot) const
{
    for (const auto &[worker, mark] : this->restrictions) {
        *snapshot.add_marks() = mark;
    }
}

void WorkerRestrictions::load(const wire::Snapshot &snapshot)
{
    this->restrictions.clear();
    for (const wire::WorkerMark &mark : snapshot.marks()) {
        this->restrictions[mark.worker()] = mark;
    }
}

} // namespace godwitfall
