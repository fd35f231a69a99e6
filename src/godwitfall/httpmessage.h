#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace godwitfall {

/** A request as it came in whole; header names are in lower case. */
struct HttpRequest
{
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;

    /** Returns the value of the header, or an empty text. */
    std::string header(const std::string &name) const
    {
        const auto found = this->headers.find(name);
        return found == this->headers.end() ? std::string() : found->second;
    }
};

/** Status of a response that closes the connection without an answer. */
constexpr unsigned dropConnection = 0;

/** A response to be sent, or as it came in. */
struct HttpResponse
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::map<std::string, std::string> headers;
    std::string body;
};

} // namespace godwitfall
