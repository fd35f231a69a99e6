#include "commands.h"

#include <algorithm>
#include <iostream>
#include <random>

#include <boost/asio/io_context.hpp>
#include <tclap/CmdLine.h>

#include "godwitfall.pb.h"
#include "httpclient.h"
#include "jsoncodec.h"
#include "settingsloader.h"

namespace godwitfall {

namespace {

constexpr unsigned okStatus = 200;
constexpr Duration replyTimeout(15000);

struct CtlOptions
{
    std::string address;
    std::string token;
    std::string author;
    std::string id;
    bool json = false;
};

std::string newId()
{
    std::random_device device;
    std::string id = "c-";
    for (int part = 0; part < 4; ++part) {
        constexpr const char *digits = "0123456789abcdef";
        for (unsigned bits = device(), nibble = 0; nibble < 8; ++nibble, bits >>= 4) {
            id += digits[bits & 15U];
        }
    }
    return id;
}

void printTable(const wire::CommandReply &reply)
{
    std::vector<std::size_t> widths;
    for (const std::string &column : reply.columns()) {
        widths.push_back(column.size());
    }
    for (const wire::Row &row : reply.rows()) {
        for (int index = 0; index < row.cells_size(); ++index) {
            auto &width = widths[static_cast<std::size_t>(index)];
            width = std::max(width, row.cells(index).size());
        }
    }
    const auto printRow = [&](const auto &cells) {
        for (int index = 0; index < cells.size(); ++index) {
            const std::string &cell = cells.Get(index);
            const std::size_t width = widths[static_cast<std::size_t>(index)];
            std::cout << cell << std::string(width - cell.size() + 2, ' ');
        }
        std::cout << "\n";
    };
    printRow(reply.columns());
    for (const wire::Row &row : reply.rows()) {
        printRow(row.cells());
    }
}

void printDecision(const wire::CommandReply &reply)
{
    const char *verdict = reply.verdict() == wire::DECIDED_ACCEPTED  ? "accepted"
                          : reply.verdict() == wire::DECIDED_REFUSED ? "refused"
                                                                     : "unknown";
    std::cout << verdict << " id=" << reply.id();
    if (reply.offset() > 0) {
        std::cout << " offset=" << reply.offset();
    }
    if (!reply.reason().empty()) {
        std::cout << " reason=\"" << reply.reason() << "\"";
    }
    if (!reply.winner().empty()) {
        std::cout << " winner=\"" << reply.winner() << "\"";
    }
    for (const std::string &place : reply.has_it()) {
        std::cout << " applied=\"" << place << "\"";
    }
    for (const std::string &place : reply.not_reached()) {
        std::cout << " not-reached=\"" << place << "\"";
    }
    std::cout << "\n";
}

int statusOf(wire::Verdict verdict)
{
    switch (verdict) {
    case wire::DECIDED_REFUSED:
        return ExitRefused;
    case wire::DECIDED_UNKNOWN:
        return ExitUnknown;
    default:
        return ExitOk;
    }
}

int runCommand(const CtlOptions &options, const std::string &text)
{
    wire::CommandRequest request;
    request.set_id(options.id.empty() ? newId() : options.id);
    request.set_text(text);
    HttpCall call;
    call.step = "command";
    call.address = options.address;
    call.target = "/v1/commands";
    call.headers = {{"Authorization", "Bearer " + options.token}, {"X-Operator", options.author}};
    call.body = toJson(request);
    call.timeout = replyTimeout;
    boost::asio::io_context context;
    HttpClient client(context);
    Result<HttpResponse> response = tl::unexpected(Error());
    client.call(call, [&](const Result<HttpResponse> &answer) { response = answer; });
    context.run();
    if (!response) {
        const bool unknown = response.error().fate == Fate::Unknown;
        std::cerr << (unknown ? "unknown" : "refused") << " id=" << request.id() << " "
                  << response.error().text()
                  << (unknown ? "; ask again with: status " + request.id() : "") << "\n";
        return unknown ? ExitUnknown : ExitRefused;
    }
    wire::CommandReply reply;
    if (response->status != okStatus || !fromJson(response->body, reply, "reply", call.address)) {
        std::cerr << "refused: HTTP " << response->status << " " << response->body;
        return ExitRefused;
    }
    if (options.json) {
        std::cout << response->body << "\n";
    } else if (reply.verdict() == wire::QUERY_ANSWER) {
        printTable(reply);
    } else {
        printDecision(reply);
    }
    return statusOf(reply.verdict());
}

std::string standard(const char *variable, const char *fallback)
{
    const std::string value = processEnvironment(variable);
    return value.empty() ? fallback : value;
}

} // namespace

int runCtl(const std::vector<std::string> &arguments)
{
    CtlOptions options;
    std::vector<std::string> words;
    try {
        TCLAP::CmdLine command(
            "Sends one command, or the lines of standard input when none is given. Exit status: 0 "
            "accepted or answered, 1 refused, 2 wrong usage, 4 unknown. The language stands in "
            "docs/operators/language.md.",
            ' ', "", true);
        command.setExceptionHandling(false);
        TCLAP::ValueArg<std::string> address(
            "a", "address", "Entry instance to ask (GODWITFALL_CTL_ADDRESS).", false,
            standard("GODWITFALL_CTL_ADDRESS", "127.0.0.1:8080"), "ip:port", command);
        TCLAP::ValueArg<std::string> author(
            "o", "operator", "Name for the audit trail (GODWITFALL_OPERATOR).", false,
            standard("GODWITFALL_OPERATOR", "operator"), "name", command);
        TCLAP::ValueArg<std::string> id(
            "i", "id", "Id of the command; one sent again gets the first decision.", false, "",
            "text", command);
        TCLAP::SwitchArg json("j", "json", "Prints replies as JSON.", command);
        TCLAP::UnlabeledMultiArg<std::string> text("command", "The command's words.", false, "word",
                                                   command);
        std::vector<std::string> all = arguments;
        command.parse(all);
        options = {address.getValue(), processEnvironment("GODWITFALL_OPERATOR_TOKEN"),
                   author.getValue(), id.getValue(), json.getValue()};
        words = text.getValue();
    } catch (const TCLAP::ExitException &ended) {
        return ended.getExitStatus();
    } catch (const TCLAP::ArgException &failure) {
        std::cerr << "godwitfall ctl: " << failure.argId() << ": " << failure.error() << "\n";
        return ExitUsage;
    }
    if (options.token.empty()) {
        std::cerr << "godwitfall ctl: set GODWITFALL_OPERATOR_TOKEN\n";
        return ExitUsage;
    }
    if (!words.empty()) {
        std::string line;
        for (const std::string &word : words) {
            line += (line.empty() ? "" : " ") + word;
        }
        return runCommand(options, line);
    }
    int worst = ExitOk;
    std::string line;
    while (std::getline(std::cin, line)) {
        if (!line.empty() && line.front() != '#') {
            worst = std::max(worst, runCommand(options, line));
        }
    }
    return worst;
}

} // namespace godwitfall
