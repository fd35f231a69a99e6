// An entry instance with its HTTP servers, against a simulated store.
#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/log/core.hpp>

#include "entryinstance.h"
#include "httpclient.h"
#include "httpserver.h"
#include "jobsimulation.h"
#include "logging.h"
#include "logratelimiter.h"
#include "platform/codec.h"
#include "platform/names.h"
#include "platformstore.h"

namespace godwitfall {

namespace {

using Clock = std::chrono::steady_clock;

constexpr const char *storeAddress = "127.17.0.1:7300";
constexpr const char *jobApiAddress = "127.17.4.1:7300";
constexpr std::uint16_t metricsPort = 7303;
constexpr const char *lastJob = "00000000000fffff";
constexpr Duration visibilityLimit{3000}; ///< Limit of the platform for an accepted job.

std::string jobIdOf(int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016x", static_cast<unsigned>(number));
    return text;
}

platform::Settings testSettings()
{
    platform::Settings settings;
    settings.instance = "instance0";
    settings.zone = "z1";
    settings.ip = "127.17.4.1";
    settings.jobApiAddress = jobApiAddress;
    settings.readinessAddress = "127.17.4.1:7301";
    settings.peerAddress = "127.17.4.1:7302";
    settings.storeAddress = storeAddress;
    return settings;
}

/** An instance, a store, and a client that polls the instance for one job. */
class EntryInstanceTest : public ::testing::Test
{
protected:
    EntryInstanceTest()
        : random(1)
        , store(this->context, this->random)
        , instance(this->context, testSettings(), 1, metricsPort)
        , client(this->context)
        , timer(this->context)
        , storeTimer(this->context)
    {
        EXPECT_TRUE(this->store.listen(storeAddress));
        this->putConfig(1, {"plan"});
        EXPECT_TRUE(this->instance.start());
        this->tickStore();
    }

    /** Answers long polls of the store whose wait has expired. */
    void tickStore()
    {
        this->store.tick(Clock::now());
        this->storeTimer.expires_after(std::chrono::milliseconds(20));
        this->storeTimer.async_wait([this](const boost::system::error_code &failure) {
            if (!failure) {
                this->tickStore();
            }
        });
    }

    /** Writes a version of the configuration with the queues; each has its name as path prefix. */
    void putConfig(int version, const std::vector<std::string> &queues,
                   const std::string &limits = "{}")
    {
        std::string routes;
        for (const std::string &queue : queues) {
            routes += (routes.empty() ? R"({"name":")" : R"(,{"name":")") + queue +
                      R"(","host":"a.example","path_prefix":"/)" + queue +
                      R"(/","service":"orchard"})";
        }
        this->store.put(platform::names::configTopic, platform::names::configKey,
                        R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes +
                            R"(],"services":[],"limits":)" + limits + "}");
    }

    /** Requests the count of a queue until the callback, given the status, returns true. */
    void pollQueue(const std::string &queue, std::function<bool(unsigned)> done)
    {
        HttpCall call;
        call.step = "ask";
        call.address = jobApiAddress;
        call.method = "GET";
        call.target = "/" + queue + "/";
        call.headers["Host"] = "a.example";
        this->client.call(std::move(call), [this, queue, done](const Result<HttpResponse> &result) {
            if (result && done(result->status)) {
                return;
            }
            this->timer.expires_after(std::chrono::milliseconds(20));
            this->timer.async_wait([this, queue, done](const boost::system::error_code &) {
                this->pollQueue(queue, done);
            });
        });
    }

    /** Requests the job until the callback, given the status, returns true. */
    void pollJob(const std::string &id, std::function<bool(unsigned)> done)
    {
        HttpCall call;
        call.step = "ask";
        call.address = jobApiAddress;
        call.method = "GET";
        call.target = "/plan/" + id;
        call.headers["Host"] = "a.example";
        this->client.call(std::move(call), [this, id, done](const Result<HttpResponse> &result) {
            if (result && done(result->status)) {
                return;
            }
            this->timer.expires_after(std::chrono::milliseconds(20));
            this->timer.async_wait(
                [this, id, done](const boost::system::error_code &) { this->pollJob(id, done); });
        });
    }

