#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <string_view>

#include "cornelrelay/net/http_message.h"

namespace cornelrelay::net {

/// \brief The response side of one server exchange.
///
/// Either `SendWhole` once, or `StartStream`, any number of `SendPiece`, then `FinishStream`. Each
/// call completes only when the kernel accepted the bytes, so a slow reader delays the sender
/// instead of growing a buffer. All calls throw CallerGone when the connection is lost.
class ResponseStream {
 public:
  virtual ~ResponseStream() = default;

  virtual boost::asio::awaitable<void> SendWhole(HttpResponse response) = 0;
  virtual boost::asio::awaitable<void> StartStream(HttpResponseHead head) = 0;
  virtual boost::asio::awaitable<void> SendPiece(std::string_view piece) = 0;
  virtual boost::asio::awaitable<void> FinishStream() = 0;

  /// \brief Closes the connection without completing the response, so the caller sees a broken
  /// body.
  virtual void Abort() = 0;

  /// \brief Calls `on_gone` at most once if the caller closes its connection.
  virtual void NotifyGone(std::function<void()> on_gone) = 0;

  virtual bool Started() const = 0;
};

}  // namespace cornelrelay::net
