#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "closedcheck.h"
#include "httpclient.h"
#include "keptcallers.h"
#include "platformworker.h"
#include "simworker.h"
#include "soakjob.h"
#include "soaklayout.h"

namespace godwitfall::soak {

/**
 * Callers that submit, watch and cancel jobs at all instances and compare what they are told with
 * what workers do.
 */
class SoakClients
{
public:
    /** closed: told of each shown state; kept: callers through which half of the calls go, and
     * questions; null: none do. The seed draws what jobs require of workers. */
    SoakClients(boost::asio::io_context &context, const SoakLayout &layout, std::mt19937_64 &random,
                const jobtests::FleetLedger &ledger, ClosedCheck &closed, KeptCallers *kept,
                std::uint64_t conditionSeed);

    /** Submits new jobs and cancels old ones; the time is in ms since the run began. */
    void tick(std::int64_t now);

    /** Submits no more; from now on every instance has to show how each job ended. */
    void finish();

    /** Returns whether every job is settled. */
    bool settled() const;

    /** Says what is wrong with a start, and what its worker has to be, for workers. */
    StartVerdict judge(const TaskRef &task, const std::string &payload);

    /** Returns what was still wrong at the end, in words. */
    std::vector<std::string> faults() const;

    /** Returns the tasks that are to run until their jobs are cancelled. */
    std::vector<TaskRef> lastingTasks() const;

    /** Returns whether the tasks of a job that lasts run on different workers. */
    bool keepsApart(const TaskRef &task) const
    {
        return this->byId.at(task.job.value())->conditionsOf(task.step).mostPerWorker > 0;
    }

    std::size_t jobCount() const { return this->jobs.size(); }
    std::size_t acceptedCount() const;
    std::size_t rejections() const { return this->rejected; }
    std::size_t unknowns() const { return this->unknown; }
    std::size_t keptAnswers() const { return this->answeredOnKept; }
    /** Returns how many jobs were shown as failed. */
    std::size_t failedCount() const { return this->failedJobs.size(); }

    /** Told when a sent call was answered, or its connection broke before its time was over. */
    std::function<void(std::size_t instance, Duration waited, bool answered)> ended;

    /** Called with each broken promise that an answer shows. */
    std::function<void(const std::string &)> broken;

private:
    using Handler = std::function<void(const Result<HttpResponse> &)>;

    void submitNew();
    /** Draws the queue of the job and what its steps require of workers; of a job that lasts only
     * a bound, so that any free capacity of other workers will do. */
    void drawConditions(SoakJob &job);
    void send(SoakJob &job);
    void cancel(SoakJob &job);
    void watch(SoakJob &job);
    /** Calls the instance; or, given a kept caller, the instance that it is on. */
    void call(std::size_t instance, KeptCallers::Caller *caller, const char *method,
              const SoakJob &job, std::string body, const Handler &handler);
    void callAny(const char *method, const SoakJob &job, std::string body, const Handler &handler);
    void askOnKept();
    /** Checks the state that the instance shows. */
    void noteShown(const SoakJob &job, std::size_t instance, const Result<HttpResponse> &result);
    std::uint64_t below(std::uint64_t bound) { return this->random() % bound; }

    boost::asio::io_context &context;
    const SoakLayout layout;
    std::mt19937_64 &random;
    std::mt19937_64 conditionRandom;
    const jobtests::FleetLedger &ledger;
    ClosedCheck &closed;
    KeptCallers *const kept;
    HttpClient http;
    std::vector<std::unique_ptr<SoakJob>> jobs;
    std::map<std::string, SoakJob *> byId;
    std::map<std::string, std::set<std::size_t>> agreed; ///< Instances that show the end, by job.
    std::map<std::string, std::string> lastShown;
    std::int64_t nowMs = 0;
    std::int64_t nextAt = 0;
    std::size_t rejected = 0;
    std::size_t unknown = 0;
    std::size_t answeredOnKept = 0;
    std::set<JobId> failedJobs; ///< Shown as failed, with cause or without.
    bool finishing = false;
};

} // namespace godwitfall::soak
