#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

#include "cornelrelay/net/http_message.h"
#include "cornelrelay/net/shared_body.h"

namespace cornelrelay::net {

/// \brief One request and its response on one connection.
///
/// Destroying an exchange before its end resets the connection, which cancels the work upstream.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  /// \brief Sends the whole request; after a failure the peer may have received it.
  ///
  /// A peer may answer and close before it has read a long body. A failed write is therefore only
  /// reported by ReadHead(), if no response has arrived, or by ReadPiece(), at the end of a
  /// response that ends with its connection. \throws ConnectFailed if the connection was lost
  /// before the kernel accepted the first byte
  virtual boost::asio::awaitable<void> SendRequest(HttpRequest request) = 0;
  /// \brief The same with `body` as the body, which is not copied.
  virtual boost::asio::awaitable<void> SendRequest(HttpRequest request, SharedBody body) = 0;

  /// \brief Head of the final response; interim responses are skipped.
  /// \throws ExchangeBroken
  virtual boost::asio::awaitable<HttpResponseHead> ReadHead() = 0;

  /// \brief Reads and drops the current response, so that ReadHead() gives the next one on the same
  /// connection.
  /// \throws ExchangeBroken also when the response has no end but that of the connection
  virtual boost::asio::awaitable<void> SkipResponse() = 0;

  /// \brief Next piece of the body, or nothing after its proven end.
  /// \throws ExchangeBroken also when the connection closes before the declared end
  virtual boost::asio::awaitable<std::optional<std::string>> ReadPiece() = 0;

  /// \brief Resets the connection; a pending read fails with ExchangeBroken.
  virtual void Cancel() = 0;
};

}  // namespace cornelrelay::net
