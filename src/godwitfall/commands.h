#pragma once

#include <string>
#include <vector>

namespace godwitfall {

/** Exit statuses of the binary. */
enum ExitStatus {
    ExitOk = 0,
    ExitRefused = 1,
    ExitUsage = 2,
    ExitUnclean = 3,
    ExitUnknown = 4,
};

/** Runs an entry instance; the arguments begin with the command's name. */
int runServe(const std::vector<std::string> &arguments);

/** Runs an entry instance on the users' platform, which tells it its settings. */
int runInstance(const std::vector<std::string> &arguments);

/** Sends operators' commands and prints the replies. */
int runCtl(const std::vector<std::string> &arguments);

/** Checks a configuration before it is sent, and compares it with the one in force. */
int runCheckConfig(const std::vector<std::string> &arguments);

/** Checks settings and tells every fault at once. */
int runCheckSettings(const std::vector<std::string> &arguments);

} // namespace godwitfall
