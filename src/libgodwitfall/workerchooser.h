#pragma once

#include <memory>
#include <string>
#include <vector>

#include "random.h"
#include "worker.h"

namespace godwitfall {

/** Strategy that selects a worker for a call among those that can take it. */
class WorkerChooser
{
public:
    virtual ~WorkerChooser() = default;
    /** Returns one of the candidates; the list must not be empty. */
    virtual const Worker *choose(const std::vector<const Worker *> &candidates, Instant now) = 0;
};

/** Returns a new strategy of the given name, or null if the name is unknown. */
std::unique_ptr<WorkerChooser> makeWorkerChooser(const std::string &name, Random &random);

/** Returns the names of all strategies. */
std::vector<std::string> workerChooserNames();

} // namespace godwitfall
