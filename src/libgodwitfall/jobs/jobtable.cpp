#include "jobtable.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace godwitfall {

namespace {

constexpr std::size_t keyPrefixLength = 2;

/** Maximum number of tasks of a job over all occurrences; accepted submissions have fewer. */
constexpr std::uint64_t maxTasks = 100000;

bool isWellFormed(const jobs::JobSpec &spec)
{
    std::uint64_t tasks = 0;
    for (const jobs::StepSpec &step : spec.steps()) {
        tasks += step.count();
    }
    if (tasks * std::max<std::uint64_t>(1, spec.repeat_count()) > maxTasks) {
        return false;
    }
    for (int step = 0; step < spec.steps_size(); ++step) {
        for (const std::uint32_t earlier : spec.steps(step).after()) {
            if (static_cast<int>(earlier) >= step) {
                return false;
            }
        }
    }
    return spec.steps_size() > 0;
}

/** Returns what the keys of records that follow a submission begin with, in the order in which the
 * records are applied. */
std::array<std::string, 3> laterKeys(const JobId &id)
{
    return {JobTable::progressKey(id), JobTable::cancelKey(id), JobTable::statusKey(id)};
}

/** Returns the number that the text consists of; nothing if it is none. */
std::optional<std::uint32_t> parsePart(std::string_view text)
{
    std::uint32_t part = 0;
    const char *end = text.data() + text.size();
    const auto [rest, failure] = std::from_chars(text.data(), end, part);
    return failure == std::errc() && rest == end ? std::optional(part) : std::nullopt;
}

} // namespace

JobTable::Change JobTable::apply(const JobRecord &record, Instant now, Job *&job)
{
    job = nullptr;
    if (record.key == ownerKey) {
        return this->applyOwner(record, now);
    }
    if (record.key == pressuresKey) {
        jobs::LearntPressures message;
        if (!message.ParseFromString(record.value)) {
            return Change::Malformed;
        }
        this->learned = std::move(message);
        return Change::None;
    }
    if (record.key.size() <= keyPrefixLength || record.key[1] != '/') {
        return Change::Malformed;
    }
    const std::size_t slash = record.key.find('/', keyPrefixLength);
    const JobId id(record.key.substr(keyPrefixLength, slash - keyPrefixLength));
    if (slash != std::string::npos) {
        const auto part = parsePart(std::string_view(record.key).substr(slash + 1));
        return record.key[0] == 'p' && part ? this->applyPart(id, *part, record, now, job)
                                            : Change::Malformed;
    }
    switch (record.key[0]) {
    case 'a':
        return this->applySubmission(id, record, now, job);
    case 'c':
        return this->applyCancel(id, record, job);
    case 's':
        return this->applyStatus(id, record, job);
    case 'p':
        return this->applyProgress(id, record, now, job);
    default:
        return Change::Malformed;
    }
}

JobTable::Change JobTable::applySubmission(const JobId &id, const JobRecord &record, Instant now,
                                           Job *&job)
{
    if (record.value.empty()) {
        this->erase(id);
        return Change::None;
    }
    if ((job = this->find(id))) {
        return Change::None;
    }
    jobs::JobSpec spec;
    if (!spec.ParseFromString(record.value) || !isWellFormed(spec)) {
        return Change::Malformed;
    }
    auto made = std::make_unique<Job>(id, std::move(spec));
    made->knownSince = now;
    job = made.get();
    this->jobsById.emplace(id.value(), std::move(made));
    this->recount(*job);
    for (const std::string &key : laterKeys(id)) {
        for (auto earlier = this->earlyRecords.lower_bound(key);
             earlier != this->earlyRecords.end() && earlier->first.starts_with(key);
             earlier = this->earlyRecords.erase(earlier)) {
            Job *same = nullptr;
            this->apply(earlier->second, now, same);
        }
    }
    return Change::Submitted;
}

JobTable::Change JobTable::applyCancel(const JobId &id, const JobRecord &record, Job *&job)
{
    if (record.value.empty()) {
        return Change::None;
    }
    job = this->find(id);
    if (!job) {
        this->earlyRecords[record.key] = record;
        return Change::None;
    }
    if (job->cancelled || job->closed()) {
        return Change::None;
    }
    job->cancelled = true;
    return Change::Cancelled;
}

