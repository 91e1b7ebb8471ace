#include "cornelrelay/net/http_client.h"

#include <netinet/tcp.h>

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
#include <charconv>
#include <map>
#include <string_view>
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

using SteadyClock = std::chrono::steady_clock;

/// Data that a vanished peer does not acknowledge for this long breaks the connection.
constexpr int kUserTimeoutMs = 3'000;
/// Share of the peer's announced idle time that is used, as the peer counts it from earlier on.
constexpr double kIdleShare = 0.7;
constexpr int kFirstFinalStatus = 200;

/// A connection with the bytes already read from it.
struct Connection {
  explicit Connection(beast::tcp_stream s) : stream(std::move(s)) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  SteadyClock::time_point idle_since{};
  SteadyClock::time_point usable_until{};
};

using ConnectionPtr = std::unique_ptr<Connection>;

/// Idle connections by peer.
class ConnectionPool {
 public:
  explicit ConnectionPool(const HttpClientLimits& limits) : m_limits(limits) {}

  ConnectionPtr Take(const core::Endpoint& peer, HttpClient::ConnectionUse use) {
    auto& idle = m_idle[peer];
    const auto now = SteadyClock::now();
    while (!idle.empty()) {
      ConnectionPtr connection = std::move(idle.back());
      idle.pop_back();
      if (now >= connection->usable_until || !IsQuiet(*connection)) continue;
      const bool recent = now - connection->idle_since < m_limits.recent_idle_time;
      if (use == HttpClient::ConnectionUse::kReuse || recent) return connection;
    }
    return nullptr;
  }

  void Return(const core::Endpoint& peer, ConnectionPtr connection,
              std::optional<std::chrono::milliseconds> announced) {
    connection->idle_since = SteadyClock::now();
    connection->usable_until = connection->idle_since + announced.value_or(m_limits.idle_time);
    auto& idle = m_idle[peer];
    std::erase_if(idle, [&](const ConnectionPtr& other) {
      return connection->idle_since >= other->usable_until;
    });
    if (idle.size() < m_limits.idle_connections_per_peer) idle.push_back(std::move(connection));
  }

  void Forget(const core::Endpoint& peer) { m_idle.erase(peer); }

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

  HttpClientLimits m_limits;
  std::map<core::Endpoint, std::vector<ConnectionPtr>> m_idle;
};

// The `timeout` parameter of a Keep-Alive header, in whole seconds.
std::optional<std::chrono::milliseconds> AnnouncedIdleTime(std::string_view keep_alive) {
  constexpr std::string_view kTimeout = "timeout=";
  const auto at = keep_alive.find(kTimeout);
  if (at == std::string_view::npos) return std::nullopt;
  const std::string_view digits = keep_alive.substr(at + kTimeout.size());
  std::uint32_t seconds = 0;
  const auto [rest, status] =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (status != std::errc()) return std::nullopt;
  return std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000.0 * kIdleShare));
}

class Exchange : public HttpExchange {
 public:
  Exchange(core::Endpoint peer, ConnectionPtr connection, std::shared_ptr<ConnectionPool> pool,
           std::chrono::milliseconds timeout, const HttpClientLimits& limits)
      : m_peer(std::move(peer)),
        m_connection(std::move(connection)),
        m_pool(std::move(pool)),
        m_timeout(timeout),
        m_head_bytes(limits.head_bytes),
        m_piece(limits.piece_bytes, '\0') {
    ResetParser();
  }

  asio::awaitable<void> SendRequest(HttpRequest request) override {
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    internal::CopyHeaders(request.headers, message);
    if (message.find(http::field::host) == message.end()) {
      message.set(http::field::host, core::ToString(m_peer));
    }
    message.body() = std::move(request.body);
    message.prepare_payload();
    m_head_only = request.method == "HEAD";
    if (m_head_only) m_parser->skip(true);
    error_code ec;
    m_connection->stream.expires_after(m_timeout);
    co_await http::async_write(m_connection->stream, message, Redirect(ec));
    m_written = !ec;
  }