    /** Reads the metrics page until the gauge has the value, at most until the time. */
    void awaitGauge(const std::string &name, int value, Clock::time_point until,
                    std::function<void(bool)> done)
    {
        HttpCall call;
        call.step = "read metrics";
        call.address = testSettings().ip + ":" + std::to_string(metricsPort);
        call.method = "GET";
        call.target = "/metrics";
        this->client.call(
            std::move(call), [this, name, value, until, done](const Result<HttpResponse> &result) {
                const std::string line = "\n" + name + " " + std::to_string(value) + "\n";
                const bool found = result && result->body.find(line) != std::string::npos;
                if (found || Clock::now() > until) {
                    done(found);
                    return;
                }
                this->timer.expires_after(std::chrono::milliseconds(20));
                this->timer.async_wait(
                    [this, name, value, until, done](const boost::system::error_code &) {
                        this->awaitGauge(name, value, until, done);
                    });
            });
    }

    boost::asio::io_context context;
    std::mt19937_64 random;
    soak::PlatformStore store;
    EntryInstance instance;
    HttpClient client;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer storeTimer;
};

TEST_F(EntryInstanceTest, DoesNotReportJobMissingWhileViewLags)
{
    constexpr int records = 8000; // Eight pages; each takes one slow read.
    Clock::time_point accepted;
    unsigned reportedMissing = 0;
    unsigned shown = 0;
    const auto submitAll = [&] {
        jobs::JobSpec spec;
        spec.set_queue("plan");
        *spec.add_steps() = jobtests::stepOf(1, 100);
        const std::string body = spec.SerializeAsString();
        this->store.latency = Duration(600);
        for (int number = 1; number < records; ++number) {
            this->store.put(platform::names::jobTopic, "a/" + jobIdOf(number), body);
        }
        this->store.put(platform::names::jobTopic, std::string("a/") + lastJob, body);
        accepted = Clock::now();
    };
    this->pollJob(lastJob, [&](unsigned status) {
        if (status != 410) {
            return false;
        }
        submitAll();
        this->pollJob(lastJob, [&](unsigned later) {
            const bool late =
                Clock::now() - accepted > std::chrono::milliseconds(visibilityLimit.count());
            reportedMissing += later == 410 && late ? 1 : 0;
            shown += later == 200 ? 1 : 0;
            if (shown > 0) {
                this->context.stop();
            }
            return shown > 0;
        });
        return true;
    });
    this->context.run();
    EXPECT_EQ(reportedMissing, 0U);
    EXPECT_EQ(shown, 1U);
}

// MIXED. Guards against: an instance that was deposed, and reads the jobs anew, answers that none
// of them waits.
TEST_F(EntryInstanceTest, CountsNoJobsFromAViewThatIsNotLoaded)
{
    constexpr std::size_t jobCount = 40;
    constexpr auto settled = std::chrono::seconds(1); // It coordinates by then.
    constexpr auto watched = std::chrono::seconds(4);
    for (std::size_t number = 1; number <= jobCount; ++number) {
        jobs::JobSpec spec;
        spec.set_queue("plan");
        *spec.add_steps() = jobtests::stepOf(1, 100);
        this->store.put(platform::names::jobTopic, "a/" + jobIdOf(static_cast<int>(number)),
                        spec.SerializeAsString());
    }
    std::optional<Clock::time_point> countedAt;
    bool deposed = false;
    std::size_t refused = 0;
    std::size_t counted = 0;
    std::vector<std::string> wrong;
    std::function<void()> ask = [&] {
        HttpCall call;
        call.step = "count";
        call.address = jobApiAddress;
        call.method = "GET";
        call.target = "/plan/";
        call.headers["Host"] = "a.example";
        this->client.call(std::move(call), [&](const Result<HttpResponse> &result) {
            const bool ok = result && result->status == 200;
            const bool all = ok && result->body == platform::waitingBody(jobCount);
            if (all && !countedAt) {
                countedAt = Clock::now();
            }
            if (countedAt && !deposed && Clock::now() - *countedAt > settled) {
                jobs::Ownership other;
                other.set_epoch(100);
                other.set_instance("other");
                this->store.latency = Duration(300);
                this->store.put(platform::names::jobTopic, JobTable::ownerKey,
                                other.SerializeAsString());
                deposed = true;
            }
            if (deposed) {
                refused += result && result->status == 503 ? 1 : 0;
                counted += all ? 1 : 0;
                if (ok && !all) {
                    wrong.push_back(result->body);
                }
                if (refused > 0 && all) {
                    this->context.stop();
                }
            }
            if (countedAt && Clock::now() - *countedAt > settled + watched) {
                this->context.stop();
            }
            this->timer.expires_after(std::chrono::milliseconds(10));
            this->timer.async_wait([&](const boost::system::error_code &) { ask(); });
        });
    };
    ask();
    this->context.run();
    EXPECT_EQ(wrong, std::vector<std::string>());
    EXPECT_GT(refused, 0U);
    EXPECT_GT(counted, 0U);
}

// Guards against a failed job of which the log tells nothing, as hundreds of others are completed
// in the same second.
TEST_F(EntryInstanceTest, LogsFailuresBesideManyCompletedJobs)
{
    boost::log::core::get()->set_logging_enabled(false);
    JobNodeHost &host = this->instance;
    const auto tell = [&host](jobs::JobState state) {
        jobs::JobSpec spec;
        *spec.add_steps() = jobtests::stepOf(1, 100);
        Job job(JobId(lastJob), std::move(spec));
        job.applyStatus(state);
        host.jobFinished(job, JobEnd());
        host.jobEndRead(job);
        host.closedJobAdopted(job);
    };
    constexpr std::uint64_t lines = 3 * LogRateLimiter::burst;
    for (std::uint64_t line = 0; line < lines; ++line) {
        tell(jobs::COMPLETED);
    }
    const std::uint64_t suppressed = suppressedLogLines();
    EXPECT_GT(suppressed, lines) << "of each of the three events";
    tell(jobs::FAILED);
    tell(jobs::CANCELLED);
    EXPECT_EQ(suppressedLogLines(), suppressed);
    boost::log::core::get()->set_logging_enabled(true);
}

// Guards against 404 for a queue that was added while the instance could not read the store.
TEST_F(EntryInstanceTest, DoesNotDenyQueuesOnAnOldConfiguration)
{
    Clock::time_point added;
    unsigned deniedLate = 0;
    unsigned lastStatus = 0;
    const auto configApplyTime = std::chrono::milliseconds(testSettings().configApplyTime.count());
    const auto pollAdded = [&](unsigned status) {
        const Clock::duration since = Clock::now() - added;
        deniedLate += status == 404 && since > configApplyTime ? 1 : 0;
        lastStatus = status;
        if (since > 2 * configApplyTime) {
            this->store.mood = soak::PlatformStore::Mood::Well;
        }
        const bool over = status == 200 || since > 4 * configApplyTime;
        if (over) {
            this->context.stop();
        }
        return over;
    };
    this->pollQueue("plan", [&](unsigned ready) {
        if (ready != 200) {
            return false;
        }
        this->store.mood = soak::PlatformStore::Mood::Silent;
        // By then the reads that were sent before are over.
        this->timer.expires_after(std::chrono::milliseconds(1500));
        this->timer.async_wait([&](const boost::system::error_code &) {
            this->putConfig(2, {"plan", "added"});
            added = Clock::now();
            this->pollQueue("added", pollAdded);
        });
        return true;
    });
    this->context.run();
    EXPECT_EQ(deniedLate, 0U);
    EXPECT_EQ(lastStatus, 200U);
}

// Guards against limits of the configuration that no request is held to, or that take effect only
// at the next start.
TEST_F(EntryInstanceTest, HoldsEachRequestToTheLimitsInForce)
{
    constexpr unsigned tooLarge = 413;
    int version = 1;
    std::function<void()> send = [&] {
        HttpCall call;
        call.step = "submit";
        call.address = jobApiAddress;
        call.target = "/plan/" + jobIdOf(1);
        call.headers["Host"] = "a.example";
        call.body = std::string(300, ' ');
        this->client.call(std::move(call), [&](const Result<HttpResponse> &result) {
            // The second version refuses the body, the third one does not.
            if (result && version < 3 && (result->status == tooLarge) == (version == 2)) {
                ++version;
                this->putConfig(version, {"plan"},
                                version == 2 ? R"({"body_bytes":299})" : R"({"body_bytes":300})");
            } else if (result && version == 3 && result->status != tooLarge) {
                this->context.stop();
                return;
            }
            this->timer.expires_after(std::chrono::milliseconds(20));
            this->timer.async_wait([&](const boost::system::error_code &) { send(); });
        });
    };
    send();
    this->context.run_for(std::chrono::seconds(10));
    EXPECT_TRUE(this->context.stopped());
    EXPECT_EQ(version, 3);
}

// Guards against 404 for a queue of a version that the instance can't read, and against a version
// that nothing is newer than.
TEST_F(EntryInstanceTest, KeepsItsConfigurationWhenTheNextOneIsInvalid)
{
    std::vector<unsigned> statuses;
    const auto ask = [&](const std::string &queue, std::function<void()> then) {
        this->timer.expires_after(
            std::chrono::milliseconds(testSettings().configApplyTime.count()));
        this->timer.async_wait([this, &statuses, queue, then](const boost::system::error_code &) {
            this->pollQueue(queue, [&statuses, then](unsigned status) {
                statuses.push_back(status);
                then();
                return true;
            });
        });
    };
    this->pollQueue("plan", [&](unsigned ready) {
        if (ready != 200) {
            return false;
        }
        this->putConfig(-3, {"added"});
        ask("plan", [&] {
            ask("added", [&] {
                this->putConfig(4, {"plan", "added"});
                ask("added", [&] { this->context.stop(); });
            });
        });
        return true;
    });
    this->context.run();
    EXPECT_EQ(statuses, (std::vector<unsigned>{200, 503, 200}));
}

// Guards against calm instances that say, now and then, that they can't tell of a queue.
TEST_F(EntryInstanceTest, DeniesUnknownQueuesWhileItReadsTheStore)
{
    std::map<unsigned, int> statuses;
    const Clock::time_point begin = Clock::now();
    this->pollQueue("plan", [&](unsigned ready) {
        if (ready != 200) {
            return false;
        }
        this->pollQueue("never", [&](unsigned status) {
            ++statuses[status];
            const bool over = Clock::now() - begin > std::chrono::seconds(5);
            if (over) {
                this->context.stop();
            }
            return over;
        });
        return true;
    });
    this->context.run();
    EXPECT_EQ(statuses.size(), 1U);
    EXPECT_GT(statuses[404], 0);
}

/** One change of the operators' records, and how many zones are evacuated after it. */
struct EvacuationStep
{
    const char *name;
    std::vector<std::pair<std::string, std::string>> records; ///< Without a value: removed.
    bool dropsHistory = false; ///< Before the instance reads them one by one.
    int zones = 0;
};

// Guards against a request that the instance misses, and one that holds for good as the record of
// its end was deleted before it was read.
TEST_F(EntryInstanceTest, FollowsRequestsToEvacuateZones)
{
    std::vector<std::pair<std::string, std::string>> many;
    // More than one page of newest records; the zones are spread over the pages.
    for (int number = 0; number < 2500; ++number) {
        many.emplace_back("dozens/" + std::to_string(number), "{}");
    }
    many.emplace_back("evacuate/z0", "");
    many.emplace_back("evacuate/z2", "{}");
    many.emplace_back("evacuate/z3", "{}");
    const std::vector<EvacuationStep> steps = {
        {"requested", {{"evacuate/z0", "{}"}}, false, 1},
        {"two zones", {{"evacuate/z1", "{}"}}, false, 2},
        {"several pages", many, true, 3},
        {"withdrawn", {{"evacuate/z1", ""}}, false, 2},
        {"no longer among the newest records",
         {{"evacuate/z2", ""}, {"evacuate/z3", ""}, {"evacuate/z4", "{}"}},
         true,
         1},
        {"none", {{"evacuate/z4", ""}}, false, 0}};
    this->store.wakesReads = false;
    std::size_t passed = 0;
    std::function<void()> next = [&] {
        if (passed == steps.size()) {
            this->context.stop();
            return;
        }
        const EvacuationStep &step = steps[passed];
        for (const auto &[key, value] : step.records) {
            this->store.put(platform::names::configTopic, key, value);
        }
        if (step.dropsHistory) {
            this->store.dropHistory();
        }
        this->awaitGauge("godwitfall_evacuated_zones", step.zones,
                         Clock::now() + std::chrono::seconds(3), [&](bool found) {
                             EXPECT_TRUE(found) << steps[passed].name;
                             ++passed;
                             next();
                         });
    };
    this->awaitGauge("godwitfall_config_version", 1, Clock::now() + std::chrono::seconds(3),
                     [&](bool found) {
                         EXPECT_TRUE(found);
                         next();
                     });
    this->context.run();
    EXPECT_EQ(passed, steps.size());
}

/** Another instance that coordinates: answers what is forwarded to it with its version. */
class CoordinatorStandIn
{
public:
    CoordinatorStandIn(boost::asio::io_context &context, soak::PlatformStore &store)
        : server(context, HttpLimits(), [this](const HttpRequest &request, const Respond &respond) {
            this->requests.push_back(request);
            HttpResponse response;
            response.status = this->status;
            response.body = R"({"waiting":7})";
            response.headers["X-Config-Version"] = std::to_string(this->version);
            respond(std::move(response));
        })
    {
        EXPECT_TRUE(this->server.listen(address));
        jobs::Ownership ownership;
        ownership.set_epoch(5);
        ownership.set_instance("other");
        ownership.set_address(address);
        store.put(platform::names::jobTopic, JobTable::ownerKey, ownership.SerializeAsString());
    }

