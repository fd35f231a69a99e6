#pragma once

#include <memory>
#include <string>
#include <vector>

#include "random.h"
#include "worker.h"

namespace godwitfall {

/** Picks a worker for a call among those that may take it. */
class WorkerChooser
{
public:
    virtual ~WorkerChooser() = default;
    /** Returns one of the candidates, of which there is at least one. */
    virtual const Worker *choose(const std::vector<const Worker *> &candidates, Instant now) = 0;
};

/** Returns the strategy of that name, or null when there is none. */
std::unique_ptr<WorkerChooser> makeWorkerChooser(const std::string &name, Random &random);

/** Returns the names of all strategies. */
std::vector<std::string> workerChooserNames();

} // namespace godwitfall
