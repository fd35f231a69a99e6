#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "httpserver.h"

namespace godwitfall::soak {

/** Calls back on the context's thread after the time. */
inline void callAfter(boost::asio::io_context &context, Duration time, std::function<void()> action)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(context);
    timer->expires_after(std::chrono::milliseconds(time.count()));
    timer->async_wait(
        [timer, action = std::move(action)](const boost::system::error_code &) { action(); });
}

/** Limits of the platform's servers, which take all connections. */
inline HttpLimits platformLimits()
{
    HttpLimits limits;
    limits.maxConnections = 20000;
    return limits;
}

/** Leaves a call without an answer, for longer than any caller waits. */
inline void abandonCall(boost::asio::io_context &context, const Respond &respond)
{
    HttpResponse dropped;
    dropped.status = dropConnection;
    callAfter(context, Duration(5000), [respond, dropped] { respond(dropped); });
}

} // namespace godwitfall::soak
