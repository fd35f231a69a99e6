#include "intentregistry.h"

namespace godwitfall {

namespace {

/** Number of intents kept; a duplicate of an older request is not recognised. */
constexpr std::size_t intentLimit = 100000;

} // namespace

Decision IntentRegistry::open(const wire::Record &record, Offset offset)
{
    const wire::OpenIntent &body = record.open_intent();
    const auto found = this->intents.find(body.request());
    if (found != this->intents.end()) {
        const wire::IntentRecord &earlier = found->second;
        if (earlier.state() == wire::ANSWERED) {
            return Decision::refuse("already ran and was answered", earlier.instance());
        }
        if (earlier.state() == wire::OPEN) {
            return Decision::refuse("was sent before; its outcome is not known",
                                    earlier.instance());
        }
        this->byOffset.erase({earlier.offset(), body.request()});
    }
    wire::IntentRecord &intent = this->intents[body.request()];
    intent.set_request(body.request());
    intent.set_instance(body.instance());
    intent.set_worker(body.worker());
    intent.set_state(wire::OPEN);
    intent.set_offset(offset.value());
    this->byOffset.insert({offset.value(), body.request()});
    this->dropOldest();
    return Decision::accept();
}

Decision IntentRegistry::close(const wire::Record &record, Offset)
{
    const wire::CloseIntent &body = record.close_intent();
    const auto found = this->intents.find(body.request());
    if (found == this->intents.end() || found->second.offset() != body.intent_offset() ||
        found->second.state() != wire::OPEN) {
        return Decision::refuse("no such open intent");
    }
    found->second.set_state(body.state());
    return Decision::accept();
}

void IntentRegistry::dropOldest()
{
    while (this->byOffset.size() > intentLimit) {
        this->intents.erase(this->byOffset.begin()->second);
        this->byOffset.erase(this->byOffset.begin());
    }
}

const wire::IntentRecord *IntentRegistry::find(const std::string &request) const
{
    const auto found = this->intents.find(request);
    return found == this->intents.end() ? nullptr : &found->second;
}

void IntentRegistry::save(wire::Snapshot &snapshot) const
{
    for (const auto &[request, intent] : this->intents) {
        *snapshot.add_intents() = intent;
    }
}

void IntentRegistry::load(const wire::Snapshot &snapshot)
{
    this->intents.clear();
    this->byOffset.clear();
    for (const wire::IntentRecord &intent : snapshot.intents()) {
        this->intents[intent.request()] = intent;
        this->byOffset.insert({intent.offset(), intent.request()});
    }
}

} // namespace godwitfall
