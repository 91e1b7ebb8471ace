#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
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
  /// \param timeout bound on each read or write
  PooledExchange(core::Endpoint peer, ConnectionPtr connection,
                 std::shared_ptr<ConnectionPool> pool, std::chrono::milliseconds timeout,
                 const HttpClientLimits& limits);

  boost::asio::awaitable<void> SendRequest(HttpRequest request) override;
  boost::asio::awaitable<HttpResponseHead> ReadHead() override;
  boost::asio::awaitable<std::optional<std::string>> ReadPiece() override;
  boost::asio::awaitable<void> SkipResponse() override;
  void Cancel() override;

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  boost::asio::awaitable<std::string> ReadBody();
  void ResetParser();
  void Release();

  core::Endpoint m_peer;
  ConnectionPtr m_connection;
  std::shared_ptr<ConnectionPool> m_pool;
  std::chrono::milliseconds m_timeout;
  std::uint32_t m_head_bytes;
  std::string m_piece;
  std::optional<Parser> m_parser;
  bool m_written = false;
  bool m_head_only = false;
};

}  // namespace cornelrelay::net::internal
