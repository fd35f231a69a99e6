#pragma once

#include <map>
#include <set>
#include <string>

#include "decision.h"
#include "godwitfall.pb.h"

namespace godwitfall {

/**
 * The intents to execute requests that must run at most once.
 *
 * The first intent for a request in log order wins; only its author may send the request to a
 * worker. Only the author releases an intent, and only if the request certainly did not run.
 */
class IntentRegistry
{
public:
    Decision open(const wire::Record &record, Offset offset);
    Decision close(const wire::Record &record, Offset offset);

    /** Returns the intent for the request, or null; valid until the next change. */
    const wire::IntentRecord *find(const std::string &request) const;
    std::size_t size() const { return this->intents.size(); }

    void save(wire::Snapshot &snapshot) const;
    void load(const wire::Snapshot &snapshot);

private:
    void dropOldest();

    std::map<std::string, wire::IntentRecord> intents;
    std::set<std::pair<std::uint64_t, std::string>> byOffset;
};

} // namespace godwitfall
