#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "cornelrelay/core/time.h"

namespace cornelrelay::runtime {

/// \brief Suspends the calling coroutine; returns at once for a negative time.
///
/// \code
/// co_await Pause(context, std::chrono::milliseconds(20));
/// \endcode
boost::asio::awaitable<void> Pause(boost::asio::io_context& context, core::Duration time);

}  // namespace cornelrelay::runtime
