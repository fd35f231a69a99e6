#pragma once

#include <functional>
#include <string>

#include "httpclient.h"
#include "outbox.h"

namespace godwitfall {

/** Client of the platform's log service and instance list; all their HTTP calls are made here. */
class PlatformClient
{
public:
    struct Handlers
    {
        std::function<void(Stream, const Result<Offset> &)> appended;
        std::function<void(Stream, const Result<wire::ReadReply> &)> read;
        std::function<void(Instant requestedAt, const Result<wire::InstanceList> &)> list;
    };

    PlatformClient(HttpClient &client, std::string logAddress, std::string listAddress,
                   Handlers handlers);

    void append(Stream stream, const std::string &payload);
    void read(Stream stream, Offset from, std::size_t maxRecords, Duration wait);
    void fetchList(Instant requestedAt);

private:
    /** Parses the list; logs the entries that are left out. */
    Result<wire::InstanceList> decodeList(const Result<HttpResponse> &response) const;

    HttpClient &client;
    const std::string logAddress;
    const std::string listAddress;
    const Handlers handlers;
};

} // namespace godwitfall
