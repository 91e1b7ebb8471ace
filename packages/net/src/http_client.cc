#include "cornelrelay/net/http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <map>
#include <utility>
#include <vector>

#include "beast_convert.h"
#include "cornelrelay/net/errors.h"

namespace cornelrelay::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

auto Redirect(error_code& ec) { return asio::redirect_error(asio::use_awaitable, ec); }

/// A connection with the bytes already read from it.
struct Connection {
  explicit Connection(beast::tcp_stream s) : stream(std::move(s)) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
};

using ConnectionPtr = std::unique_ptr<Connection>;

/// Idle connections by peer.
class ConnectionPool {
 public:
  explicit ConnectionPool(std::size_t per_peer) : m_per_peer(per_peer) {}

  ConnectionPtr Take(const core::Endpoint& peer) {
    auto& idle = m_idle[peer];
    while (!idle.empty()) {
      ConnectionPtr connection = std::move(idle.back());
      idle.pop_back();
      if (IsQuiet(*connection)) return connection;
    }
    return nullptr;
  }

  void Return(const core::Endpoint& peer, ConnectionPtr connection) {
    auto& idle = m_idle[peer];
    if (idle.size() < m_per_peer) idle.push_back(std::move(connection));
  }

 private:
  // An idle connection with readable bytes was closed by the peer or is out of step.
  static bool IsQuiet(Connection& connection) {
    if (connection.buffer.size() != 0) return false;
    error_code ec;
    auto& socket = connection.stream.socket();
    socket.non_blocking(true, ec);
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec == asio::error::would_block;
  }

  std::size_t m_per_peer;
  std::map<core::Endpoint, std::vector<ConnectionPtr>> m_idle;
};

class Exchange : public HttpExchange {
 public:
  Exchange(core::Endpoint peer, ConnectionPtr connection, std::shared_ptr<ConnectionPool> pool,
           std::chrono::milliseconds timeout, const HttpClientLimits& limits)
      : m_peer(std::move(peer)),
        m_connection(std::move(connection)),
        m_pool(std::move(pool)),
        m_timeout(timeout),
        m_piece(limits.piece_bytes, '\0') {
    m_parser.header_limit(limits.head_bytes);
    m_parser.body_limit(boost::none);
  }

  asio::awaitable<void> SendRequest(HttpRequest request) override {
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    internal::CopyHeaders(request.headers, message);
    message.set(http::field::host, core::ToString(m_peer));
    message.body() = std::move(request.body);
    message.prepare_payload();
    if (request.method == "HEAD") m_parser.skip(true);
    error_code ec;
    m_connection->stream.expires_after(m_timeout);
    co_await http::async_write(m_connection->stream, message, Redirect(ec));
    if (ec) throw ExchangeBroken(m_peer, ec.message());
  }

  asio::awaitable<HttpResponseHead> ReadHead() override {
    error_code ec;
    m_connection->stream.expires_after(m_timeout);
    co_await http::async_read_header(m_connection->stream, m_connection->buffer, m_parser,
                                     Redirect(ec));
    if (ec) throw ExchangeBroken(m_peer, ec.message());
    co_return HttpResponseHead{static_cast<int>(m_parser.get().result_int()),
                               internal::ToHeaders(m_parser.get().base())};
  }

  asio::awaitable<std::optional<std::string>> ReadPiece() override {
    while (!m_parser.is_done()) {
      auto& body = m_parser.get().body();
      body.data = m_piece.data();
      body.size = m_piece.size();
      error_code ec;
      m_connection->stream.expires_after(m_timeout);
      co_await http::async_read_some(m_connection->stream, m_connection->buffer, m_parser,
                                     Redirect(ec));
      if (ec == http::error::need_buffer) ec = {};
      if (ec) throw ExchangeBroken(m_peer, ec.message());
      const std::size_t count = m_piece.size() - m_parser.get().body().size;
      if (count > 0) co_return m_piece.substr(0, count);
    }
    Release();
    co_return std::nullopt;
  }

  void Cancel() override {
    if (m_connection) m_connection->stream.close();
  }

 private:
  void Release() {
    if (!m_connection || !m_parser.get().keep_alive()) return;
    m_connection->stream.expires_never();
    m_pool->Return(m_peer, std::move(m_connection));
  }

  core::Endpoint m_peer;
  ConnectionPtr m_connection;
  std::shared_ptr<ConnectionPool> m_pool;
  std::chrono::milliseconds m_timeout;
  std::string m_piece;
  http::response_parser<http::buffer_body> m_parser;
};

}  // namespace

class HttpClient::Impl {
 public:
  Impl(asio::io_context& context, HttpClientLimits limits)
      : m_context(context),
        m_limits(limits),
        m_pool(std::make_shared<ConnectionPool>(limits.idle_connections_per_peer)) {}

  asio::awaitable<std::unique_ptr<HttpExchange>> Open(core::Endpoint peer, ConnectionUse use,
                                                      std::chrono::milliseconds timeout) {
    ConnectionPtr connection;
    if (use == ConnectionUse::kReuse) connection = m_pool->Take(peer);
    if (!connection) {
      connection = co_await Connect(peer);
    }
    co_return std::make_unique<Exchange>(std::move(peer), std::move(connection), m_pool, timeout,
                                         m_limits);
  }

 private:
  asio::awaitable<ConnectionPtr> Connect(const core::Endpoint& peer) {
    error_code ec;
    const auto address = asio::ip::make_address(peer.address, ec);
    if (ec) throw ConnectFailed(peer, ec.message());
    auto connection = std::make_unique<Connection>(beast::tcp_stream(m_context));
    connection->stream.expires_after(m_limits.connect_timeout);
    co_await connection->stream.async_connect(tcp::endpoint(address, peer.port), Redirect(ec));
    if (ec) throw ConnectFailed(peer, ec.message());
    connection->stream.socket().set_option(tcp::no_delay(true), ec);
    co_return connection;
  }

  asio::io_context& m_context;
  HttpClientLimits m_limits;
  std::shared_ptr<ConnectionPool> m_pool;
};

HttpClient::HttpClient(asio::io_context& context, HttpClientLimits limits)
    : m_impl(std::make_shared<Impl>(context, limits)) {}

HttpClient::~HttpClient() = default;

asio::awaitable<std::unique_ptr<HttpExchange>> HttpClient::Open(core::Endpoint peer,
                                                                ConnectionUse use,
                                                                std::chrono::milliseconds timeout) {
  const auto impl = m_impl;
  co_return co_await impl->Open(std::move(peer), use, timeout);
}

asio::awaitable<HttpResponse> HttpClient::Fetch(core::Endpoint peer, HttpRequest request,
                                                std::chrono::milliseconds timeout,
                                                std::size_t max_body) {
  auto exchange = co_await Open(peer, ConnectionUse::kFresh, timeout);
  co_await exchange->SendRequest(std::move(request));
  HttpResponseHead head = co_await exchange->ReadHead();
  HttpResponse response;
  response.status = head.status;
  response.headers = std::move(head.headers);
  while (true) {
    std::optional<std::string> piece = co_await exchange->ReadPiece();
    if (!piece) break;
    if (response.body.size() + piece->size() > max_body) {
      throw ExchangeBroken(peer, "response body exceeds its limit");
    }
    response.body += *piece;
  }
  co_return response;
}

}  // namespace cornelrelay::net
