#include "commands.h"

#include <iostream>

#include "daemon.h"
#include "logging.h"
#include "settingsloader.h"

namespace godwitfall {

int runServe(const std::vector<std::string> &arguments)
{
    const LoadedSettings loaded = loadSettings(arguments, processEnvironment);
    if (!loaded.help.empty()) {
        std::cout << loaded.help;
        return ExitOk;
    }
    for (const std::string &fault : loaded.faults) {
        std::cerr << "godwitfall serve: " << fault << "\n";
    }
    if (!loaded.faults.empty()) {
        return ExitUsage;
    }
    startLogging(loaded.settings.log_level(), loaded.settings.instance());
    Daemon daemon(loaded.settings);
    return daemon.run();
}

} // namespace godwitfall
