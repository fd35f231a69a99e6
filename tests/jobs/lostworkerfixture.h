#pragma once

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "coordinatorworld.h"

namespace godwitfall::jobtests {

/** Starts of a task that crashes its workers: three, and two after the third crash. */
constexpr unsigned mostStarts = 5;

/** A coordinator with one job of one task, and workers that are lost under it. Time is in ms. */
class LostWorkerTest : public ::testing::Test
{
protected:
    static constexpr std::int64_t beginMs = 1000000;

    void submit(bool longRunning)
    {
        this->lasts = longRunning;
        this->world.coordinator.begin(1, Instant(beginMs), beginMs, Instant(beginMs));
        this->job = this->world.submit(oneTask(longRunning), beginMs);
    }

    TaskRef ref() const { return TaskRef{this->job, 0, 0, 0}; }
    const Job &found() { return *this->world.table.find(this->job); }
    jobs::JobState state() { return this->found().state; }
    const std::vector<CrashedRun> &crashes() { return this->found().crashesOf(this->ref()); }

    const Task *task()
    {
        const StepRun *run = this->found().findStepRun(0, 0);
        return run ? &run->tasks.front() : nullptr;
    }
    bool isPlaced() { return this->task() && !this->task()->worker.empty(); }
    std::uint32_t run() { return this->task() ? this->task()->run : 0; }

    std::string evidence()
    {
        std::string text;
        for (const CrashedRun &crash : this->crashes()) {
            text += jobs::CrashEvidence_Name(crash.evidence) + " ";
        }
        return text;
    }

    WorkerId addWorker()
    {
        const WorkerId worker("w" + std::to_string(++this->workers));
        this->world.coordinator.setWorker(entryOf(worker.value()), Instant(this->now));
        this->reply(worker);
        return worker;
    }

    void reply(const WorkerId &worker, const std::vector<TaskRef> &running = {})
    {
        this->world.reply(worker, this->now, this->now - beginMs + 500,
                          this->isPlaced() ? running : std::vector<TaskRef>());
    }

    void advance(std::int64_t milliseconds)
    {
        for (const std::int64_t until = this->now + milliseconds; this->now < until;) {
            this->now += 10;
            this->world.tick(this->now);
            this->world.commitToTable(this->now);
            if (!this->world.written.empty()) {
                this->recorded = this->world.written;
            }
        }
    }

    bool awaitStart(const WorkerId &worker, std::int64_t longestMs)
    {
        for (const std::int64_t until = this->now + longestMs; this->now < until;) {
            this->reply(worker);
            this->advance(50);
            if (!this->world.orders.starts.empty()) {
                ++this->starts;
                return true;
            }
        }
        return false;
    }

    void answerStart(const WorkerId &worker, OrderOutcome outcome)
    {
        this->world.orders.starts.clear();
        this->world.coordinator.startAnswered(worker, this->ref(), this->run(), Instant(this->now),
                                              outcome);
    }

    void answerOther(const WorkerId &worker)
    {
        this->world.coordinator.removeWorker(worker, Instant(this->now));
        this->world.coordinator.holdAnswered(worker, Instant(this->now), Instant(this->now),
                                             OrderOutcome::OtherIncarnation, {});
        this->world.orders.starts.clear();
    }

    /** The worker closes its connections, and refuses the next call, as a process does that has
     * crashed. */
    void endConnections(const WorkerId &worker, std::int64_t incarnationStartMs = 0)
    {
        this->world.coordinator.connectionClosed(worker, Instant(this->now), incarnationStartMs);
        this->advance(Coordinator::unresponsiveHoldGap.count());
        this->world.coordinator.connectionClosed(worker, Instant(this->now), incarnationStartMs);
    }

    /** A worker takes the start, is seen at work, and is cut off and replaced. */
    bool loseUnseen(std::int64_t longestMs = 1000)
    {
        const WorkerId worker = this->addWorker();
        if (!this->awaitStart(worker, longestMs)) {
            this->world.coordinator.removeWorker(worker, Instant(this->now));
            return false;
        }
        this->answerStart(worker, OrderOutcome::Accepted);
        this->advance(500);
        this->reply(worker, {this->ref()});
        this->advance(1400);
        this->answerOther(worker);
        return true;
    }

    /** Another coordinator reads the newest record and takes over. */
    void takeOver(std::uint64_t epoch)
    {
        Job *job = nullptr;
        for (const JobRecord &written : this->recorded) {
            this->world.table.apply(record(written.key, written.value, ++this->world.offset),
                                    Instant(this->now), job);
        }
        this->world.orders.starts.clear();
        this->world.coordinator.begin(epoch, Instant(this->now), this->now,
                                      Instant(this->now + 6700));
    }

    CoordinatorWorld world;
    JobId job{""};
    std::vector<JobRecord> recorded;
    std::int64_t now = beginMs;
    bool lasts = false;
    unsigned workers = 0;
    unsigned starts = 0;
};

} // namespace godwitfall::jobtests