    static constexpr const char *address = "127.17.4.9:7302";
    int version = 1;
    unsigned status = 200;
    std::vector<HttpRequest> requests;

private:
    HttpServer server;
};

// Guards against an instance that passes on what the coordinator decided by a newer configuration,
// and then answers 404 by its own.
TEST_F(EntryInstanceTest, AnswersByNoOlderConfigurationThanTheCoordinatorDid)
{
    CoordinatorStandIn coordinator(this->context, this->store);
    unsigned status = 0;
    this->pollQueue("plan", [&](unsigned ready) {
        if (ready != 200 || this->store.owner().empty()) {
            return false;
        }
        // Its read of the configuration waits, and is not woken.
        this->timer.expires_after(std::chrono::milliseconds(300));
        this->timer.async_wait([&](const boost::system::error_code &) {
            this->store.wakesReads = false;
            this->putConfig(2, {"plan", "added"});
            coordinator.version = 2;
            this->pollJob(lastJob, [&](unsigned relayed) {
                EXPECT_EQ(relayed, 200U);
                this->pollQueue("added", [&](unsigned answered) {
                    status = answered;
                    this->context.stop();
                    return true;
                });
                return true;
            });
        });
        return true;
    });
    this->context.run();
    EXPECT_EQ(coordinator.requests.front().header("x-config-version"), "1");
    EXPECT_EQ(status, 200U);
}

// Guards against an older answer of the next coordinator: an instance that knows of a newer version
// has to tell it, also while it can't read it.
TEST_F(EntryInstanceTest, ForwardsTheNewestVersionThatItKnowsOf)
{
    CoordinatorStandIn coordinator(this->context, this->store);
    coordinator.version = 9;
    this->pollQueue("plan", [&](unsigned ready) {
        if (ready != 200 || this->store.owner().empty()) {
            return false;
        }
        this->timer.expires_after(std::chrono::milliseconds(600));
        this->timer.async_wait([&](const boost::system::error_code &) {
            this->pollJob(lastJob, [&](unsigned) {
                this->pollQueue("plan", [&](unsigned status) {
                    EXPECT_EQ(status, 200U);
                    this->context.stop();
                    return true;
                });
                return true;
            });
        });
        return true;
    });
    this->context.run();
    ASSERT_EQ(coordinator.requests.size(), 2U);
    EXPECT_EQ(coordinator.requests[0].header("x-config-version"), "1");
    EXPECT_EQ(coordinator.requests[1].header("x-config-version"), "9");
}

// Guards against an instance that has passed on an answer by a newer configuration than it can
// read, and goes back to its own when the coordinator no longer answers.
TEST_F(EntryInstanceTest, GoesBackToNoOlderConfigurationThanItHasShown)
{
    CoordinatorStandIn coordinator(this->context, this->store);
    coordinator.version = 9;
    unsigned status = 0;
    this->pollQueue("plan", [&](unsigned ready) {
        if (ready != 200 || this->store.owner().empty()) {
            return false;
        }
        this->timer.expires_after(std::chrono::milliseconds(600));
        this->timer.async_wait([&](const boost::system::error_code &) {
            this->pollJob(lastJob, [&](unsigned shown) {
                EXPECT_EQ(shown, 200U);
                coordinator.status = dropConnection;
                this->pollQueue("plan", [&](unsigned answered) {
                    status = answered;
                    this->context.stop();
                    return true;
                });
                return true;
            });
        });
        return true;
    });
    this->context.run();
    EXPECT_EQ(status, 503U);
}

// Guards against a coordinator that runs what it is forwarded by an older configuration than the
// instance has that took the request.
TEST_F(EntryInstanceTest, RefusesForwardedRequestsUntilItHasReadTheirConfiguration)
{
    std::vector<unsigned> statuses;
    const auto forward = [&](std::function<void()> then) {
        HttpCall call;
        call.step = "forward";
        call.address = testSettings().peerAddress;
        call.method = "GET";
        call.target = "/plan/";
        call.headers["Host"] = "a.example";
        call.headers["X-Config-Version"] = "2";
        this->client.call(std::move(call), [&, then](const Result<HttpResponse> &result) {
            statuses.push_back(result ? result->status : 0);
            then();
        });
    };
    this->pollQueue("plan", [&](unsigned ready) {
        if (ready != 200) {
            return false;
        }
        this->timer.expires_after(std::chrono::milliseconds(300));
        this->timer.async_wait([&](const boost::system::error_code &) {
            this->store.wakesReads = false;
            this->putConfig(2, {"plan", "added"});
            forward([&] {
                this->timer.expires_after(std::chrono::milliseconds(100));
                this->timer.async_wait([&](const boost::system::error_code &) {
                    forward([&] { this->context.stop(); });
                });
            });
        });
        return true;
    });
    this->context.run();
    EXPECT_EQ(statuses, (std::vector<unsigned>{503, 200}));
}

/** A worker that takes every order and lists what was started as running. */
class WorkerStandIn
{
public:
    explicit WorkerStandIn(boost::asio::io_context &context)
        : server(context, HttpLimits(), [this](const HttpRequest &request, const Respond &respond) {
            this->holds += request.target == platform::names::hold ? 1 : 0;
            this->starts += request.target == platform::names::runStart ? 1 : 0;
            HttpResponse response;
            response.body = R"({"clock_ms":482113,"born":5,"running":[],"ended":[]})";
            respond(std::move(response));
        })
    {
        EXPECT_TRUE(this->server.listen(address));
    }

