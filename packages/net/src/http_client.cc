#include "cornelrelay/net/http_client.h"

#include <netinet/tcp.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <utility>

#include "cornelrelay/net/errors.h"
#include "pooled_exchange.h"

namespace cornelrelay::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Data that a vanished peer does not acknowledge for this long breaks the connection.
constexpr int kUserTimeoutMs = 3'000;

}  // namespace

class HttpClient::Impl {
 public:
  Impl(asio::io_context& context, HttpClientLimits limits)
      : m_context(context),
        m_limits(limits),
        m_pool(std::make_shared<internal::ConnectionPool>(limits)) {}

  asio::awaitable<std::unique_ptr<HttpExchange>> Open(core::Endpoint peer, ConnectionUse use,
                                                      ExchangeTimeouts timeouts) {
    internal::ConnectionPtr connection;
    if (use != ConnectionUse::kFresh) connection = m_pool->Take(peer, use);
    if (!connection) {
      connection = co_await Connect(peer);
    }
    co_return std::make_unique<internal::PooledExchange>(std::move(peer), std::move(connection),
                                                         m_pool, timeouts, m_limits);
  }

 private:
  asio::awaitable<internal::ConnectionPtr> Connect(const core::Endpoint& peer) {
    error_code ec;
    const auto address = asio::ip::make_address(peer.address, ec);
    if (ec) throw ConnectFailed(peer, ec.message());
    auto connection = std::make_unique<internal::PooledConnection>(
        boost::beast::tcp_stream(m_context), m_limits.head_bytes + m_limits.piece_bytes);
    connection->stream.expires_after(m_limits.connect_timeout);
    co_await connection->stream.async_connect(tcp::endpoint(address, peer.port),
                                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      throw ConnectFailed(peer, ec.message(), ec == boost::system::errc::connection_refused);
    }
    auto& socket = connection->stream.socket();
    socket.set_option(tcp::no_delay(true), ec);
    socket.set_option(
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(kUserTimeoutMs), ec);
    co_return connection;
  }

  asio::io_context& m_context;
  HttpClientLimits m_limits;
  std::shared_ptr<internal::ConnectionPool> m_pool;
};

HttpClient::HttpClient(asio::io_context& context, HttpClientLimits limits)
    : m_impl(std::make_shared<Impl>(context, limits)) {}

HttpClient::~HttpClient() = default;

asio::awaitable<std::unique_ptr<HttpExchange>> HttpClient::Open(core::Endpoint peer,
                                                                ConnectionUse use,
                                                                ExchangeTimeouts timeouts) {
  const auto impl = m_impl;
  co_return co_await impl->Open(std::move(peer), use, timeouts);
}

asio::awaitable<HttpResponse> HttpClient::Fetch(core::Endpoint peer, HttpRequest request,
                                                std::chrono::milliseconds timeout,
                                                std::size_t max_body, ConnectionUse use) {
  auto exchange = co_await Open(peer, use, {timeout, timeout});
  co_await exchange->SendRequest(std::move(request));
  HttpResponseHead head = co_await exchange->ReadHead();
  HttpResponse response;
  response.status = head.status;
  response.headers = std::move(head.headers);
  while (true) {
    std::optional<std::string> piece = co_await exchange->ReadPiece();
    if (!piece) break;
    if (response.body.size() + piece->size() > max_body) {
      throw ExchangeBroken(peer, BreakCause::kBodyTooLarge, "the body exceeds its limit");
    }
    response.body += *piece;
  }
  co_return response;
}

}  // namespace cornelrelay::net
