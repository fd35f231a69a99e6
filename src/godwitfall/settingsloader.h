#pragma once

#include <functional>
#include <string>
#include <vector>

#include "settings.pb.h"

namespace godwitfall {

/** Settings, or all that is wrong with them. */
struct LoadedSettings
{
    wire::Settings settings;
    std::vector<std::string> faults; ///< One line each: name, value, what is allowed, unit.
    std::string help;                ///< Filled when the arguments ask for help.
};

/** Returns the value of an environment variable, or an empty text. */
using Environment = std::function<std::string(const std::string &name)>;

/**
 * Reads settings from flags, then environment variables, then the schema's defaults, and checks
 * all.
 *
 * The first argument is the name of the command.
 */
LoadedSettings loadSettings(const std::vector<std::string> &arguments,
                            const Environment &environment);

/** Returns the reference page of all settings, in Markdown, made from the schema. */
std::string settingsReference();

/** Returns the environment variable of the process, or an empty text. */
std::string processEnvironment(const std::string &name);

} // namespace godwitfall
