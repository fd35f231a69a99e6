#pragma once

#include <algorithm>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "coordinatorworld.h"

namespace godwitfall::jobtests {

/** Two tasks, of which one may run on a worker, and a former coordinator's record of the first. */
class BoundedStepTest : public testing::Test
{
protected:
    /** Takes over after so many runs of the first task, which may be done. */
    void begin(std::uint32_t runs, bool done, std::uint32_t mostPerWorker = 1)
    {
        jobs::JobSpec spec = oneTask(false);
        spec.mutable_steps(0)->set_count(2);
        spec.mutable_steps(0)->set_max_per_worker(mostPerWorker);
        spec.mutable_steps(0)->set_required_label("a");
        this->job = this->world.submit(spec, 1000);
        jobs::JobProgress progress;
        progress.set_state(jobs::RUNNING);
        progress.add_steps()->add_runs(runs);
        progress.mutable_steps(0)->add_runs(0);
        progress.mutable_steps(0)->set_done(done ? std::string(1, '\x01') : std::string());
        Job *found = nullptr;
        this->world.table.apply(record(JobTable::progressKey(this->job),
                                       progress.SerializeAsString(), ++this->world.offset),
                                Instant(1000), found);
        this->world.coordinator.begin(2, Instant(1000), 1000, Instant(1000));
    }

    void list(const WorkerId &worker, bool draining, std::int64_t at)
    {
        WorkerEntry entry = entryOf(worker.value());
        entry.draining = draining;
        entry.capacity.milliCores = this->milliCores;
        this->world.coordinator.setWorker(entry, Instant(at));
    }

    void report(const WorkerId &worker, std::int64_t at, const std::vector<RunningTask> &running,
                const std::vector<EndedTask> &ended = {})
    {
        WorkerReport report;
        report.clockMs = at;
        report.running = running;
        report.ended = ended;
        this->world.coordinator.holdAnswered(worker, Instant(at - 5), Instant(at),
                                             OrderOutcome::Accepted, report);
    }

    TaskRef ref(std::uint32_t index) const { return TaskRef{this->job, 0, 0, index}; }
    Task &task(std::uint32_t index)
    {
        return *this->world.table.find(this->job)->task(this->ref(index));
    }

    /** Returns the starts of the task since the last call. */
    std::size_t startsOf(std::uint32_t index)
    {
        std::size_t count = 0;
        for (const StartOrder &order : std::exchange(this->world.orders.starts, {})) {
            count += order.task.index == index ? 1 : 0;
        }
        return count;
    }

    /** Returns whether a stop of the first task's run was sent. */
    bool stopSent(std::uint32_t run) const
    {
        return std::any_of(
            this->world.orders.stops.begin(), this->world.orders.stops.end(),
            [&](const StopOrder &order) { return order.task == this->ref(0) && order.run == run; });
    }

    void answerStart(std::uint32_t index, std::int64_t at, OrderOutcome outcome)
    {
        this->world.coordinator.startAnswered(this->worker, this->ref(index), this->task(index).run,
                                              Instant(at), outcome);
    }

    const WorkerId worker{"w1"};
    const WorkerId formerWorker{"w2"};
    std::int64_t milliCores = 64000; ///< Of each worker.
    JobId job{"0"};
    CoordinatorWorld world;
};

} // namespace godwitfall::jobtests
