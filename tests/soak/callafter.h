#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "clock.h"

namespace godwitfall::soak {

/** Calls back on the context's thread after the time. */
inline void callAfter(boost::asio::io_context &context, Duration time, std::function<void()> action)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(context);
    timer->expires_after(std::chrono::milliseconds(time.count()));
    timer->async_wait(
        [timer, action = std::move(action)](const boost::system::error_code &) { action(); });
}

} // namespace godwitfall::soak