    static std::string entry()
    {
        return std::string(R"({"service":"orchard","address":")") + address +
               R"(","zone":"z1","state":"ready","born":5,)"
               R"("capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1"]})";
    }

    static constexpr const char *address = "127.17.5.1:7300";
    int holds = 0;
    int starts = 0;

private:
    HttpServer server;
};

// Guards against starts in a zone by a coordinator that reads the request and does not heed it, and
// against a zone that gets nothing any more once it has returned.
TEST_F(EntryInstanceTest, StartsNothingInAnEvacuatedZone)
{
    WorkerStandIn worker(this->context);
    jobs::JobSpec spec;
    spec.set_queue("plan");
    spec.set_service("orchard");
    *spec.add_steps() = jobtests::stepOf(1, 60000);
    this->store.put(platform::names::configTopic, "evacuate/z1", "{}");
    this->store.put(platform::names::workerTopic, "w1", WorkerStandIn::entry());
    this->store.put(platform::names::jobTopic, "a/" + jobIdOf(1), spec.SerializeAsString());
    const Clock::time_point giveUpAt = Clock::now() + std::chrono::seconds(12);
    int startsBefore = -1;
    this->pollQueue("plan", [&](unsigned) {
        // It coordinates, and has had many turns to place the task.
        constexpr int enoughHolds = 20;
        if (startsBefore < 0 && worker.holds > enoughHolds) {
            startsBefore = worker.starts;
            this->store.put(platform::names::configTopic, "evacuate/z1", "");
        }
        const bool over = worker.starts > 0 || Clock::now() > giveUpAt;
        if (over) {
            this->context.stop();
        }
        return over;
    });
    this->context.run();
    EXPECT_EQ(startsBefore, 0);
    EXPECT_GT(worker.starts, 0);
}

