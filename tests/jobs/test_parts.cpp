// Unit tests of the job model, the coordinator and their parts.
#include <gtest/gtest.h>

#include "advicecache.h"
#include "coordinatorfixture.h"
#include "groupcommit.h"
#include "interferencemodel.h"
#include "jobsimulation.h"
#include "jobtable.h"
#include "ownerlease.h"
#include "pacepolicy.h"
#include "placementpolicy.h"

namespace godwitfall::jobtests {
namespace {

jobs::JobSpec twoSteps()
{
    jobs::JobSpec spec;
    spec.set_queue("plan");
    *spec.add_steps() = stepOf(3, 100);
    *spec.add_steps() = stepOf(1, 50, {0});
    return spec;
}

std::string statusOf(jobs::JobState state)
{
    jobs::JobStatus status;
    status.set_state(state);
    return status.SerializeAsString();
}

TEST(JobTest, RestoresProgressFromRecord)
{
    Job job(jobId, twoSteps());
    StepRun &run = job.stepRun(0, 0);
    run.tasks[0].phase = TaskPhase::Done;
    run.tasks[0].run = 4;
    run.done = 1;
    run.tasks[1].phase = TaskPhase::Running;
    run.tasks[1].run = 2;
    run.tasks[1].worker = "w1";
    run.tasks[2].failedRuns = {1};
    run.tasks[2].run = 3;
    job.state = jobs::RUNNING;

    Job other(jobId, twoSteps());
    other.applyProgress(job.toProgress(), Instant(5));
    const StepRun *back = other.findStepRun(0, 0);
    ASSERT_NE(back, nullptr);
    EXPECT_EQ(back->done, 1U);
    EXPECT_EQ(back->tasks[0].phase, TaskPhase::Done);
    EXPECT_EQ(back->tasks[0].run, 4U);
    EXPECT_EQ(back->tasks[1].phase, TaskPhase::Unconfirmed);
    EXPECT_EQ(back->tasks[1].worker, "w1");
    EXPECT_EQ(back->tasks[2].failedRuns, std::vector<std::uint32_t>{1});
    EXPECT_EQ(back->tasks[2].phase, TaskPhase::Waiting);
    EXPECT_EQ(other.state, jobs::RUNNING);
    EXPECT_EQ(other.published, jobs::QUEUED) << "published by a record of its own";
}

TEST(JobTest, CriticalPathFollowsDependencies)
{
    EXPECT_EQ(Job(jobId, twoSteps()).criticalPath(), Duration(150));
}

TEST(JobTableTest, AppliesRecordsInAnyOrder)
{
    const std::string spec = twoSteps().SerializeAsString();
    Job source(jobId, twoSteps());
    source.stepRun(0, 0).tasks[0].worker = "w1";
    source.state = jobs::RUNNING;
    const std::string progress = source.toProgress().SerializeAsString();
    std::vector<JobRecord> records = {
        record(JobTable::submissionKey(jobId), spec, 0),
        record(JobTable::progressKey(jobId), progress, 1),
        record(JobTable::cancelKey(jobId), "1", 2),
        record(JobTable::statusKey(jobId), statusOf(jobs::RUNNING), 3),
    };
    std::sort(records.begin(), records.end(),
              [](const JobRecord &left, const JobRecord &right) { return left.key < right.key; });
    do {
        JobTable table;
        Job *job = nullptr;
        for (const JobRecord &entry : records) {
            table.apply(entry, Instant(1), job);
        }
        const Job *found = table.find(jobId);
        ASSERT_NE(found, nullptr);
        EXPECT_TRUE(found->cancelled);
        EXPECT_EQ(found->published, jobs::RUNNING);
    } while (std::next_permutation(
        records.begin(), records.end(),
        [](const JobRecord &left, const JobRecord &right) { return left.key < right.key; }));
}

TEST(JobTableTest, KeepsPublishedFinalState)
{
    struct Case
    {
        const char *name;
        jobs::JobState progress;
        std::vector<jobs::JobState> statuses;
        jobs::JobState state;
        jobs::JobState published;
    };
    for (const Case &given :
         {Case{"published later", jobs::COMPLETED, {jobs::RUNNING}, jobs::COMPLETED, jobs::RUNNING},
          Case{"published first",
               jobs::RUNNING,
               {jobs::COMPLETED},
               jobs::COMPLETED,
               jobs::COMPLETED},
          Case{"published twice",
               jobs::RUNNING,
               {jobs::FAILED, jobs::RUNNING},
               jobs::FAILED,
               jobs::FAILED}}) {
        JobTable table;
        Job *job = nullptr;
        std::uint64_t offset = 0;
        const auto apply = [&](const std::string &key, const std::string &value) {
            table.apply(record(key, value, offset++), Instant(1), job);
        };
        apply(JobTable::submissionKey(jobId), twoSteps().SerializeAsString());
        for (const jobs::JobState state : given.statuses) {
            apply(JobTable::statusKey(jobId), statusOf(state));
        }
        jobs::JobProgress progress;
        progress.set_state(given.progress);
        apply(JobTable::progressKey(jobId), progress.SerializeAsString());
        EXPECT_EQ(table.find(jobId)->state, given.state) << given.name;
        EXPECT_EQ(table.find(jobId)->published, given.published) << given.name;
    }
}

TEST(JobTableTest, FirstClaimOfEpochWins)
{
    JobTable table;
    Job *job = nullptr;
    const auto claim = [](std::uint64_t epoch, const char *instance) {
        jobs::Ownership message;
        message.set_epoch(epoch);
        message.set_instance(instance);
        message.set_incarnation(1);
        return message.SerializeAsString();
    };
    table.apply(record("owner", claim(1, "a"), 0), Instant(1), job);
    table.apply(record("owner", claim(1, "b"), 1), Instant(2), job);
    EXPECT_EQ(table.owner().instance, "a");
    table.apply(record("owner", claim(2, "b"), 2), Instant(3), job);
    EXPECT_EQ(table.owner().instance, "b");
    table.apply(record("owner", claim(1, "a"), 3), Instant(4), job);
    EXPECT_EQ(table.owner().instance, "b");
}

TEST(JobTableTest, IgnoresMalformedRecords)
{
    struct Case
    {
        const char *key;
        const char *value;
    };
    for (const Case &given : {Case{"", ""}, Case{"zz", "x"}, Case{"a/00000000000000aa", "\xff\xff"},
                              Case{"owner", "\xff"}, Case{"x/00000000000000aa", "1"}}) {
        JobTable table;
        Job *job = nullptr;
        EXPECT_EQ(table.apply(record(given.key, given.value, 0), Instant(1), job),
                  JobTable::Change::Malformed)
            << given.key;
        EXPECT_TRUE(table.all().empty());
    }
}

TEST(OwnerLeaseTest, ClaimsOnlyAfterOwnerTimeoutReleaseOrOwnRestart)
{
    struct Case
    {
        const char *name;
        OwnerView owner;
        std::int64_t now;
        std::int64_t readAt;
        bool claims;
    };
    OwnerView other;
    other.epoch = 3;
    other.instance = "b";
    other.incarnation = 9;
    other.lastSeenAt = Instant(10000);
    OwnerView released = other;
    released.released = true;
    OwnerView formerSelf = other;
    formerSelf.instance = "a";
    const std::int64_t timedOut = 10000 + OwnerLease::ownerTimeout.count() + 400;
    for (const Case &given : {Case{"owner alive", other, 11000, 11000, false},
                              Case{"owner timed out", other, timedOut, timedOut, true},
                              Case{"owner timed out, stale view", other, timedOut, 10100, false},
                              Case{"released", released, 10100, 10100, true},
                              Case{"own former incarnation", formerSelf, 10100, 10100, true},
                              Case{"no owner", OwnerView(), 200, 200, true}}) {
        Random random(1);
        OwnerLease lease("a", 1, 0.5, random);
        for (std::int64_t before = 2000; before > 0; before -= 100) {
            EXPECT_FALSE(
                lease.shouldClaim(OwnerView(), Instant(0), Instant(given.readAt - before)));
        }
        lease.shouldClaim(given.owner, Instant(given.now - 100), Instant(given.readAt - 100));
        EXPECT_EQ(lease.shouldClaim(given.owner, Instant(given.now), Instant(given.readAt)),
                  given.claims)
            << given.name;
    }
}

TEST(OwnerLeaseTest, LetsOwnerWriteFirstAfterStoreOutage)
{
    OwnerView owner;
    owner.epoch = 3;
    owner.instance = "b";
    owner.lastSeenAt = Instant(10000);
    Random random(1);
    OwnerLease lease("a", 1, 1.0, random);
    EXPECT_FALSE(lease.shouldClaim(owner, Instant(10100), Instant(10100)));
    // The store was unavailable to every instance for six seconds.
    EXPECT_FALSE(lease.shouldClaim(owner, Instant(16000), Instant(10100)));
    const Instant back(16100);
    EXPECT_FALSE(lease.shouldClaim(owner, back, back));
    const Instant soon = back + Duration(600);
    EXPECT_FALSE(lease.shouldClaim(owner, soon, soon));
    const Instant later = back + OwnerLease::recoveryGracePeriod + OwnerLease::oneCoreClaimDelay +
                          OwnerLease::claimJitter;
    EXPECT_TRUE(lease.shouldClaim(owner, later, later));
    // An owner that has written in the meantime is not replaced.
    owner.lastSeenAt = back + Duration(400);
    EXPECT_FALSE(lease.shouldClaim(owner, later, later));
}

TEST(OwnerLeaseTest, MuchStrongerInstanceReplacesLiveOwner)
{
    struct Case
    {
        const char *name;
        double ownProcessors;
        double ownerProcessors;
        bool claims;
    };
    for (const Case &given :
         {Case{"equal", 0.25, 0.25, false}, Case{"a little stronger", 0.25, 0.15, false},
          Case{"much stronger", 0.5, 0.12, true}, Case{"weaker", 0.12, 0.5, false},
          Case{"not reported", 0.5, 0.0, false}}) {
        OwnerView owner;
        owner.epoch = 3;
        owner.instance = "b";
        owner.processors = given.ownerProcessors;
        owner.since = Instant(10000);
        Random random(1);
        OwnerLease lease("a", 1, given.ownProcessors, random);
        bool claims = false;
        for (std::int64_t now = 10100; now < 16000; now += 100) {
            owner.lastSeenAt = Instant(now);
            const bool claimsNow = lease.shouldClaim(owner, Instant(now), Instant(now));
            EXPECT_FALSE(claimsNow && now < 10000 + OwnerLease::minOwnershipTime.count())
                << given.name;
            claims = claims || claimsNow;
        }
        EXPECT_EQ(claims, given.claims) << given.name;
    }
}

TEST(OwnerLeaseTest, StrongInstanceClaimsBeforeWeakOne)
{
    struct Case
    {
        const char *name;
        double processors;
        Duration earliest;
        Duration latest;
    };
    OwnerView nobody;
    for (const Case &given : {Case{"one core", 1.0, OwnerLease::oneCoreClaimDelay,
                                   OwnerLease::oneCoreClaimDelay + OwnerLease::claimJitter},
                              Case{"a tenth of a core", 0.1, OwnerLease::oneCoreClaimDelay * 10,
                                   OwnerLease::oneCoreClaimDelay * 10 + OwnerLease::claimJitter},
                              Case{"almost none", 0.0001, OwnerLease::longestClaimDelay,
                                   OwnerLease::longestClaimDelay + OwnerLease::claimJitter}}) {
        Random random(1);
        OwnerLease lease("a", 1, given.processors, random);
        const Instant begin(1000);
        EXPECT_FALSE(lease.shouldClaim(nobody, begin, begin)) << given.name;
        const Instant before = begin + given.earliest - Duration(1);
        EXPECT_FALSE(lease.shouldClaim(nobody, before, before)) << given.name;
        const Instant after = begin + given.latest;
        EXPECT_TRUE(lease.shouldClaim(nobody, after, after)) << given.name;
    }
}

/** A log whose replies the test gives one by one. */
class ManualLog : public JobLog
{
public:
    void append(LogStream, const std::vector<JobRecord> &records, const AppendIdentity &identity,
                std::optional<std::uint64_t>, Done done) override
    {
        this->sequences.push_back(identity.sequence);
        this->sizes.push_back(records.size());
        this->callbacks.push_back(std::move(done));
    }

