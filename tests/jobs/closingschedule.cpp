#include "closingschedule.h"

#include <algorithm>
#include <random>
#include <set>
#include <utility>

#include "longrunningwatch.h"

namespace godwitfall::jobtests {

namespace {

constexpr std::size_t addedWorkers = 8;
constexpr std::int64_t warmUpMs = 1500;
constexpr std::int64_t checkGapMs = 50;
constexpr std::int64_t restartMs = 20;
/** From the start of an incarnation until the registry tells of it. */
constexpr std::int64_t listedAfterMs = 900;
constexpr std::int64_t storeRejectsMs = 6000;
constexpr std::int64_t drainMs = 2500;
constexpr std::int64_t ownerDownMs = 1000;
/** Runs until the end of any schedule. */
constexpr std::uint32_t longRunMs = 600000;
/** Rounds between two jobs with a deadly task, and between two with one that fails. */
constexpr unsigned deadlyGap = 2;
constexpr unsigned failingGap = 3;

jobs::StepSpec longRunningStep(std::uint32_t count, const std::vector<std::uint32_t> &after = {})
{
    jobs::StepSpec step = stepOf(count, longRunMs, after);
    step.set_long_running(true);
    return step;
}

jobs::StepSpec gangStep(std::uint32_t count, std::uint32_t milliseconds)
{
    jobs::StepSpec step = stepOf(count, milliseconds);
    step.set_gang(true);
    return step;
}

class ClosingPlayer
{
public:
    explicit ClosingPlayer(const ClosingSchedule &schedule)
        : schedule(schedule)
        , simulation(schedule.seed, FaultRates())
        , random(schedule.seed)
    {}

    PlayedSchedule play()
    {
        this->setUp();
        for (unsigned round = 0; round < this->schedule.rounds; ++round) {
            this->playRound(round);
        }
        this->run(std::max<std::int64_t>(0, this->faultsUntilMs - this->simulation.now()));
        this->calm = true;
        this->calmFromMs = this->simulation.now();
        this->run(this->schedule.calmMs);
        PlayedSchedule played;
        played.violations = this->simulation.ledger().broken;
        const std::vector<std::string> late = this->watch.lateTasks(this->beginMs);
        played.violations.insert(played.violations.end(), late.begin(), late.end());
        for (const JobId &id : this->simulation.accepted()) {
            const jobs::JobState state = this->simulation.shown(id);
            if (this->deadlyIds.contains(id)) {
                played.deadlyJobs.push_back(state);
            } else {
                played.failedJobs += state == jobs::FAILED ? 1 : 0;
                played.completedJobs += state == jobs::COMPLETED ? 1 : 0;
            }
        }
        for (const auto &[task, workers] : this->simulation.ledger().crashedRuns) {
            played.crashes += workers.size();
        }
        return played;
    }

private:
    void setUp()
    {
        this->simulation.makeHoldsWait();
        // Without it a crash can't be told from a cut.
        this->simulation.makeCrashesReset();
        this->simulation.crashWay = this->schedule.crashWay;
        this->simulation.crashesInDoubt =
            this->schedule.percentCut > 0 || this->schedule.drainGap > 0;
        this->simulation.deadly = [this](const TaskRef &task) {
            const bool lasts = this->deadlyLasting.contains(task.job) && !this->calm;
            return task.index == 0 && task.step == 0 &&
                   (lasts || this->deadlyIds.contains(task.job));
        };
        this->simulation.fails = [this](const TaskRef &task, std::uint32_t) {
            // Counted at the workers: a run that is lost is no attempt.
            const auto limit = this->failures.find(task.job);
            const auto &failed = this->simulation.ledger().failedRuns;
            const auto found = failed.find(task);
            const std::size_t count = found == failed.end() ? 0 : found->second.size();
            return limit != this->failures.end() && task.index == 0 && task.step == 0 &&
                   count < limit->second;
        };
        for (std::size_t count = 0; count < addedWorkers; ++count) {
            this->simulation.addWorker();
        }
        this->simulation.run(warmUpMs);
        this->beginMs = this->simulation.now();
        this->submitLasting({longRunningStep(4)}, 0);
        this->submitLasting({stepOf(2, 300), longRunningStep(2, {0})}, 1);
        if (this->schedule.deadlyLasts) {
            this->deadlyLasting.insert(this->submitLasting({longRunningStep(2)}, 0));
        }
        this->run(warmUpMs);
    }

