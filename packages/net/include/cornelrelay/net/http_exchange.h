#pragma once

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

#include "cornelrelay/net/http_message.h"

namespace cornelrelay::net {

/// \brief One request that was sent and whose response is being read.
///
/// Destroying an exchange before its end closes the connection, which cancels the work upstream.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  /// \throws ExchangeBroken
  virtual boost::asio::awaitable<HttpResponseHead> ReadHead() = 0;

  /// \brief Next piece of the body, or nothing after its proven end.
  /// \throws ExchangeBroken also when the connection closes before the declared end
  virtual boost::asio::awaitable<std::optional<std::string>> ReadPiece() = 0;

  /// \brief Closes the connection; a pending read fails with ExchangeBroken.
  virtual void Cancel() = 0;
};

}  // namespace cornelrelay::net
