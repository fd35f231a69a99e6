#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "job.h"

namespace godwitfall {

/** One record of the job log; an empty value removes the key. */
struct JobRecord
{
    std::string key;
    std::string value;
    std::uint64_t offset = 0;
};

/** Workers that do not reply to the coordinator, which sends them no orders with a lease end, and
 * when all leases on them have lapsed. */
using SilentWorkers = std::map<std::string, Instant>;

/** The coordinator according to the job log. */
struct OwnerView
{
    std::uint64_t epoch = 0;
    std::string instance;
    std::uint64_t incarnation = 0;
    bool released = false;
    Instant lastSeenAt;              ///< When a record of the epoch was last read.
    std::string address;             ///< Where other instances reach the owner.
    double processors = 0.0;         ///< That it may use, in cores; 0: not reported.
    Instant since;                   ///< When its epoch was first read.
    std::uint64_t configVersion = 0; ///< Of the configuration that it goes by.
    SilentWorkers silent;            ///< As of its newest record.
};

/**
 * All jobs according to the job log: the state that every instance keeps.
 *
 * Records may be applied in any order of keys, and repeatedly: the first submission of an id
 * counts, and the progress with the newest offset.
 */
class JobTable
{
public:
    /** What a record changed. */
    enum class Change {
        None,
        Submitted,
        Cancelled,
        Progressed,
        Published,
        Ended, ///< The same with the first final state.
        Owner,
        Malformed,
    };

    /** Applies a record; job is set to the one it belongs to, or null. */
    Change apply(const JobRecord &record, Instant now, Job *&job);

    Job *find(const JobId &id);
    const OwnerView &owner() const { return this->ownership; }

    /** Returns the newest record of learned image pressures. */
    const jobs::LearntPressures &pressures() const { return this->learned; }

    /** Returns the number of jobs of the queue that are published as queued, of which no task has
     * started as far as it is known, and not cancelled. */
    std::size_t queuedJobs(const std::string &queue) const;

    std::unordered_map<std::string, std::unique_ptr<Job>> &all() { return this->jobsById; }
    const std::unordered_map<std::string, std::unique_ptr<Job>> &all() const
    {
        return this->jobsById;
    }

    /** Returns the estimated memory of all jobs, in bytes. */
    std::size_t estimatedBytes() const { return this->totalBytes; }

    /** Counts the job's memory anew, after its tasks were dropped. */
    void recount(Job &job);

    /** Removes the job and the records kept for it. */
    void erase(const JobId &id);

    /** Removes everything, as before the first record. */
    void clear();

    static std::string submissionKey(const JobId &id) { return "a/" + id.value(); }
    static std::string cancelKey(const JobId &id) { return "c/" + id.value(); }
    static std::string statusKey(const JobId &id) { return "s/" + id.value(); }
    static std::string progressKey(const JobId &id) { return "p/" + id.value(); }
    static std::string partKey(const JobId &id, std::uint32_t part)
    {
        return progressKey(id) + "/" + std::to_string(part);
    }
    static constexpr const char *ownerKey = "owner";
    static constexpr const char *pressuresKey = "pressures";

private:
    Change applySubmission(const JobId &id, const JobRecord &record, Instant now, Job *&job);
    Change applyCancel(const JobId &id, const JobRecord &record, Job *&job);
    Change applyStatus(const JobId &id, const JobRecord &record, Job *&job);
    Change applyProgress(const JobId &id, const JobRecord &record, Instant now, Job *&job);
    Change applyPart(const JobId &id, std::uint32_t part, const JobRecord &record, Instant now,
                     Job *&job);
    Change applyOwner(const JobRecord &record, Instant now);

    std::unordered_map<std::string, std::unique_ptr<Job>> jobsById;
    std::size_t totalBytes = 0; ///< Sum of Job::countedBytes.
    /** Records that were read before the submission they belong to, by key; so the record of a job
     * as a whole comes before those of its parts. */
    std::map<std::string, JobRecord> earlyRecords;
    OwnerView ownership;
    jobs::LearntPressures learned;
};

} // namespace godwitfall
