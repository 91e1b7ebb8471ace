#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <exception>

namespace cornelrelay::net {

/// \brief Completion handler of a coroutine that nothing waits for.
///
/// An exception that ends the coroutine leaves the run() of the event loop, whose owner logs it;
/// boost::asio::detached would drop it.
struct RethrowFailure {
  void operator()(const std::exception_ptr& failure) const {
    if (failure) std::rethrow_exception(failure);
  }
};

/// \brief Lets the exception leave the run() of the event loop while the caller goes on.
inline void RethrowLater(boost::asio::io_context& context, const std::exception_ptr& failure) {
  boost::asio::post(context, [failure] { std::rethrow_exception(failure); });
}

}  // namespace cornelrelay::net
