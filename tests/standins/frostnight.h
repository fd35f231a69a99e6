#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "godwitfall.pb.h"
#include "httpclient.h"
#include "layout.h"

namespace godwitfall::standins {

/**
 * The caller of the demonstration: forecast checks with a burst, orders that must run once, plans
 * and watchers as tasks, a killed instance, a zone cut from the platform; then a table of promises.
 */
class FrostNight
{
public:
    FrostNight(Layout layout, int seconds, std::string victim);

    /** Returns 0 only when every promise held. */
    int run();

private:
    struct Sent
    {
        std::string body;
        bool order = false;
        std::chrono::steady_clock::time_point at;
    };

    struct Totals
    {
        int sent = 0;
        int answered = 0;
        int notRun = 0;
        int unknown = 0;
        int repeated = 0;
        int wrong = 0;
        int unreachable = 0;
        int notRunButBegun = 0;
        int begunTwice = 0;
        int lateGiveUp = 0;
    };

    void schedule(int millisecond);
    void sendCheck(bool order);
    void sendAgain(const std::string &id, const std::string &body);
    void send(const std::string &id, const Sent &sent, bool first);
    void onAnswer(const std::string &id, const Sent &sent, bool first,
                  const Result<HttpResponse> &answer);
    wire::CommandReply command(const std::string &text);
    std::string control(const std::string &target);
    void killVictim();
    void submitTasks();
    bool waitForTasks();
    std::string anyInstance();
    void checkOrders();
    bool report(bool tasksDone);
    void runFor(std::chrono::milliseconds time);

    const Layout layout;
    const int seconds;
    const std::string victim;
    boost::asio::io_context context;
    boost::asio::steady_timer timer;
    HttpClient client;
    Totals totals;
    int nextRequest = 0;
    int nextInstance = 0;
    int plans = 0;
    int watchers = 0;
    int finishedPlans = 0;
    int runningWatchers = 0;
    int refusedCommands = 0;
    bool killed = false;
    std::vector<double> latencies;
    std::map<std::string, std::string> orderOutcome;
    std::map<std::string, int> begun;
    std::map<std::string, std::string> counts;
};

} // namespace godwitfall::standins
