#include "commands.h"

#include <algorithm>
#include <iostream>

#include "settingsloader.h"

namespace godwitfall {

int runCheckSettings(const std::vector<std::string> &arguments)
{
    if (std::find(arguments.begin(), arguments.end(), "--reference") != arguments.end()) {
        std::cout << settingsReference();
        return ExitOk;
    }
    const LoadedSettings loaded = loadSettings(arguments, processEnvironment);
    if (!loaded.help.empty()) {
        std::cout << loaded.help;
        return ExitOk;
    }
    for (const std::string &fault : loaded.faults) {
        std::cout << fault << "\n";
    }
    if (loaded.faults.empty()) {
        std::cout << "settings are in order\n";
    }
    return loaded.faults.empty() ? ExitOk : ExitUsage;
}

} // namespace godwitfall
