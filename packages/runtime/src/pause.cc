#include "cornelrelay/runtime/pause.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cornelrelay::runtime {

boost::asio::awaitable<void> Pause(boost::asio::io_context& context, core::Duration time) {
  boost::asio::steady_timer timer(context, time);
  boost::system::error_code ec;
  co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ec));
}

}  // namespace cornelrelay::runtime
