#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "connection_pool.h"
#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/net/http_client.h"
#include "cornelrelay/net/http_exchange.h"

namespace cornelrelay::net::internal {

/// \brief An exchange on a connection that goes back to its pool once the response has been read.
class PooledExchange : public HttpExchange {
 public:
  PooledExchange(core::Endpoint peer, ConnectionPtr connection,
                 std::shared_ptr<ConnectionPool> pool, ExchangeTimeouts timeouts,
                 const HttpClientLimits& limits);
  /// \brief Resets the connection of an unfinished exchange.
  ~PooledExchange() override { Reset(); }
  PooledExchange(const PooledExchange&) = delete;
  PooledExchange& operator=(const PooledExchange&) = delete;

  boost::asio::awaitable<void> SendRequest(HttpRequest request) override;
  boost::asio::awaitable<void> SendRequest(HttpRequest request, SharedBody body) override;
  boost::asio::awaitable<HttpResponseHead> ReadHead() override;
  boost::asio::awaitable<std::optional<std::string>> ReadPiece() override;
  boost::asio::awaitable<void> SkipResponse() override;
  void Cancel() override;

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  /// \brief Reads one head, interim or final, into the parser.
  boost::asio::awaitable<void> ParseHead();
  /// \brief Reads further bytes into the buffer of the connection.
  boost::asio::awaitable<boost::system::error_code> ReadMore();
  boost::asio::awaitable<std::string> ReadBody();
  void StartTimer();
  /// \brief Throws ExchangeBroken if `ec` is an error.
  void ThrowIfBroken(const boost::system::error_code& ec) const;
  /// \brief Throws ExchangeBroken if the head is none that another head may follow.
  void CheckInterimHead(int status) const;
  /// \brief Throws ExchangeBroken if only the end of a failed connection shows the response's end.
  void CheckEnd() const;
  void ResetParser();
  void Release();
  /// \brief Closes the connection so that the kernel discards what it has not sent yet.
  void Reset();

  core::Endpoint m_peer;
  ConnectionPtr m_connection;
  std::shared_ptr<ConnectionPool> m_pool;
  std::chrono::milliseconds m_silence_timeout;
  std::chrono::steady_clock::time_point m_end;  ///< when the whole exchange times out
  HttpClientLimits m_limits;
  std::string m_piece;
  std::optional<Parser> m_parser;
  std::size_t m_body_used = 0;  ///< bytes of the body that the parser has used
  bool m_written = false;       ///< the whole request was written
  bool m_head_only = false;
};

}  // namespace cornelrelay::net::internal