// Guards against one odd entry of another writer among those of the workers, for which an instance
// ends or stops following the list.
TEST_F(EntryInstanceTest, FollowsTheWorkersBesideOddEntries)
{
    WorkerStandIn worker(this->context);
    const std::string nested(200000, '[');
    for (const auto &[key, value] : std::map<std::string, std::string>{
             {"a-nested", nested},
             {"b-nested", R"({"service":"orchard","labels":)" + nested},
             {"c-number", R"({"service":"orchard","address":"127.17.5.2:7300","state":"ready",)"
                          R"("born":1e999,"capacity":{"cpu":99999999999999999999}})"},
             {"d-port", R"({"service":"orchard","address":"127.17.5.2:99999","state":"ready",)"
                        R"("capacity":{"cpu":16000}})"},
             {"e-bytes", std::string("\xff\x00\xfe", 3)}}) {
        this->store.put(platform::names::workerTopic, key, value);
    }
    const auto until = [this](std::function<bool()> reached, std::function<void()> then) {
        const Clock::time_point giveUpAt = Clock::now() + std::chrono::seconds(5);
        this->pollQueue("plan", [=](unsigned) {
            const bool over = reached() || Clock::now() > giveUpAt;
            if (over) {
                then();
            }
            return over;
        });
    };
    this->store.put(platform::names::workerTopic, "w1", WorkerStandIn::entry());
    until([&] { return worker.holds > 2; },
          [&] {
              this->store.put(platform::names::workerTopic, "f-number", R"({"born":1e999})");
              this->store.put(platform::names::workerTopic, "w1", nested);
              const int before = worker.holds;
              this->timer.expires_after(std::chrono::seconds(1));
              this->timer.async_wait([&, before](const boost::system::error_code &) {
                  EXPECT_LT(worker.holds, before + 10) << "an odd entry names no worker to use";
                  const int idle = worker.holds;
                  this->store.put(platform::names::workerTopic, "w1", WorkerStandIn::entry());
                  until([&, idle] { return worker.holds > idle + 2; },
                        [&, idle] {
                            EXPECT_GT(worker.holds, idle + 2) << "its entry is back";
                            this->context.stop();
                        });
              });
          });
    this->context.run();
    EXPECT_GT(worker.holds, 2);
}

