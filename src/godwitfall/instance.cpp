#include <chrono>
#include <exception>
#include <iostream>
#include <random>

#include <tclap/CmdLine.h>

#include "commands.h"
#include "entryinstance.h"
#include "logging.h"

namespace godwitfall {

namespace {

/** Parses the command's flags; as in TCLAP, --help and errors end the process. */
std::uint16_t parseMetricsPort(std::vector<std::string> arguments)
{
    TCLAP::CmdLine flags("Runs an entry instance on the users' platform; the environment variable "
                         "GODWITFALL_CONFIG names the settings file.",
                         ' ', GODWITFALL_VERSION);
    TCLAP::ValueArg<std::uint16_t> port(
        "", "metrics-port", "port of the metrics page on the machine's address; 0: none", false, 0,
        "port", flags);
    arguments.front() = "godwitfall instance";
    flags.parse(arguments);
    return port.getValue();
}

} // namespace

int runInstance(const std::vector<std::string> &arguments)
{
    const std::uint16_t metricsPort = parseMetricsPort(arguments);
    const Result<platform::Settings> settings = platform::loadSettings();
    if (!settings) {
        std::cerr << "godwitfall instance: " << settings.error().text() << "\n";
        return ExitUsage;
    }
    startLogging("info", settings->instance);
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    std::random_device entropy;
    const auto incarnation =
        static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count())
            << 16U |
        (entropy() & 0xFFFFU);
    boost::asio::io_context context(1);
    EntryInstance instance(context, *settings, incarnation, metricsPort);
    if (const auto started = instance.start(); !started) {
        std::cerr << "godwitfall instance: " << started.error().text() << "\n";
        return ExitUsage;
    }
    logLine(LogLevel::Info, "started",
            {{"zone", settings->zone}, {"entrance", settings->jobApiAddress}});
    while (!context.stopped()) {
        try {
            context.run();
        } catch (const std::exception &error) {
            instance.recover(error.what());
        }
    }
    return ExitOk;
}

} // namespace godwitfall
