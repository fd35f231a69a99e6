#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "job.h"

namespace godwitfall {

/** One record of the job log; an empty value drops the key. */
struct JobRecord
{
    std::string key;
    std::string value;
    std::uint64_t offset = 0;
};

/** Who coordinates, as the job log says. */
struct OwnerView
{
    std::uint64_t epoch = 0;
    std::string instance;
    std::uint64_t incarnation = 0;
    bool released = false;
    Instant lastSeenAt;      ///< When a record of the epoch was last read.
    std::string address;     ///< Where other instances reach the owner.
    double processors = 0.0; ///< That it may use, as a share of one core; 0: not told.
    Instant since;           ///< When its epoch was first read.
};

/**
 * All jobs as the job log says: the state that every instance keeps.
 *
 * Records are applied in any order of keys, and again, without harm: the first submission of an id
 * counts, of progress the newest offset.
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
        Told,
        Owner,
        Malformed,
    };

    /** Applies a record; job is set to the one it is about, if any. */
    Change apply(const JobRecord &record, Instant now, Job *&job);

    Job *find(const JobId &id);
    const OwnerView &owner() const { return this->ownership; }

    /** Returns what the newest coordinator that wrote it had learnt of images. */
    const jobs::LearntPressures &pressures() const { return this->learnt; }

    /** Returns the number of open jobs of the queue of which no task was placed. */
    std::size_t waiting(const std::string &queue) const;

    std::unordered_map<std::string, std::unique_ptr<Job>> &all() { return this->jobsById; }
    const std::unordered_map<std::string, std::unique_ptr<Job>> &all() const
    {
        return this->jobsById;
    }

    /** Forgets the job. */
    void erase(const JobId &id);

    /** Forgets everything, as before the first record. */
    void clear();

    static std::string submissionKey(const JobId &id) { return "a/" + id.value(); }
    static std::string cancelKey(const JobId &id) { return "c/" + id.value(); }
    static std::string statusKey(const JobId &id) { return "s/" + id.value(); }
    static std::string progressKey(const JobId &id) { return "p/" + id.value(); }
    static constexpr const char *ownerKey = "owner";
    static constexpr const char *pressuresKey = "pressures";

private:
    Change applySubmission(const JobId &id, const JobRecord &record, Instant now, Job *&job);
    Change applyCancel(const JobId &id, const JobRecord &record, Job *&job);
    Change applyStatus(const JobId &id, const JobRecord &record, Job *&job);
    Change applyProgress(const JobId &id, const JobRecord &record, Instant now, Job *&job);
    Change applyOwner(const JobRecord &record, Instant now);

    std::unordered_map<std::string, std::unique_ptr<Job>> jobsById;
    /** Records read before the submission they belong to. */
    std::unordered_map<std::string, JobRecord> early; ///< By key.
    OwnerView ownership;
    jobs::LearntPressures learnt;
};

} // namespace godwitfall
