#include "commands.h"

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

#include "configcheck.h"
#include "platform/codec.h"

namespace godwitfall {

namespace {

constexpr const char *usage = "usage: godwitfall check-config FILE [--against FILE]\n"
                              "exit status: 0 in order, 1 findings, 2 a file can't be read\n";

std::optional<std::string> readFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text(std::istreambuf_iterator<char>(file), {});
    if (!file.is_open() || file.bad()) {
        std::cerr << "godwitfall: " << path << " can't be read\n";
        return std::nullopt;
    }
    return text;
}

} // namespace

int runCheckConfig(const std::vector<std::string> &arguments)
{
    if (arguments.size() == 2 && arguments[1] == "--help") {
        std::cout << usage;
        return ExitOk;
    }
    const bool compares = arguments.size() == 4 && arguments[2] == "--against";
    if (arguments.size() != 2 && !compares) {
        std::cerr << usage;
        return ExitUsage;
    }
    const auto text = readFile(arguments[1]);
    const auto textInForce = compares ? readFile(arguments[3]) : std::string();
    if (!text || !textInForce) {
        return ExitUsage;
    }
    const Result<JobConfig> config = platform::parseConfig(*text);
    if (!config) {
        std::cout << "error: " << config.error().detail << "\n";
        return ExitRefused;
    }
    std::vector<std::string> findings = configFindings(*config);
    if (compares) {
        const Result<JobConfig> inForce = platform::parseConfig(*textInForce);
        if (!inForce) {
            std::cerr << "godwitfall: " << arguments[3] << ": " << inForce.error().detail << "\n";
            return ExitUsage;
        }
        for (const std::string &change : configChanges(*inForce, *config)) {
            std::cout << "change: " << change << "\n";
        }
        if (config->version <= inForce->version) {
            findings.push_back("version: " + std::to_string(config->version) +
                               " is not above the one in force, " +
                               std::to_string(inForce->version) + "; it never takes effect");
        }
    }
    for (const std::string &finding : findings) {
        std::cout << "finding: " << finding << "\n";
    }
    return findings.empty() ? ExitOk : ExitRefused;
}

} // namespace godwitfall