JobTable::Change JobTable::applyStatus(const JobId &id, const JobRecord &record, Job *&job)
{
    if (record.value.empty()) {
        return Change::None;
    }
    job = this->find(id);
    if (!job) {
        this->earlyRecords[record.key] = record;
        return Change::None;
    }
    jobs::JobStatus status;
    if (!status.ParseFromString(record.value) || !jobs::JobState_IsValid(status.state())) {
        return Change::Malformed;
    }
    const bool wasFinal = job->published >= Job::State::COMPLETED;
    job->applyStatus(status);
    this->recount(*job);
    return !wasFinal && job->published >= Job::State::COMPLETED ? Change::Ended : Change::Published;
}

JobTable::Change JobTable::applyProgress(const JobId &id, const JobRecord &record, Instant now,
                                         Job *&job)
{
    if (record.value.empty()) {
        return Change::None;
    }
    job = this->find(id);
    if (!job) {
        this->earlyRecords[record.key] = record;
        return Change::None;
    }
    jobs::JobProgress progress;
    if (!progress.ParseFromString(record.value)) {
        return Change::Malformed;
    }
    if (record.offset < job->progressOffset) {
        return Change::None;
    }
    job->progressOffset = record.offset;
    job->applyProgress(progress, now);
    this->recount(*job);
    return Change::Progressed;
}

JobTable::Change JobTable::applyPart(const JobId &id, std::uint32_t part, const JobRecord &record,
                                     Instant now, Job *&job)
{
    if (record.value.empty()) {
        return Change::None;
    }
    job = this->find(id);
    if (!job) {
        this->earlyRecords[record.key] = record;
        return Change::None;
    }
    jobs::JobProgress progress;
    if (!job->inParts() || !progress.ParseFromString(record.value)) {
        return Change::Malformed;
    }
    if (job->wholeRecordOfParts && record.offset < job->progressOffset) {
        // An earlier version, which wrote the record of all tasks, did not know of this one.
        job->storedParts.insert(part);
        return Change::None;
    }
    job->applyPart(part, progress, now);
    this->recount(*job);
    return Change::Progressed;
}

JobTable::Change JobTable::applyOwner(const JobRecord &record, Instant now)
{
    jobs::Ownership message;
    if (!message.ParseFromString(record.value)) {
        return Change::Malformed;
    }
    // Of several claims of one epoch the first in the log counts.
    const bool same = message.epoch() == this->ownership.epoch &&
                      message.instance() == this->ownership.instance &&
                      message.incarnation() == this->ownership.incarnation;
    if (message.epoch() <= this->ownership.epoch && !same) {
        return Change::None;
    }
    if (!same) {
        this->ownership.since = now;
    }
    this->ownership.epoch = message.epoch();
    this->ownership.processors = message.processors();
    this->ownership.instance = message.instance();
    this->ownership.incarnation = message.incarnation();
    this->ownership.released = message.released();
    this->ownership.lastSeenAt = now;
    this->ownership.address = message.address();
    this->ownership.configVersion = message.config_version();
    this->ownership.silent.clear();
    for (const jobs::SilentWorker &silent : message.silent()) {
        this->ownership.silent[silent.worker()] = now + Duration(silent.lapses_in_ms());
    }
    return Change::Owner;
}

Job *JobTable::find(const JobId &id)
{
    const auto found = this->jobsById.find(id.value());
    return found == this->jobsById.end() ? nullptr : found->second.get();
}

std::size_t JobTable::queuedJobs(const std::string &queue) const
{
    std::size_t count = 0;
    for (const auto &[id, job] : this->jobsById) {
        const bool waits = job->published == Job::State::QUEUED && !job->cancelled;
        if (waits && job->spec().queue() == queue) {
            ++count;
        }
    }
    return count;
}

void JobTable::recount(Job &job)
{
    this->totalBytes -= job.countedBytes;
    job.countedBytes = job.estimatedBytes();
    this->totalBytes += job.countedBytes;
}

void JobTable::erase(const JobId &id)
{
    if (const Job *job = this->find(id)) {
        this->totalBytes -= job->countedBytes;
    }
    this->jobsById.erase(id.value());
    for (const std::string &key : laterKeys(id)) {
        auto early = this->earlyRecords.lower_bound(key);
        while (early != this->earlyRecords.end() && early->first.starts_with(key)) {
            early = this->earlyRecords.erase(early);
        }
    }
}

void JobTable::clear()
{
    this->jobsById.clear();
    this->totalBytes = 0;
    this->earlyRecords.clear();
    this->ownership = OwnerView();
    this->learned.Clear();
}

} // namespace godwitfall
