#pragma once

#include <mutex>
#include <shared_mutex>
#include <utility>

namespace godwitfall {

/**
 * A table that can be accessed only under its lock.
 *
 * Lock order of the library, outermost first: RequestRouter, TaskScheduler, WorkerLeaseManager,
 * WorkerTable, LogFollower, LogWriter, Membership, ClusterState. A thread that holds one of these
 * locks acquires only later ones.
 */
template <class Table>
class Guarded
{
public:
    template <class... Arguments>
    explicit Guarded(Arguments &&...arguments)
        : table(std::forward<Arguments>(arguments)...)
    {}

    /** Calls the function with the table under a shared lock and returns its result. */
    template <class Function>
    auto read(Function &&function) const
    {
        std::shared_lock lock(this->mutex);
        return function(this->table);
    }

    /** Calls the function with the table under an exclusive lock and returns its result. */
    template <class Function>
    auto write(Function &&function)
    {
        std::unique_lock lock(this->mutex);
        return function(this->table);
    }

private:
    mutable std::shared_mutex mutex;
    Table table;
};

} // namespace godwitfall
