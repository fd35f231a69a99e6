#pragma once

#include <functional>
#include <memory>
#include <string>

#include "clock.h"
#include "error.h"
#include "httpmessage.h"

namespace boost::asio {
class io_context;
}

namespace godwitfall {

/** One call to a server. */
struct HttpCall
{
    std::string step; ///< What the call is for; errors carry it.
    std::string address;
    std::string method = "POST";
    std::string target;
    std::map<std::string, std::string> headers;
    std::string body;
    Duration timeout{5000};
    /** Asked just before the first byte is sent; when it says no, the call was not done. */
    std::function<bool()> stillWanted;
};

/**
 * Makes HTTP/1.1 calls over kept connections.
 *
 * An error says NotDone only when no byte of the request was sent. Call and result handlers run on
 * the context's thread.
 */
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &context);
    ~HttpClient();

    using Handler = std::function<void(const Result<HttpResponse> &)>;

    /** Starts the call; may be called from any thread. */
    void call(HttpCall call, Handler handler);

private:
    struct Shared;
    std::shared_ptr<Shared> shared;
};

} // namespace godwitfall
