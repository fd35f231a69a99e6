#pragma once

#include <cstdio>
#include <map>
#include <utility>

#include "coordinatorfixture.h"

namespace godwitfall::jobtests {

inline const WorkerId lostWorker("w1");
/** Time after its last run within which a long-running task has to run again, if a worker can take
 * it; set by the platform. */
constexpr std::int64_t longestDelayMs = 9000;
/** Time after which an order that gets no reply counts as unanswered. */
constexpr std::int64_t orderTimeoutMs = 600;

/** A job of one step with one task that reserves one core. */
inline jobs::JobSpec oneTask(bool longRunning)
{
    jobs::JobSpec spec;
    spec.set_queue("plan");
    spec.set_service("orchard");
    *spec.add_steps() = stepOf(1, 60000);
    spec.mutable_steps(0)->set_long_running(longRunning);
    return spec;
}

/** A coordinator whose jobs and workers a test sets up; time is in ms. */
class CoordinatorWorld
{
public:
    explicit CoordinatorWorld(const WorkerBounds &bounds = WorkerBounds())
        : coordinator(this->table, bounds, this->orders, this->host)
    {}

    /** Adds a job as its submission record; returns its id. */
    JobId submit(const jobs::JobSpec &spec, std::int64_t at)
    {
        char text[17];
        std::snprintf(text, sizeof text, "%016x", ++this->submitted);
        const JobId id(text);
        Job *job = nullptr;
        this->table.apply(
            record(JobTable::submissionKey(id), spec.SerializeAsString(), ++this->offset),
            Instant(at), job);
        if (this->coordinator.active()) {
            this->coordinator.jobSubmitted(*job);
        }
        return id;
    }

    /** Adds the record of a former coordinator that has placed the job's task on the worker. */
    void placedBefore(const JobId &id, const WorkerId &worker, bool confirmed, std::int64_t at,
                      std::int64_t placedMs = 0, std::uint64_t epoch = 0,
                      std::int64_t startedMs = 0)
    {
        jobs::JobProgress progress;
        progress.set_state(jobs::RUNNING);
        jobs::StepProgress &step = *progress.add_steps();
        step.add_runs(1);
        step.add_placed()->set_worker(worker.value());
        step.mutable_placed(0)->set_confirmed(confirmed);
        step.mutable_placed(0)->set_placed_ms(placedMs);
        step.mutable_placed(0)->set_epoch(epoch);
        step.mutable_placed(0)->set_worker_born_ms(startedMs);
        Job *job = nullptr;
        this->table.apply(
            record(JobTable::progressKey(id), progress.SerializeAsString(), ++this->offset),
            Instant(at), job);
    }

    /** Reports that the worker runs what is placed there, or nothing. */
    void reply(const WorkerId &worker, std::int64_t at, std::int64_t clockMs,
               const std::vector<TaskRef> &running = {}, std::int64_t startedMs = 0)
    {
        WorkerReport report;
        report.clockMs = clockMs;
        report.incarnationStartMs = startedMs;
        for (const TaskRef &task : running) {
            // Progresses with every report.
            const auto percent = static_cast<std::uint32_t>(clockMs / 100 % 100);
            report.running.push_back(RunningTask{task, this->task(task.job).run, {}, percent, 0});
        }
        this->coordinator.holdAnswered(worker, Instant(at), Instant(at), OrderOutcome::Accepted,
                                       report);
    }

    /** Plans and makes the batch durable at once. */
    void commit(std::int64_t at)
    {
        this->coordinator.plan(Instant(at), at);
        this->coordinator.takeBatch();
        this->coordinator.committed(Instant(at), true);
    }

    void tick(std::int64_t at) { this->coordinator.tick(Instant(at), at, true); }

    /** Advances to the time; no worker replies to any order. */
    void runWithoutReplies(std::int64_t from, std::int64_t to)
    {
        for (std::int64_t at = from; at <= to; at += 10) {
            this->tick(at);
            this->commit(at);
            for (StartOrder &order : std::exchange(this->orders.starts, {})) {
                this->sentStarts.emplace(at + orderTimeoutMs, std::move(order));
            }
            for (const HoldOrder &order : std::exchange(this->orders.holds, {})) {
                this->coordinator.holdAnswered(order.target.worker, Instant(at), Instant(at),
                                               OrderOutcome::Unanswered, {});
            }
            while (!this->sentStarts.empty() && this->sentStarts.begin()->first <= at) {
                const StartOrder order = std::move(this->sentStarts.begin()->second);
                this->sentStarts.erase(this->sentStarts.begin());
                this->coordinator.startAnswered(order.target.worker, order.task, order.run,
                                                Instant(at), OrderOutcome::Unanswered);
            }
        }
    }

    Task &task(const JobId &id) { return *this->table.find(id)->task(TaskRef{id, 0, 0, 0}); }

    JobTable table;
    OrderRecorder orders;
    RecordingHost host;
    Coordinator coordinator;

    /** Writes the next batch into the table, as a successor would read it. */
    void commitToTable(std::int64_t at)
    {
        this->coordinator.plan(Instant(at), at);
        this->written = this->coordinator.takeBatch();
        this->coordinator.committed(Instant(at), true);
    }

    std::vector<JobRecord> written;
    std::uint64_t offset = 0;
    unsigned submitted = 0;

private:
    /** Starts without a reply so far, by the time at which they count as unanswered. */
    std::multimap<std::int64_t, StartOrder> sentStarts;
};

} // namespace godwitfall::jobtests
