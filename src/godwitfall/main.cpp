#include <array>
#include <iostream>
#include <string>
#include <vector>

#include "commands.h"

namespace {

struct Command
{
    const char *name;
    const char *help;
    int (*run)(const std::vector<std::string> &arguments);
};

constexpr std::array commands = {
    Command{"serve", "runs an entry instance", &godwitfall::runServe},
    Command{"instance", "runs an entry instance on the users' platform; settings come from there",
            &godwitfall::runInstance},
    Command{"ctl", "asks what runs where and why, and issues changes", &godwitfall::runCtl},
    Command{"check-config",
            "FILE [--against FILE]: checks a configuration before it is sent, and compares it",
            &godwitfall::runCheckConfig},
    Command{"check-settings", "tells every fault of the settings; --reference prints the page",
            &godwitfall::runCheckSettings},
};

void printHelp()
{
    std::cout << "godwitfall: scheduler for latency-critical and batch work on shared workers\n\n"
              << "usage: godwitfall COMMAND [flags]\n\n";
    for (const Command &command : commands) {
        std::cout << "  " << command.name << "\n      " << command.help << "\n";
    }
    std::cout
        << "  --version\n      prints the version\n  --help\n      prints this page\n\n"
        << "godwitfall COMMAND --help tells the flags. Every flag has an environment variable;\n"
        << "flags win. See docs/operators/ for the operators' guide.\n";
}

} // namespace

int main(int argumentCount, char **argumentValues)
{
    const std::vector<std::string> arguments(argumentValues + 1, argumentValues + argumentCount);
    if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "-h") {
        printHelp();
        return arguments.empty() ? godwitfall::ExitUsage : godwitfall::ExitOk;
    }
    if (arguments[0] == "--version") {
        std::cout << "godwitfall " << GODWITFALL_VERSION << "\n";
        return godwitfall::ExitOk;
    }
    for (const Command &command : commands) {
        if (arguments[0] == command.name) {
            return command.run(arguments);
        }
    }
    std::cerr << "godwitfall: no command " << arguments[0] << "; see godwitfall --help\n";
    return godwitfall::ExitUsage;
}