    JobId submitLasting(const std::vector<jobs::StepSpec> &steps, std::uint32_t lasting)
    {
        const JobId id = this->simulation.submit(steps);
        for (std::uint32_t index = 0; index < steps[lasting].count(); ++index) {
            this->watch.add(TaskRef{id, 0, lasting, index});
        }
        return id;
    }

    void submitJobs(unsigned round)
    {
        this->simulation.submit({stepOf(6, this->schedule.taskMs), stepOf(1, 300, {0})});
        if (this->schedule.gangs) {
            this->simulation.submit({gangStep(3, this->schedule.taskMs), stepOf(1, 300, {0})});
        }
        if (round % deadlyGap == 0 && round / deadlyGap < this->schedule.deadlyJobs) {
            const bool gang = this->schedule.deadlyGangs && round % (2 * deadlyGap) == 0;
            const jobs::StepSpec step = gang ? gangStep(3, 2000) : stepOf(3, 2000);
            this->deadlyIds.insert(this->simulation.submit({step, stepOf(1, 300, {0})}));
        }
        if (this->schedule.failing && round % failingGap == 0) {
            const JobId id = this->simulation.submit({stepOf(2, 400), stepOf(1, 300, {0})});
            this->failures.emplace(id, 1 + round / failingGap % 3);
        }
    }

    void playRound(unsigned round)
    {
        if (this->schedule.storeRejectsIn == round) {
            this->simulation.rejectStoreCalls(storeRejectsMs);
            this->noteFault(storeRejectsMs);
        }
        this->submitJobs(round);
        std::vector<std::size_t> cut;
        for (std::size_t index = 0; index < this->simulation.workersEver(); ++index) {
            if (this->random() % 100 < this->schedule.percentCut &&
                this->simulation.workerUp(index)) {
                cut.push_back(index);
                this->simulation.cutWorker(index, this->schedule.cutMs);
                this->noteFault(this->schedule.cutMs);
            }
        }
        const std::int64_t firstMs =
            std::min(this->schedule.restartedAfterMs.value_or(0), this->schedule.gapMs);
        this->run(firstMs);
        for (const std::size_t index : cut) {
            if (this->schedule.restartedAfterMs && this->simulation.workerUp(index)) {
                this->simulation.crashWorker(index, restartMs, listedAfterMs);
                this->noteFault(restartMs + listedAfterMs);
            }
        }
        if (this->schedule.drainGap > 0 && round % this->schedule.drainGap == 0) {
            const std::size_t index = this->random() % this->simulation.workersEver();
            if (this->simulation.workerUp(index)) {
                this->simulation.drainWorker(index, drainMs, restartMs);
                this->noteFault(drainMs + restartMs);
            }
        }
        this->run(this->schedule.gapMs - firstMs);
        if (this->schedule.ownerLossGap > 0 &&
            round % this->schedule.ownerLossGap == this->schedule.ownerLossGap - 1) {
            this->simulation.killOwner(ownerDownMs);
            this->noteFault(ownerDownMs);
        }
    }

    /** Notes a fault that is over after the time. */
    void noteFault(std::int64_t milliseconds)
    {
        this->faultsUntilMs = std::max(this->faultsUntilMs, this->simulation.now() + milliseconds);
    }

    void run(std::int64_t milliseconds)
    {
        const std::int64_t untilMs = this->simulation.now() + milliseconds;
        while (this->simulation.now() < untilMs) {
            this->simulation.run(std::min(checkGapMs, untilMs - this->simulation.now()));
            // A crash under a deadly task ends the calm as well.
            const std::int64_t calmMs =
                this->calm ? std::max(this->calmFromMs, this->simulation.ledger().lastCrashMs)
                           : this->simulation.now();
            this->watch.check(this->beginMs, calmMs);
        }
    }