  asio::awaitable<HttpResponseHead> ReadHead() override {
    while (true) {
      error_code ec;
      m_connection->stream.expires_after(m_timeout);
      co_await http::async_read_header(m_connection->stream, m_connection->buffer, *m_parser,
                                       Redirect(ec));
      if (ec) throw ExchangeBroken(m_peer, ec.message());
      if (m_parser->get().result_int() >= kFirstFinalStatus) break;
      ResetParser();
    }
    co_return HttpResponseHead{static_cast<int>(m_parser->get().result_int()),
                               internal::ToHeaders(m_parser->get().base())};
  }

  asio::awaitable<std::optional<std::string>> ReadPiece() override {
    while (!m_parser->is_done()) {
      std::string piece = co_await ReadBody();
      if (!piece.empty()) co_return piece;
    }
    Release();
    co_return std::nullopt;
  }

  asio::awaitable<void> SkipResponse() override {
    if (!m_parser->get().keep_alive()) {
      throw ExchangeBroken(m_peer, "the connection ends with a response to another request");
    }
    while (!m_parser->is_done()) {
      co_await ReadBody();
    }
    ResetParser();
  }

  void Cancel() override {
    if (m_connection) m_connection->stream.close();
  }

 private:
  using Parser = http::response_parser<http::buffer_body>;

  asio::awaitable<std::string> ReadBody() {
    auto& body = m_parser->get().body();
    body.data = m_piece.data();
    body.size = m_piece.size();
    error_code ec;
    m_connection->stream.expires_after(m_timeout);
    co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser,
                                   Redirect(ec));
    if (ec == http::error::need_buffer) ec = {};
    if (ec) throw ExchangeBroken(m_peer, ec.message());
    co_return m_piece.substr(0, m_piece.size() - m_parser->get().body().size);
  }

  void ResetParser() {
    m_parser.emplace();
    m_parser->header_limit(m_head_bytes);
    m_parser->body_limit(boost::none);
    if (m_head_only) m_parser->skip(true);
  }

  void Release() {
    // The rest of a request that is not fully written would be taken for the next one.
    if (!m_connection || !m_written || !m_parser->get().keep_alive()) return;
    m_connection->stream.expires_never();
    const auto announced = m_parser->get().find(http::field::keep_alive);
    const bool has = announced != m_parser->get().end();
    m_pool->Return(m_peer, std::move(m_connection),
                   has ? AnnouncedIdleTime(announced->value()) : std::nullopt);
  }

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

}  // namespace

class HttpClient::Impl {
 public:
  Impl(asio::io_context& context, HttpClientLimits limits)
      : m_context(context), m_limits(limits), m_pool(std::make_shared<ConnectionPool>(limits)) {}

  void Forget(const core::Endpoint& peer) { m_pool->Forget(peer); }

  asio::awaitable<std::unique_ptr<HttpExchange>> Open(core::Endpoint peer, ConnectionUse use,
                                                      std::chrono::milliseconds timeout) {
    ConnectionPtr connection;
    if (use != ConnectionUse::kFresh) connection = m_pool->Take(peer, use);
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
    auto& socket = connection->stream.socket();
    socket.set_option(tcp::no_delay(true), ec);
    socket.set_option(
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(kUserTimeoutMs), ec);
    co_return connection;
  }

  asio::io_context& m_context;
  HttpClientLimits m_limits;
  std::shared_ptr<ConnectionPool> m_pool;
};

HttpClient::HttpClient(asio::io_context& context, HttpClientLimits limits)
    : m_impl(std::make_shared<Impl>(context, limits)) {}

HttpClient::~HttpClient() = default;

void HttpClient::Forget(const core::Endpoint& peer) { m_impl->Forget(peer); }

asio::awaitable<std::unique_ptr<HttpExchange>> HttpClient::Open(core::Endpoint peer,
                                                                ConnectionUse use,
                                                                std::chrono::milliseconds timeout) {
  const auto impl = m_impl;
  co_return co_await impl->Open(std::move(peer), use, timeout);
}

asio::awaitable<HttpResponse> HttpClient::Fetch(core::Endpoint peer, HttpRequest request,
                                                std::chrono::milliseconds timeout,
                                                std::size_t max_body, ConnectionUse use) {
  auto exchange = co_await Open(peer, use, timeout);
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