TEST_F(EntryInstanceTest, SendsLastResponseBeforeShutdown)
{
    // The response is ready only when the shutdown has nothing else left to wait for.
    constexpr std::chrono::milliseconds afterSignal(2200);
    unsigned responseStatus = 0;
    std::string responseText;
    const auto submit = [&] {
        HttpCall call;
        call.step = "submit";
        call.address = jobApiAddress;
        call.target = std::string("/plan/") + lastJob;
        call.headers["Host"] = "a.example";
        call.body = R"({"spec":"","steps":[{"count":1,"cpu":1,"estimated_ms":1}]})";
        this->client.call(std::move(call), [&](const Result<HttpResponse> &result) {
            responseStatus = result ? result->status : 0;
            responseText = result ? result->body : result.error().text();
        });
    };
    this->pollJob(lastJob, [&](unsigned status) {
        if (status != 410) {
            return false;
        }
        // By then the instance coordinates, and the log has a record.
        this->timer.expires_after(std::chrono::milliseconds(700));
        this->timer.async_wait([&](const boost::system::error_code &) {
            std::raise(SIGTERM);
            this->timer.expires_after(afterSignal);
            this->timer.async_wait([&](const boost::system::error_code &) {
                this->store.latency = Duration(600);
                submit();
            });
        });
        return true;
    });
    this->context.run();
    EXPECT_EQ(responseStatus, 200U) << responseText;
}

