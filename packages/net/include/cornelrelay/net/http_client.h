#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <memory>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/net/exchange_timeouts.h"
#include "cornelrelay/net/http_exchange.h"
#include "cornelrelay/net/http_message.h"

namespace cornelrelay::net {

struct HttpClientLimits {
  std::chrono::milliseconds connect_timeout{1000};
  std::size_t idle_connections_per_peer = 64;
  /// How long a connection may be idle before its next use, if the peer does not say.
  std::chrono::milliseconds idle_time{30'000};
  /// The same for `ConnectionUse::kRecent`.
  std::chrono::milliseconds recent_idle_time{500};
  /// Limit of a head, and of a line between the chunks of a body. A connection buffers at most this
  /// and a piece.
  std::uint32_t head_bytes = 16'384;
  std::size_t piece_bytes = 16'384;
  /// Interim responses that are skipped before the final one. Servers send one or two.
  int interim_responses = 8;
  /// Body of a skipped response.
  std::size_t skipped_bytes = 262'144;
};

/// \brief HTTP/1.1 client with a pool of idle connections per peer.
///
/// \code
/// auto exchange = co_await client.Open(peer, HttpClient::ConnectionUse::kReuse, {5s, 30s});
/// co_await exchange->SendRequest(request);
/// const HttpResponseHead head = co_await exchange->ReadHead();
/// while (auto piece = co_await exchange->ReadPiece()) { ... }
/// \endcode
class HttpClient {
 public:
  enum class ConnectionUse {
    kReuse,   ///< may use an idle connection, which the peer may just have closed
    kRecent,  ///< may use a connection that was in use a moment ago
    kFresh,   ///< opens a connection, so that the peer was reachable a moment ago
  };

  HttpClient(boost::asio::io_context& context, HttpClientLimits limits);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// \brief Connects without sending anything.
  /// \throws ConnectFailed
  boost::asio::awaitable<std::unique_ptr<HttpExchange>> Open(core::Endpoint peer, ConnectionUse use,
                                                             ExchangeTimeouts timeouts);

  /// \brief Sends a request and reads the whole response of at most `max_body` bytes.
  /// \param timeout from the open connection to the end of the response
  /// \throws ConnectFailed, ExchangeBroken
  boost::asio::awaitable<HttpResponse> Fetch(core::Endpoint peer, HttpRequest request,
                                             std::chrono::milliseconds timeout,
                                             std::size_t max_body = 4'194'304,
                                             ConnectionUse use = ConnectionUse::kFresh);

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace cornelrelay::net
