#include <chrono>
#include <iostream>
#include <random>

#include "commands.h"
#include "entryinstance.h"
#include "logging.h"

namespace godwitfall {

int runInstance(const std::vector<std::string> &)
{
    const Result<platform::Settings> settings = platform::loadSettings();
    if (!settings) {
        std::cerr << "godwitfall instance: " << settings.error().text() << "\n";
        return ExitUsage;
    }
    startLogging("info", settings->instance);
    const auto unix = std::chrono::system_clock::now().time_since_epoch();
    std::random_device entropy;
    const auto incarnation =
        static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(unix).count())
            << 16U |
        (entropy() & 0xFFFFU);
    boost::asio::io_context context(1);
    EntryInstance instance(context, *settings, incarnation);
    if (const auto started = instance.start(); !started) {
        std::cerr << "godwitfall instance: " << started.error().text() << "\n";
        return ExitUsage;
    }
    logLine(LogLevel::Info, "started",
            {{"zone", settings->zone}, {"entrance", settings->entranceAddress}});
    context.run();
    return ExitOk;
}

} // namespace godwitfall