TEST_F(EntryInstanceTest, AnswersOpenRequestsBeforeItMustEnd)
{
    // The store stops answering so late that the request is open when the process has to end.
    constexpr std::chrono::milliseconds afterSignal(4600);
    unsigned responseStatus = 0;
    std::string responseText;
    const auto submit = [&] {
        HttpCall call;
        call.step = "submit";
        call.address = jobApiAddress;
        call.target = std::string("/plan/") + lastJob;
        call.headers["Host"] = "a.example";
        call.body = R"({"spec":"","steps":[{"count":1,"cpu":1,"estimated_ms":1}]})";
        this->client.call(std::move(call), [&](const Result<HttpResponse> &result) {
            responseStatus = result ? result->status : 0;
            responseText = result ? result->body : result.error().text();
        });
    };
    boost::asio::steady_timer untilSubmit(this->context);
    this->pollJob(lastJob, [&](unsigned status) {
        if (status != 410) {
            return false;
        }
        std::raise(SIGTERM);
        // Questions keep the shutdown from finishing earlier.
        const Clock::time_point askedUntil = Clock::now() + afterSignal;
        this->pollJob(lastJob, [askedUntil](unsigned) { return Clock::now() > askedUntil; });
        untilSubmit.expires_after(afterSignal);
        untilSubmit.async_wait([&](const boost::system::error_code &) {
            this->store.mood = soak::PlatformStore::Mood::Silent;
            submit();
        });
        return true;
    });
    this->context.run();
    EXPECT_EQ(responseStatus, 504U) << responseText;
}

TEST_F(EntryInstanceTest, TellsCallersToLeaveWhileItStops)
{
    std::string before = "none";
    std::string after = "none";
    const auto ask = [this](std::string &connection, std::function<void()> then) {
        HttpCall call;
        call.step = "ask";
        call.address = jobApiAddress;
        call.method = "GET";
        call.target = std::string("/plan/") + lastJob;
        call.headers["Host"] = "a.example";
        this->client.call(std::move(call), [&connection, then](const Result<HttpResponse> &result) {
            ASSERT_TRUE(result) << result.error().text();
            const auto named = result->headers.find("connection");
            connection = named == result->headers.end() ? "kept" : named->second;
            then();
        });
    };
    this->pollJob(lastJob, [&](unsigned status) {
        if (status != 410) {
            return false;
        }
        ask(before, [&] {
            std::raise(SIGTERM);
            this->timer.expires_after(std::chrono::milliseconds(100));
            this->timer.async_wait([&](const boost::system::error_code &) { ask(after, [] {}); });
        });
        return true;
    });
    this->context.run();
    EXPECT_EQ(before, "kept");
    EXPECT_EQ(after, "close");
}

} // namespace

} // namespace godwitfall
