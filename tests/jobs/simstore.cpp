#include "simstore.h"

namespace godwitfall::jobtests {

AppendReply SimStore::append(const std::vector<JobRecord> &batch, const AppendIdentity &identity,
                             std::optional<std::uint64_t> at)
{
    AppendReply reply;
    std::size_t bytes = 0;
    bool tooLarge = false;
    for (const JobRecord &record : batch) {
        bytes += storedBytes(record);
        tooLarge = tooLarge || storedBytes(record) > this->limits.recordBytes;
    }
    if (tooLarge || bytes > this->limits.callBytes) {
        reply.outcome = AppendOutcome::Rejected;
        return reply;
    }
    Producer &producer = this->producers[identity.producer];
    if (identity.epoch < producer.epoch && this->fences) {
        reply.outcome = AppendOutcome::Fenced;
        return reply;
    }
    if (identity.epoch == producer.epoch) {
        const auto repeated = producer.replies.find(identity.sequence);
        if (repeated != producer.replies.end()) {
            return repeated->second;
        }
        if (identity.sequence != producer.sequence + 1) {
            reply.outcome = AppendOutcome::OutOfOrder;
            reply.expectedSequence = producer.sequence + 1;
            return reply;
        }
    }
    if (at && *at != this->records.size()) {
        reply.outcome = AppendOutcome::EndMoved;
        return reply;
    }
    if (identity.epoch != producer.epoch) {
        producer = Producer();
        producer.epoch = identity.epoch;
    }
    this->bytesWritten += bytes;
    reply.outcome = AppendOutcome::Stored;
    reply.offset = this->records.size();
    for (JobRecord record : batch) {
        record.offset = this->records.size();
        this->records.push_back(std::move(record));
    }
    producer.sequence = identity.sequence;
    producer.replies[identity.sequence] = reply;
    constexpr std::size_t maxReplies = 5;
    if (producer.replies.size() > maxReplies) {
        producer.replies.erase(producer.replies.begin());
    }
    return reply;
}

std::vector<JobRecord> SimStore::newest() const
{
    std::map<std::string, JobRecord> byKey;
    for (const JobRecord &record : this->records) {
        byKey[record.key] = record;
    }
    std::vector<JobRecord> result;
    for (auto &[key, record] : byKey) {
        if (!record.value.empty()) {
            result.push_back(std::move(record));
        }
    }
    return result;
}

} // namespace godwitfall::jobtests