    const ClosingSchedule &schedule;
    JobSimulation simulation;
    std::mt19937_64 random;
    LongRunningWatch watch{this->simulation};
    std::int64_t beginMs = 0;
    std::int64_t faultsUntilMs = 0;
    std::int64_t calmFromMs = 0;
    bool calm = false;
    std::set<JobId> deadlyIds;
    std::set<JobId> deadlyLasting;
    std::map<JobId, unsigned> failures; ///< Ends as failed of the first task, by job.
};

} // namespace

std::ostream &operator<<(std::ostream &stream, const ClosingSchedule &schedule)
{
    const ClosingSchedule usual;
    stream << "ClosingSchedule{";
    const auto print = [&](const char *name, auto value, auto usualValue) {
        if (value != usualValue) {
            stream << "." << name << " = " << +value << ", ";
        }
    };
    print("seed", schedule.seed, usual.seed);
    print("rounds", schedule.rounds, usual.rounds);
    print("gapMs", schedule.gapMs, usual.gapMs);
    print("cutMs", schedule.cutMs, usual.cutMs);
    if (schedule.restartedAfterMs) {
        print("restartedAfterMs", *schedule.restartedAfterMs, *usual.restartedAfterMs);
    } else {
        stream << ".restartedAfterMs = std::nullopt, ";
    }
    print("percentCut", schedule.percentCut, usual.percentCut);
    print("taskMs", schedule.taskMs, usual.taskMs);
    print("ownerLossGap", schedule.ownerLossGap, usual.ownerLossGap);
    print("drainGap", schedule.drainGap, usual.drainGap);
    if (schedule.storeRejectsIn) {
        stream << ".storeRejectsIn = " << *schedule.storeRejectsIn << ", ";
    }
    print("deadlyJobs", schedule.deadlyJobs, usual.deadlyJobs);
    print("crashWay", static_cast<int>(schedule.crashWay), static_cast<int>(usual.crashWay));
    print("deadlyLasts", schedule.deadlyLasts, usual.deadlyLasts);
    print("failing", schedule.failing, usual.failing);
    print("gangs", schedule.gangs, usual.gangs);
    print("deadlyGangs", schedule.deadlyGangs, usual.deadlyGangs);
    print("calmMs", schedule.calmMs, usual.calmMs);
    return stream << "}";
}

PlayedSchedule play(const ClosingSchedule &schedule)
{
    return ClosingPlayer(schedule).play();
}

ClosingSchedule randomClosingSchedule(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto between = [&](std::uint64_t least, std::uint64_t most) {
        return least + random() % (most - least + 1);
    };
    const auto oneIn = [&](std::uint64_t count) {
        return random() % count == 0;
    };
    ClosingSchedule schedule;
    schedule.seed = seed;
    schedule.rounds = static_cast<unsigned>(between(8, 20));
    schedule.gapMs = static_cast<std::int64_t>(between(16, 50) * 50);
    const bool longCuts = oneIn(4);
    schedule.cutMs =
        static_cast<std::int64_t>(longCuts ? between(40, 90) * 100 : between(4, 30) * 50);
    if (oneIn(3)) {
        schedule.restartedAfterMs = std::nullopt;
    } else {
        const std::int64_t latestMs = std::min(schedule.cutMs, schedule.gapMs);
        schedule.restartedAfterMs = static_cast<std::int64_t>(random() % (latestMs / 50)) * 50;
    }
    schedule.percentCut = static_cast<unsigned>(between(5, longCuts ? 20 : 45));
    schedule.taskMs = static_cast<std::uint32_t>(between(2, 30) * 100);
    schedule.ownerLossGap = oneIn(2) ? static_cast<unsigned>(between(3, 9)) : 0;
    schedule.drainGap = oneIn(3) ? static_cast<unsigned>(between(1, 4)) : 0;
    if (oneIn(3)) {
        schedule.storeRejectsIn = static_cast<unsigned>(between(1, schedule.rounds - 1));
    }
    schedule.deadlyJobs = oneIn(2) ? static_cast<unsigned>(between(1, 3)) : 0;
    schedule.crashWay = static_cast<CrashWay>(between(0, 3));
    schedule.deadlyLasts = oneIn(4);
    schedule.failing = oneIn(3);
    schedule.gangs = oneIn(2);
    schedule.deadlyGangs = schedule.gangs;
    return schedule;
}

} // namespace godwitfall::jobtests