    void reply(AppendOutcome outcome, std::uint64_t expected = 0)
    {
        AppendReply message;
        message.outcome = outcome;
        message.expectedSequence = expected;
        const Done done = this->callbacks.back();
        done(message);
    }

    std::vector<std::uint64_t> sequences;
    std::vector<std::size_t> sizes;
    std::vector<Done> callbacks; ///< One for each append.
    std::size_t refused = 0;     ///< Appends that the test has refused.
};

TEST(GroupCommitTest, ReportsOutcomeOfRecords)
{
    struct Case
    {
        const char *name;
        std::vector<AppendOutcome> replies;
        std::optional<CommitResult> result; ///< By the deadline.
    };
    for (const Case &given : {Case{"stored", {AppendOutcome::Stored}, CommitResult::Durable},
                              Case{"reply lost, then stored",
                                   {AppendOutcome::Unanswered, AppendOutcome::Stored},
                                   CommitResult::Durable},
                              Case{"refused", {AppendOutcome::Refused}, CommitResult::NotCommitted},
                              Case{"reply lost, then refused",
                                   {AppendOutcome::Unanswered, AppendOutcome::Refused},
                                   CommitResult::Unknown},
                              Case{"fenced", {AppendOutcome::Fenced}, CommitResult::Fenced}}) {
        ManualLog log;
        Random random(1);
        GroupCommit commits(log, LogStream::Jobs, random);
        commits.open("p", 1, 5);
        std::optional<CommitResult> result;
        commits.add({record("k", "v", 0)}, Instant(3000),
                    [&](CommitResult outcome, Instant) { result = outcome; });
        std::int64_t now = 0;
        for (const AppendOutcome outcome : given.replies) {
            const std::size_t before = log.callbacks.size();
            while (log.callbacks.size() == before && now < 2000) {
                commits.process(Instant(now += 10));
            }
            log.reply(outcome);
        }
        commits.process(Instant(3000));
        EXPECT_EQ(result, given.result) << given.name;
        for (const std::uint64_t sequence : log.sequences) {
            EXPECT_EQ(sequence, 5U) << given.name;
        }
    }
}

TEST(GroupCommitTest, OutageEndsWithoutWaitingRecords)
{
    ManualLog log;
    Random random(1);
    GroupCommit commits(log, LogStream::Jobs, random);
    commits.open("p", 1, 1);
    std::optional<CommitResult> result;
    commits.add({record("a", "1", 0)}, Instant(3000),
                [&](CommitResult outcome, Instant) { result = outcome; });
    std::int64_t now = 0;
    while (!result && now < 2900) {
        commits.process(Instant(now += 10));
        if (log.callbacks.size() > log.refused) {
            ++log.refused;
            log.reply(AppendOutcome::Refused);
        }
    }
    // Refused before the deadline, and at once for a while; then the store is probed again.
    EXPECT_EQ(result, CommitResult::NotCommitted);
    EXPECT_LT(now, 2000);
    EXPECT_TRUE(commits.outage(Instant(now + 100)));
    EXPECT_FALSE(commits.outage(Instant(now + 5000)));
}

TEST(GroupCommitTest, RepliesCountFromTheTimeOfTheirProcessing)
{
    ManualLog log;
    Random random(1);
    GroupCommit commits(log, LogStream::Jobs, random);
    commits.open("p", 1, 1);
    unsigned notifications = 0;
    commits.onReply = [&] {
        ++notifications;
    };
    std::optional<Instant> completedAt;
    commits.add({record("a", "1", 0)}, GroupCommit::noDeadline,
                [&](CommitResult, Instant at) { completedAt = at; });
    commits.process(Instant(10));
    log.reply(AppendOutcome::Stored);
    EXPECT_EQ(notifications, 1U);
    EXPECT_FALSE(completedAt);
    // The process was suspended for seconds; what follows must not use the time before.
    commits.process(Instant(5000));
    EXPECT_EQ(completedAt, Instant(5000));
}

// Guards against: the owner counted its permission from a repeated append, though the first try may
// have been stored earlier, and renewed leases for longer than its successor assumed.
TEST(GroupCommitTest, StoredCountsFromTheFirstTryThatMayHaveBeenStored)
{
    struct Case
    {
        const char *name;
        AppendOutcome first;
        bool countsFromFirst;
    };
    for (const Case &given : {Case{"reply lost", AppendOutcome::Unanswered, true},
                              Case{"refused", AppendOutcome::Refused, false}}) {
        ManualLog log;
        Random random(1);
        GroupCommit commits(log, LogStream::Jobs, random);
        commits.open("p", 1, 1);
        std::optional<Instant> sentAt;
        commits.onStored = [&](Instant at) {
            sentAt = at;
        };
        commits.add({record("a", "1", 0)}, GroupCommit::noDeadline, nullptr);
        std::int64_t now = 10;
        commits.process(Instant(now));
        log.reply(given.first);
        while (log.callbacks.size() < 2 && now < 5000) {
            commits.process(Instant(now += 10));
        }
        log.reply(AppendOutcome::Stored);
        commits.process(Instant(now + 10));
        EXPECT_EQ(sentAt, given.countsFromFirst ? Instant(10) : Instant(now)) << given.name;
    }
}

TEST(GroupCommitTest, BatchesRecordsAddedDuringAnAppend)
{
    ManualLog log;
    Random random(1);
    GroupCommit commits(log, LogStream::Jobs, random);
    commits.open("p", 1, 1);
    commits.add({record("a", "1", 0)}, Instant(9000), nullptr);
    commits.process(Instant(1));
    commits.add({record("b", "1", 0)}, Instant(9000), nullptr);
    commits.add({record("c", "1", 0)}, Instant(9000), nullptr);
    commits.process(Instant(2));
    ASSERT_EQ(log.sizes.size(), 1U);
    log.reply(AppendOutcome::Stored);
    commits.process(Instant(3));
    EXPECT_EQ(log.sizes, (std::vector<std::size_t>{1, 2}));
    EXPECT_EQ(log.sequences, (std::vector<std::uint64_t>{1, 2}));
}

TEST(InterferenceModelTest, IdentifiesTheInterferingImage)
{
    constexpr double harmful = 0.5;
    // Two best-effort images run next to the serving one with varying shares; only one interferes.
    InterferenceModel model;
    const double base = 25.0;
    const double own = 0.3;
    const double heavy = 1.5;
    model.loadOf("serving", base);
    std::uint64_t noise = 1;
    for (int sample = 0; sample < 60; ++sample) {
        noise = noise * 6364136223846793005ULL + 1442695040888963407ULL;
        const double first = static_cast<double>(noise >> 60U) / 75.0;
        const double second = static_cast<double>((noise >> 56U) & 15U) / 75.0;
        const double load = own + heavy * first;
        const double tail = base / (1.0 - load);
        const double seen = model.loadOf("serving", tail);
        EXPECT_NEAR(seen, load, 0.01);
        model.observe("serving", {own, 0.0}, own, seen, {{"heavy", first}, {"light", second}});
    }
    EXPECT_GT(model.pressure("serving", "heavy"), harmful);
    EXPECT_LT(model.pressure("serving", "light"), harmful);
}

TEST(InterferenceModelTest, DistinguishesBusyFromCalmTasks)
{
    InterferenceModel model;
    const double own = 0.2;
    const double busy = 2.0;
    const double calm = 0.4;
    std::uint64_t noise = 7;
    for (int sample = 0; sample < 200; ++sample) {
        noise = noise * 6364136223846793005ULL + 1442695040888963407ULL;
        const bool isBusy = (noise >> 63U) != 0;
        const double share = 0.05 + static_cast<double>((noise >> 58U) & 15U) / 150.0;
        const double error = (static_cast<double>((noise >> 50U) & 255U) / 255.0 - 0.5) * 0.1;
        const double load = own + share * (isBusy ? busy : calm) + error;
        const Activity activity = isBusy ? Activity::Busy : Activity::Calm;
        model.observe("serving", {own, 0.0}, own, load, {{"best-effort", share, activity}});
    }
    EXPECT_NEAR(model.pressure("serving", "best-effort", Activity::Busy), busy, 0.3);
    EXPECT_NEAR(model.pressure("serving", "best-effort", Activity::Calm), calm, 0.3);
}

TEST(InterferenceModelTest, RestoresFromRecord)
{
    InterferenceModel model;
    model.loadOf("serving", 25.0);
    for (int sample = 0; sample < 50; ++sample) {
        model.observe("serving", {0.2, 0.0}, 0.2, 0.5, {{"best-effort", 0.2, Activity::Busy}});
    }
    jobs::LearntPressures message = model.toMessage();
    jobs::PressureFactors &wrong = *message.add_factors();
    wrong.set_serving("serving");
    wrong.set_filling("wrong");
    wrong.set_busy(1e9F);
    JobTable table;
    Job *job = nullptr;
    table.apply(record(JobTable::pressuresKey, message.SerializeAsString(), 5), Instant(1), job);
    EXPECT_EQ(table.apply(record(JobTable::pressuresKey, "\x08", 6), Instant(2), job),
              JobTable::Change::Malformed);
    InterferenceModel next;
    next.restore(table.pressures());
    EXPECT_NEAR(next.pressure("serving", "best-effort", Activity::Busy),
                model.pressure("serving", "best-effort", Activity::Busy), 1e-4);
    EXPECT_NEAR(next.loadAtTarget("serving", 150.0), model.loadAtTarget("serving", 150.0), 1e-4);
    EXPECT_EQ(next.pressure("serving", "wrong"), model.pressure("serving", "unseen"));
}

TEST(InterferenceModelTest, IgnoresSamplesWhileABacklogDrains)
{
    InterferenceModel model;
    const double before = model.pressure("serving", "best-effort");
    model.observe("serving", {0.3, 0.0}, 0.95, 0.9, {{"best-effort", 0.2}});
    EXPECT_EQ(model.pressure("serving", "best-effort"), before);
    model.observe("serving", {0.3, 0.0}, 0.4, 0.9, {{"best-effort", 0.2}});
    EXPECT_GT(model.pressure("serving", "best-effort"), before);
}

TEST(JobTest, OwnLoadFollowsTheMostCertainTasks)
{
    jobs::JobSpec spec = twoSteps();
    spec.mutable_steps(0)->set_target_ms(150);
    Job job(jobId, spec);
    EXPECT_FALSE(job.ownLoad(0, 0, Instant(10000)));
    StepRun &run = job.stepRun(0, 0);
    for (Task &task : run.tasks) {
        task.phase = TaskPhase::Running;
        task.loadSampledAt = Instant(9800);
    }
    run.tasks[0].load = 0.5; // No best-effort task next to it.
    run.tasks[1].load = 0.9;
    run.tasks[1].pressure = {0.2, 1.0};
    run.tasks[2].load = 0.1; // Too old to be used.
    run.tasks[2].loadSampledAt = Instant(1000);
    EXPECT_NEAR(job.ownLoad(0, 0, Instant(10000))->mean, 0.5, 0.01);
    EXPECT_NEAR(job.ownLoad(0, 0, Instant(10000), 0)->mean, 0.7, 0.01);
}

TEST(PacePolicyTest, SlowsTasksThatCostMoreThanTheirWork)
{
    InterferenceModel model;
    for (int sample = 0; sample < 400; ++sample) {
        model.observe("shop", {0.2, 0.0}, 0.2, 0.4, {{"heavy", 0.1, Activity::Busy}});
        model.observe("shop", {0.2, 0.0}, 0.2, 0.24, {{"heavy", 0.1, Activity::Calm}});
        model.observe("shop", {0.2, 0.0}, 0.2, 0.22, {{"light", 0.2, Activity::Busy}});
    }
    struct Case
    {
        const char *name;
        double headroom;
        std::size_t servingTasks;
        bool busyHalts; ///< Otherwise it runs at full pace.
        bool lightWorks;
    };
    // At full pace the heavy task adds a load of 0.2, the light one 0.02.
    for (const Case &given :
         {Case{"much headroom", 0.5, 4, false, true},
          Case{"headroom for the light task only", 0.06, 4, true, true},
          Case{"no headroom", 0.0, 4, true, true}, Case{"no serving task", 0.0, 0, false, true}}) {
        SCOPED_TRACE(given.name);
        std::vector<PacedTask> bestEffort(2);
        bestEffort[0].image = "light";
        bestEffort[0].activity = Activity::Busy;
        bestEffort[0].share = 0.2;
        bestEffort[1].image = "heavy";
        bestEffort[1].activity = Activity::Busy;
        bestEffort[1].share = 0.1;
        const std::vector<ServingTask> serving(given.servingTasks,
                                               ServingTask{"shop", given.headroom, 0.0});
        PacePolicy(model).lowerPaces(serving, bestEffort);
        EXPECT_NEAR(bestEffort[1].pace, given.busyHalts ? 0.0 : 1.0, 0.01);
        EXPECT_EQ(bestEffort[0].pace > 0.5, given.lightWorks);
    }
    // A calm task of an image runs faster than a busy one of the same image.
    std::vector<PacedTask> calm(1);
    calm[0].image = "heavy";
    calm[0].activity = Activity::Calm;
    calm[0].share = 0.1;
    std::vector<PacedTask> busy = calm;
    busy[0].activity = Activity::Busy;
    const std::vector<ServingTask> serving(4, ServingTask{"shop", 0.15, 0.0});
    PacePolicy(model).lowerPaces(serving, calm);
    PacePolicy(model).lowerPaces(serving, busy);
    EXPECT_GT(calm[0].pace, busy[0].pace);
}

TEST(PlacementPolicyTest, ChoosesWorkerByRequirementsOfTheStep)
{
    struct Case
    {
        const char *name;
        std::function<void(jobs::StepSpec &)> require;
        std::function<void(WorkerState &near, WorkerState &far)> state;
        const char *chosen; ///< Expected worker; empty: none.
    };
    const auto nothing = [](WorkerState &, WorkerState &) {
    };
    for (const Case &given :
         {Case{"rack", [](jobs::StepSpec &step) { step.set_rack_affinity("r-far"); }, nothing,
               "far"},
          Case{"label", [](jobs::StepSpec &step) { step.set_required_label("b"); }, nothing, ""},
          Case{"too large", [](jobs::StepSpec &step) { step.set_milli_cores(65000); }, nothing, ""},
          Case{"draining", [](jobs::StepSpec &) {},
               [](WorkerState &near, WorkerState &) { near.entry.draining = true; }, "far"},
          Case{"unresponsive", [](jobs::StepSpec &) {},
               [](WorkerState &near, WorkerState &) { near.lastSeenAt = Instant(0); }, "far"},
          Case{"ejected", [](jobs::StepSpec &) {},
               [](WorkerState &near, WorkerState &) { near.ejectedUntil = Instant(99999); }, "far"},
          Case{"not listed", [](jobs::StepSpec &) {},
               [](WorkerState &near, WorkerState &) { near.listed = false; }, "far"}}) {
        InterferenceModel interference;
        const PlacementPolicy policy(interference);
        jobs::JobSpec spec = twoSteps();
        given.require(*spec.mutable_steps(0));
        const Job job(jobId, spec);
        WorkerState near(entryOf("near"));
        WorkerState far(entryOf("far"));
        for (WorkerState *worker : {&near, &far}) {
            worker->responded = true;
            worker->lastSeenAt = Instant(10000);
        }
        near.reserved.milliCores = 1000; // Fuller workers are preferred.
        given.state(near, far);
        WorkerState *chosen =
            policy.choose({&near, &far}, PlacementRequest{job, 0, 0, {}, false}, Instant(10100));
        EXPECT_EQ(chosen ? chosen->entry.id.value() : "", given.chosen) << given.name;
    }
}

TEST(PlacementPolicyTest, SeparatesInterferingPairUnlessAllowed)
{
    InterferenceModel interference;
    interference.loadOf("shop", 25.0);
    for (int sample = 0; sample < 40; ++sample) {
        interference.observe("shop", {0.3, 0.0}, 0.3, 0.8, {{"batch", 0.25}});
    }
    const PlacementPolicy policy(interference);
    jobs::JobSpec servingSpec = twoSteps();
    servingSpec.mutable_steps(0)->set_image("shop");
    servingSpec.mutable_steps(0)->set_target_ms(150);
    servingSpec.mutable_steps(0)->set_long_running(true);
    Job serving(JobId("00000000000000bb"), servingSpec);
    serving.stepRun(0, 0).peakLoad = 0.5;
    jobs::JobSpec batchSpec = twoSteps();
    batchSpec.mutable_steps(0)->set_image("batch");
    batchSpec.mutable_steps(0)->set_milli_cores(16000);
    batchSpec.mutable_steps(0)->set_fills(true);
    const Job batch(jobId, batchSpec);
    WorkerState worker(entryOf("w"));
    worker.responded = true;
    worker.lastSeenAt = Instant(10000);
    worker.assign(TaskRef{serving.id(), 0, 0, 0}, serving);
    EXPECT_EQ(policy.choose({&worker}, PlacementRequest{batch, 0, 0, {}, false}, Instant(10100)),
              nullptr);
    EXPECT_EQ(policy.choose({&worker}, PlacementRequest{batch, 0, 0, {}, true}, Instant(10100)),
              &worker);
}

const AdviceRules rules{Duration(50), Duration(2), Duration(3000)};

TEST(AdviceCacheTest, AsksOncePerWorkerIncarnationAndKeepsValidTickets)
{
    OrderRecorder orders;
    AdviceCache cache(orders);
    const StepRef step{jobId, 0, 0};
    WorkerState good(entryOf("good"));
    WorkerState bad(entryOf("bad"));
    good.incarnationStartMs = bad.incarnationStartMs = 7;
    const std::vector<WorkerState *> both = {&good, &bad};
    EXPECT_TRUE(cache.ask(step, both, rules, Instant(1000)));
    ASSERT_EQ(orders.adviceRequests.size(), 1U);
    EXPECT_EQ(orders.adviceRequests[0].workers.size(), 2U);
    EXPECT_EQ(orders.adviceRequests[0].answerTime, Duration(54));
    // One request at a time, also for other steps.
    EXPECT_FALSE(cache.ask(StepRef{jobId, 0, 1}, both, rules, Instant(1010)));
    cache.answered(step, Advice{{{"good", "t-1"}}, Duration(0)}, Instant(1060));
    ASSERT_NE(cache.ticket(step, good, Instant(1100)), nullptr);
    EXPECT_EQ(*cache.ticket(step, good, Instant(1100)), "t-1");
    EXPECT_EQ(cache.ticket(step, bad, Instant(1100)), nullptr);
    EXPECT_EQ(cache.ticket(StepRef{jobId, 0, 1}, good, Instant(1100)), nullptr);
    EXPECT_FALSE(cache.ask(step, both, rules, Instant(1200))) << "advice on both is cached";
    // The validity counts from the request, and a ticket close to its end is not used.
    EXPECT_NE(cache.ticket(step, good, Instant(3499)), nullptr);
    EXPECT_EQ(cache.ticket(step, good, Instant(3500)), nullptr);
    EXPECT_TRUE(cache.ask(step, both, rules, Instant(3500)));
    EXPECT_EQ(orders.adviceRequests[1].workers, std::vector<WorkerId>{WorkerId("good")});
    // Without a reply it asks again after a pause.
    cache.answered(step, std::nullopt, Instant(3600));
    EXPECT_FALSE(cache.ask(step, both, rules, Instant(3700)));
    bad.incarnationStartMs = 8;
    EXPECT_TRUE(cache.ask(step, both, rules, Instant(3900)));
    EXPECT_EQ(orders.adviceRequests[2].workers.size(), 2U)
        << "a new incarnation is asked about again";
}

TEST(CoordinatorTest, StartsOnQueuesWithAdviceCarryATicket)
{
    JobTable table;
    OrderRecorder orders;
    RecordingHost host;
    Coordinator coordinator(table, WorkerBounds(), orders, host);
    JobConfig config;
    config.queues.emplace_back();
    config.queues[0].name = "plan";
    config.queues[0].service = ServiceId("orchard");
    config.queues[0].advice = rules;
    coordinator.setConfig(config);
    jobs::JobSpec spec;
    spec.set_queue("plan");
    *spec.add_steps() = stepOf(2, 100);
    Job *job = nullptr;
    table.apply(record(JobTable::submissionKey(jobId), spec.SerializeAsString(), 1), Instant(1000),
                job);
    coordinator.begin(1, Instant(1000), 1, Instant(1000));
    WorkerReport report;
    report.clockMs = 500;
    report.incarnationStartMs = 7;
    for (const char *name : {"w1", "w2"}) {
        WorkerEntry entry = entryOf(name);
        entry.incarnationStartMs = 7;
        coordinator.setWorker(entry, Instant(1000));
        coordinator.holdAnswered(entry.id, Instant(1000), Instant(1010), OrderOutcome::Accepted,
                                 report);
    }
    const auto commit = [&](std::int64_t at) {
        coordinator.plan(Instant(at), 1);
        coordinator.takeBatch();
        coordinator.committed(Instant(at), true);
    };
    commit(1020);
    EXPECT_TRUE(orders.starts.empty());
    ASSERT_EQ(orders.adviceRequests.size(), 1U);
    const StepRef step = orders.adviceRequests[0].step;
    coordinator.adviceAnswered(step, Advice{{{"w2", "t-2"}}, Duration(3000)}, Instant(1100));
    commit(1110);
    ASSERT_EQ(orders.starts.size(), 2U);
    for (const StartOrder &start : orders.starts) {
        EXPECT_EQ(start.target.worker, WorkerId("w2"));
        EXPECT_EQ(start.ticket, "t-2");
    }
    // A ticket that its worker refuses is requested again, and the task starts then.
    coordinator.startAnswered(WorkerId("w2"), orders.starts[0].task, orders.starts[0].run,
                              Instant(1120), OrderOutcome::TicketInvalid);
    commit(2000);
    ASSERT_EQ(orders.adviceRequests.size(), 2U);
    coordinator.adviceAnswered(step, Advice{{{"w2", "t-3"}}, Duration(3000)}, Instant(2100));
    commit(2110);
    ASSERT_EQ(orders.starts.size(), 3U);
    EXPECT_EQ(orders.starts[2].ticket, "t-3");
}

/** Returns a record of a task placed on w2 in run 2. */
std::string progressOnSecondWorker(std::int64_t incarnationStartMs)
{
    jobs::JobProgress progress;
    progress.set_state(jobs::RUNNING);
    jobs::StepProgress &step = *progress.add_steps();
    step.add_runs(2);
    jobs::Placement &placed = *step.add_placed();
    placed.set_worker("w2");
    placed.set_worker_born_ms(incarnationStartMs);
    return progress.SerializeAsString();
}

TEST(CoordinatorTest, CountsEndsOfUnrecordedRuns)
{
    struct Case
    {
        RunEnd how;
        unsigned attempts;
        jobs::JobState state;
    };
    for (const Case &each :
         {Case{RunEnd::Done, 3, jobs::COMPLETED}, Case{RunEnd::Failed, 1, jobs::FAILED},
          Case{RunEnd::Failed, 2, jobs::RUNNING}, Case{RunEnd::Stopped, 1, jobs::RUNNING}}) {
        JobTable table;
        OrderRecorder orders;
        RecordingHost host;
        Coordinator coordinator(table, WorkerBounds(), orders, host);
        jobs::JobSpec spec;
        spec.set_queue("plan");
        spec.set_max_attempts(each.attempts);
        *spec.add_steps() = stepOf(1, 5000);
        Job *job = nullptr;
        table.apply(record(JobTable::submissionKey(jobId), spec.SerializeAsString(), 1),
                    Instant(1000), job);
        table.apply(record(JobTable::progressKey(jobId), progressOnSecondWorker(7), 2),
                    Instant(1000), job);
        coordinator.begin(2, Instant(1000), 1, Instant(10000));
        coordinator.setWorker(entryOf("w1"), Instant(1000));
        WorkerReport report;
        report.clockMs = 500;
        report.incarnationStartMs = 7;
        report.ended.push_back(EndedTask{1, TaskRef{jobId, 0, 0, 0}, 1, each.how, {}});
        coordinator.holdAnswered(WorkerId("w1"), Instant(1000), Instant(1010),
                                 OrderOutcome::Accepted, report);
        EXPECT_EQ(job->state, each.state) << static_cast<int>(each.how) << " " << each.attempts;
    }
}

// Guards against: a run that its worker took and no report listed is taken for ended by a restart
// before the next incarnation confirms it.
TEST(CoordinatorTest, HasTheNextIncarnationConfirmTheEndOfAnUnlistedRun)
{
    for (const bool listedBefore : {false, true}) {
        JobTable table;
        OrderRecorder orders;
        RecordingHost host;
        Coordinator coordinator(table, WorkerBounds(), orders, host);
        jobs::JobSpec spec;
        spec.set_queue("plan");
        spec.set_service("orchard");
        *spec.add_steps() = stepOf(1, 5000);
        Job *job = nullptr;
        table.apply(record(JobTable::submissionKey(jobId), spec.SerializeAsString(), 1),
                    Instant(1000), job);
        coordinator.begin(1, Instant(1000), 1, Instant(1000));
        WorkerReport report;
        report.clockMs = 500;
        report.incarnationStartMs = 7;
        for (const char *name : {"w1", "w2"}) {
            WorkerEntry entry = entryOf(name);
            entry.incarnationStartMs = 7;
            coordinator.setWorker(entry, Instant(1000));
            coordinator.holdAnswered(entry.id, Instant(1000), Instant(1010), OrderOutcome::Accepted,
                                     report);
        }
        const auto commit = [&](std::int64_t at) {
            coordinator.plan(Instant(at), 1);
            coordinator.takeBatch();
            coordinator.committed(Instant(at), true);
        };
        commit(1020);
        ASSERT_EQ(orders.starts.size(), 1U);
        const StartOrder first = orders.starts[0];
        coordinator.startAnswered(first.target.worker, first.task, first.run, Instant(1030),
                                  OrderOutcome::Accepted);
        if (listedBefore) {
            report.running.push_back(RunningTask{first.task, first.run, {}, 10, 0});
            coordinator.holdAnswered(first.target.worker, Instant(1040), Instant(1050),
                                     OrderOutcome::Accepted, report);
        }
        WorkerEntry next = entryOf(first.target.worker.value().c_str());
        next.incarnationStartMs = 900;
        coordinator.setWorker(next, Instant(1100));
        commit(1110);
        EXPECT_EQ(orders.stops.size(), listedBefore ? 0U : 1U);
        EXPECT_EQ(orders.starts.size(), listedBefore ? 2U : 1U);
    }
}

TEST(CoordinatorTest, MovesNoMoreLongRunningTasksOffADrainingWorkerThanFitElsewhere)
{
    for (const std::size_t slots : {0U, 1U, 3U}) {
        JobTable table;
        OrderRecorder orders;
        RecordingHost host;
        Coordinator coordinator(table, WorkerBounds(), orders, host);
        jobs::JobSpec spec;
        spec.set_queue("plan");
        spec.set_service("orchard");
        *spec.add_steps() = stepOf(5, 5000);
        spec.mutable_steps(0)->set_long_running(true);
        spec.mutable_steps(0)->set_milli_cores(1000);
        Job *job = nullptr;
        table.apply(record(JobTable::submissionKey(jobId), spec.SerializeAsString(), 1),
                    Instant(1000), job);
        jobs::JobProgress progress;
        progress.set_state(jobs::RUNNING);
        jobs::StepProgress &step = *progress.add_steps();
        WorkerReport busy;
        busy.clockMs = 500;
        for (std::uint32_t index = 0; index < 5; ++index) {
            step.add_runs(1);
            jobs::Placement &placed = *step.add_placed();
            placed.set_index(index);
            placed.set_worker("w1");
            busy.running.push_back(RunningTask{TaskRef{jobId, 0, 0, index}, 1, {}, 100, 0});
        }
        table.apply(record(JobTable::progressKey(jobId), progress.SerializeAsString(), 2),
                    Instant(1000), job);
        coordinator.begin(2, Instant(1000), 1, Instant(10000));
        WorkerEntry leaving = entryOf("w1");
        leaving.draining = true;
        coordinator.setWorker(leaving, Instant(1000));
        WorkerEntry other = entryOf("w2");
        other.capacity.milliCores = static_cast<std::int64_t>(1000 * slots + 500);
        coordinator.setWorker(other, Instant(1000));
        WorkerReport free;
        free.clockMs = 500;
        coordinator.holdAnswered(WorkerId("w1"), Instant(1000), Instant(1010),
                                 OrderOutcome::Accepted, busy);
        coordinator.holdAnswered(WorkerId("w2"), Instant(1000), Instant(1010),
                                 OrderOutcome::Accepted, free);
        for (std::int64_t at = 1200; at < 2000; at += 200) {
            coordinator.tick(Instant(at), 1, true);
        }
        std::set<std::uint32_t> stopped;
        for (const StopOrder &stop : orders.stops) {
            stopped.insert(stop.task.index);
        }
        EXPECT_EQ(stopped.size(), slots);
    }
}

TEST(CoordinatorTest, CountsAFailedRunOnceWhenListedRepeatedly)
{
    JobTable table;
    OrderRecorder orders;
    RecordingHost host;
    Coordinator coordinator(table, WorkerBounds(), orders, host);
    jobs::JobSpec spec;
    spec.set_queue("plan");
    spec.set_max_attempts(2);
    *spec.add_steps() = stepOf(1, 5000);
    Job *job = nullptr;
    table.apply(record(JobTable::submissionKey(jobId), spec.SerializeAsString(), 1), Instant(1000),
                job);
    table.apply(record(JobTable::progressKey(jobId), progressOnSecondWorker(7), 2), Instant(1000),
                job);
    WorkerReport report;
    report.clockMs = 500;
    report.incarnationStartMs = 7;
    report.ended.push_back(EndedTask{1, TaskRef{jobId, 0, 0, 0}, 2, RunEnd::Failed, {}});
    // The end is durable, and the coordinator is replaced before it acknowledges the end.
    for (std::uint64_t epoch = 2; epoch < 5; ++epoch) {
        coordinator.begin(epoch, Instant(1000), 1, Instant(10000));
        coordinator.setWorker(entryOf("w2"), Instant(1000));
        coordinator.holdAnswered(WorkerId("w2"), Instant(1000), Instant(1010),
                                 OrderOutcome::Accepted, report);
        for (const JobRecord &made : coordinator.takeBatch()) {
            table.apply(record(made.key, made.value, 10 + epoch), Instant(1000), job);
        }
    }
    EXPECT_EQ(job->state, jobs::RUNNING);
}

// LOST, TWICE. A placement that no record confirms, or that was made on an earlier incarnation than
// the registry names, counts as running until the former owner's leases have lapsed, and no longer.
TEST(CoordinatorTest, AdoptedPlacementCountsAsRunningUntilTheFormerLeasesHaveLapsed)
{
    for (const std::int64_t listedStartMs : {0, 7, 900}) {
        JobTable table;
        OrderRecorder orders;
        RecordingHost host;
        Coordinator coordinator(table, WorkerBounds(), orders, host);
        jobs::JobSpec spec;
        spec.set_queue("plan");
        *spec.add_steps() = stepOf(1, 5000);
        Job *job = nullptr;
        table.apply(record(JobTable::submissionKey(jobId), spec.SerializeAsString(), 1),
                    Instant(1000), job);
        table.apply(record(JobTable::progressKey(jobId), progressOnSecondWorker(7), 2),
                    Instant(1000), job);
        const Instant formerLapse(10000);
        coordinator.begin(2, Instant(1000), 1, formerLapse);
        if (listedStartMs != 0) {
            WorkerEntry entry = entryOf("w2");
            entry.incarnationStartMs = listedStartMs;
            coordinator.setWorker(entry, Instant(1000));
        }
        // No instance reaches the worker.
        const Task &task = *job->task(TaskRef{jobId, 0, 0, 0});
        coordinator.tick(formerLapse, 1, true);
        EXPECT_EQ(task.worker, "w2") << listedStartMs;
        coordinator.tick(formerLapse + Duration(100), 1, true);
        EXPECT_EQ(task.worker, "") << listedStartMs;
    }
}

TEST(CoordinatorTest, AcknowledgesEndsUntilTheWorkerReplies)
{
    JobTable table;
    OrderRecorder orders;
    RecordingHost host;
    Coordinator coordinator(table, WorkerBounds(), orders, host);
    coordinator.begin(1, Instant(1000), 1, Instant(1000));
    coordinator.setWorker(entryOf("w1"), Instant(1000));
    const WorkerId worker("w1");
    WorkerReport report;
    report.clockMs = 500;
    report.incarnationStartMs = 7;
    report.ended.push_back(EndedTask{25, TaskRef{jobId, 0, 0, 0}, 1, RunEnd::Done, {}});
    std::int64_t at = 1000;
    const auto acknowledgedAfter = [&](OrderOutcome outcome) {
        coordinator.holdAnswered(worker, Instant(at), Instant(at), outcome, report);
        coordinator.takeBatch();
        coordinator.committed(Instant(at), true);
        at += 1000;
        orders.holds.clear();
        coordinator.tick(Instant(at), 1, true);
        return orders.holds.empty() ? 9999 : orders.holds[0].acknowledged;
    };
    coordinator.tick(Instant(at), 1, true);
    EXPECT_EQ(acknowledgedAfter(OrderOutcome::Accepted), 25U);
    EXPECT_EQ(acknowledgedAfter(OrderOutcome::Unanswered), 25U)
        << "the acknowledgement may be lost";
    report.ended.clear();
    EXPECT_EQ(acknowledgedAfter(OrderOutcome::Accepted), 0U)
        << "another incarnation would discard ends of its own";
    report.ended.push_back(EndedTask{26, TaskRef{jobId, 0, 0, 1}, 1, RunEnd::Done, {}});
    EXPECT_EQ(acknowledgedAfter(OrderOutcome::Accepted), 26U);
    // The hold reached another incarnation, whose ends are acknowledged by its own numbers.
    report.incarnationStartMs = 8;
    report.ended = {EndedTask{1, TaskRef{jobId, 0, 0, 2}, 1, RunEnd::Done, {}}};
    EXPECT_EQ(acknowledgedAfter(OrderOutcome::Accepted), 1U);
}

TEST(CoordinatorTest, RecordsConfirmAcceptedLongRunningTasksAlsoUnderASuccessor)
{
    JobTable table;
    OrderRecorder orders;
    RecordingHost host;
    Coordinator coordinator(table, WorkerBounds(), orders, host);
    jobs::JobSpec spec;
    spec.set_queue("plan");
    spec.set_service("orchard");
    *spec.add_steps() = stepOf(2, 5000);
    spec.mutable_steps(0)->set_long_running(true);
    Job *job = nullptr;
    std::uint64_t offset = 0;
    table.apply(record(JobTable::submissionKey(jobId), spec.SerializeAsString(), ++offset),
                Instant(1000), job);
    coordinator.begin(1, Instant(1000), 1, Instant(1000));
    WorkerReport report;
    report.clockMs = 500;
    coordinator.setWorker(entryOf("w1"), Instant(1000));
    coordinator.holdAnswered(WorkerId("w1"), Instant(1000), Instant(1010), OrderOutcome::Accepted,
                             report);
    JobRecord newest;
    /** Returns how many placements the record of the batch confirms; nothing without a record. */
    const auto confirmed = [&](std::int64_t at) -> std::optional<int> {
        const std::vector<JobRecord> batch = coordinator.takeBatch();
        coordinator.committed(Instant(at), true);
        if (batch.empty()) {
            return std::nullopt;
        }
        newest = batch[0];
        jobs::JobProgress progress;
        EXPECT_TRUE(progress.ParseFromString(batch[0].value));
        int count = 0;
        for (const jobs::Placement &placed : progress.steps(0).placed()) {
            count += placed.confirmed() ? 1 : 0;
        }
        return count;
    };
    coordinator.plan(Instant(1020), 1);
    EXPECT_EQ(confirmed(1021), 0);
    ASSERT_EQ(orders.starts.size(), 2U);
    const auto accept = [&](const StartOrder &start) {
        coordinator.startAnswered(WorkerId("w1"), start.task, start.run, Instant(1030),
                                  OrderOutcome::Accepted);
    };
    accept(orders.starts[0]);
    EXPECT_FALSE(coordinator.wantsCommit()) << "one record for the whole step";
    accept(orders.starts[1]);
    EXPECT_EQ(confirmed(1040), 2);
    // The successor writes a record of the job before the worker has responded.
    table.apply(record(newest.key, newest.value, ++offset), Instant(2000), job);
    coordinator.begin(2, Instant(2000), 1, Instant(10000));
    EXPECT_EQ(job->toProgress().steps(0).placed(0).confirmed(), true);
    EXPECT_EQ(job->toProgress().steps(0).placed(1).confirmed(), true);
}

TEST(CoordinatorTest, TasksOfADrainingWorkerResumeSoonAfterItLeaves)
{
    WorkerBounds bounds;
    bounds.longestLease = Duration(10000);
    JobTable table;
    OrderRecorder orders;
    RecordingHost host;
    Coordinator coordinator(table, bounds, orders, host);
    jobs::JobSpec spec;
    spec.set_queue("plan");
    *spec.add_steps() = stepOf(1, 5000);
    spec.mutable_steps(0)->set_long_running(true);
    Job *job = nullptr;
    table.apply(record(JobTable::submissionKey(jobId), spec.SerializeAsString(), 1), Instant(1000),
                job);
    jobs::JobProgress progress;
    progress.set_state(jobs::RUNNING);
    jobs::StepProgress &step = *progress.add_steps();
    step.add_runs(1);
    step.add_placed()->set_worker("w1");
    table.apply(record(JobTable::progressKey(jobId), progress.SerializeAsString(), 2),
                Instant(1000), job);
    coordinator.begin(2, Instant(1000), 1, Instant(1000));
    WorkerEntry leaving = entryOf("w1");
    leaving.draining = true;
    coordinator.setWorker(leaving, Instant(1000));
    const TaskRef ref{jobId, 0, 0, 0};
    WorkerReport report;
    report.running.push_back(RunningTask{ref, 1, {}, 100, 0});
    std::int64_t at = 1000;
    for (; at < 13000; at += 1000) {
        report.clockMs = at;
        coordinator.holdAnswered(WorkerId("w1"), Instant(at), Instant(at), OrderOutcome::Accepted,
                                 report);
        coordinator.tick(Instant(at + 500), 1, true);
    }
    // The worker has left; the platform allows the task nine seconds without a run.
    coordinator.removeWorker(WorkerId("w1"), Instant(at));
    EXPECT_EQ(job->task(ref)->worker, "w1");
    coordinator.tick(Instant(at + 6000), 1, true);
    EXPECT_EQ(job->task(ref)->worker, "");
}

TEST(CoordinatorTest, SendsPausedStartsAfterResume)
{
    JobTable table;
    OrderRecorder orders;
    RecordingHost host;
    Coordinator coordinator(table, WorkerBounds(), orders, host);
    jobs::JobSpec spec;
    spec.set_queue("plan");
    spec.set_service("orchard");
    *spec.add_steps() = stepOf(1, 5000);
    Job *job = nullptr;
    table.apply(record(JobTable::submissionKey(jobId), spec.SerializeAsString(), 1), Instant(1000),
                job);
    coordinator.begin(1, Instant(1000), 1, Instant(1000));
    WorkerReport report;
    report.clockMs = 500;
    coordinator.setWorker(entryOf("w1"), Instant(1000));
    coordinator.holdAnswered(WorkerId("w1"), Instant(1000), Instant(1010), OrderOutcome::Accepted,
                             report);
    const auto commit = [&](std::int64_t at, bool pausedMeanwhile) {
        coordinator.plan(Instant(at), 1);
        coordinator.takeBatch();
        coordinator.pauseStarts(pausedMeanwhile);
        coordinator.committed(Instant(at), true);
    };
    coordinator.pauseStarts(true);
    commit(1020, true);
    EXPECT_EQ(orders.starts.size(), 0U) << "nothing is placed";
    coordinator.pauseStarts(false);
    commit(1040, true);
    EXPECT_EQ(orders.starts.size(), 0U) << "placed before the pause, not sent";
    coordinator.pauseStarts(false);
    commit(1060, false);
    ASSERT_EQ(orders.starts.size(), 1U);
    EXPECT_EQ(orders.starts[0].run, 2U);
}

TEST(CoordinatorTest, RequestsAdviceForLongRunningTasksNextToShortLivedOnes)
{
    JobTable table;
    OrderRecorder orders;
    RecordingHost host;
    Coordinator coordinator(table, WorkerBounds(), orders, host);
    JobConfig config;
    for (const char *name : {"watch", "check"}) {
        QueueConfig &queue = config.queues.emplace_back();
        queue.name = name;
        queue.service = ServiceId("orchard");
    }
    config.queues[0].advice = rules;
    coordinator.setConfig(config);
    Job *job = nullptr;
    std::uint64_t offset = 0;
    for (const char *name : {"check", "watch"}) {
        jobs::JobSpec spec;
        spec.set_queue(name);
        *spec.add_steps() = stepOf(1, 5000);
        spec.mutable_steps(0)->set_long_running(name == std::string("watch"));
        const JobId id(std::string("00000000000000") + name[0] + name[1]);
        ++offset;
        table.apply(record(JobTable::submissionKey(id), spec.SerializeAsString(), offset),
                    Instant(1000), job);
    }
    coordinator.begin(1, Instant(1000), 1, Instant(1000));
    WorkerReport report;
    report.clockMs = 500;
    WorkerEntry entry = entryOf("w1");
    coordinator.setWorker(entry, Instant(1000));
    coordinator.holdAnswered(entry.id, Instant(1000), Instant(1010), OrderOutcome::Accepted,
                             report);
    for (std::int64_t at = 1020; at < 2700; at += 200) {
        coordinator.holdAnswered(entry.id, Instant(at), Instant(at), OrderOutcome::Accepted,
                                 report);
        coordinator.plan(Instant(at), 1);
    }
    EXPECT_EQ(orders.adviceRequests.size(), 1U);
}

TEST(WorkerStateTest, LapseFollowsTheClockOfTheWorker)
{
    WorkerState worker(entryOf("w"));
    const WorkerBounds bounds;
    worker.earlierLeasesLapse = Instant(777);
    EXPECT_EQ(worker.lapsesAt(bounds), Instant(777));
    worker.responded = true;
    worker.sampleClock(500000, Instant(1000));
    worker.noteLeaseEnd(506000);
    const Instant lapse = worker.lapsesAt(bounds);
    // Six seconds on a clock that is 2 % slow, plus the time to stop.
    EXPECT_GE(lapse, Instant(1000 + 6122) + bounds.stopTime);
    EXPECT_LE(lapse, Instant(1000 + 6400) + bounds.stopTime);
}

} // namespace
} // namespace godwitfall::jobtests
