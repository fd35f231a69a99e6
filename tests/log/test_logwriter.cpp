#include "logwriter.h"

#include <gtest/gtest.h>

namespace godwitfall {
namespace {

/** Records the appended batches and ignores everything else. */
class RecordingOutbox : public Outbox
{
public:
    void sendPeer(const std::string &, const wire::PeerMessage &) override {}
    void sendWorker(const SentOrder &) override {}
    void append(Stream, const std::string &payload) override
    {
        wire::Batch batch;
        batch.ParseFromString(payload);
        this->appended.push_back(batch);
    }
    void read(Stream, Offset, std::size_t, Duration) override {}
    void fetchList(Instant) override {}
    void answer(CallerToken, const wire::CallerAnswer &) override {}
    void reply(CallerToken, const wire::CommandReply &) override {}

    std::vector<wire::Batch> appended;
};

class LogWriterTest : public testing::Test
{
protected:
    Ticket submit(const std::string &id)
    {
        wire::Record record;
        record.set_id(id);
        return this->writer.submit(record, [this](const auto &decision, Instant) {
            this->decided += decision && decision->accepted ? 1 : 0;
        });
    }

    void readBack(std::size_t index)
    {
        const wire::Batch &batch = this->outbox.appended.at(index);
        Applied applied;
        applied.decisions.resize(static_cast<std::size_t>(batch.records_size()),
                                 Decision::accept());
        for (const DueDecision &due : this->writer.onApplied(batch, applied)) {
            due.handler(due.decision, Instant());
        }
    }

    RecordingOutbox outbox;
    Random random{1};
    LogWriter writer{"w", Duration(20), this->outbox, this->random};
    int decided = 0;
};

TEST_F(LogWriterTest, PutsManyRecordsIntoOneAppend)
{
    for (int index = 0; index < 100; ++index) {
        this->submit(std::to_string(index));
    }
    this->writer.onTick(Instant(100));
    ASSERT_EQ(this->outbox.appended.size(), 1U);
    EXPECT_EQ(this->outbox.appended[0].records_size(), 100);
}

TEST_F(LogWriterTest, DecidesRecordsOnlyAfterReadBack)
{
    this->submit("a");
    this->writer.onTick(Instant(100));
    this->writer.onAppended(Offset(7), Instant(110));
    EXPECT_EQ(this->decided, 0);
    this->readBack(0);
    EXPECT_EQ(this->decided, 1);
}

TEST_F(LogWriterTest, RepeatsLostAppendWithSameSequenceNumber)
{
    this->submit("a");
    this->writer.onTick(Instant(100));
    const Error lost{Fate::Unknown, "append", "log", "no answer"};
    this->writer.onAppended(tl::unexpected(lost), Instant(110));
    this->submit("b");
    this->writer.onTick(Instant(5000));
    ASSERT_EQ(this->outbox.appended.size(), 2U);
    EXPECT_EQ(this->outbox.appended[1].SerializeAsString(),
              this->outbox.appended[0].SerializeAsString());
    this->readBack(0);
    this->readBack(1);
    EXPECT_EQ(this->decided, 1);
}

TEST_F(LogWriterTest, BacksOffRetriesDuringOutage)
{
    this->submit("a");
    Instant now(100);
    for (; now < Instant(60000); now = now + Duration(10)) {
        this->writer.onTick(now);
        const Error refused{Fate::NotDone, "append", "log", "down"};
        this->writer.onAppended(tl::unexpected(refused), now);
    }
    // The backoff doubles from 50 ms to 5 s: a few quick tries, then one every few seconds.
    EXPECT_LT(this->outbox.appended.size(), 35U);
    EXPECT_GT(this->outbox.appended.size(), 10U);
}

TEST_F(LogWriterTest, WithdrawsOnlyRecordsNeverSent)
{
    const Ticket first = this->submit("a");
    this->writer.onTick(Instant(100));
    const Ticket second = this->submit("b");
    EXPECT_FALSE(this->writer.withdraw(first));
    EXPECT_TRUE(this->writer.withdraw(second));
    EXPECT_EQ(this->writer.backlog(), 1U);
}

} // namespace
} // namespace godwitfall
