#include "pooled_exchange.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include "beast_convert.h"
#include "cornelrelay/net/errors.h"
#include "put_body.h"
#include "transfer_coding.h"

namespace cornelrelay::net::internal {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

/// Share of the peer's announced idle time that is used, as the peer counts it from earlier on.
constexpr double kIdleShare = 0.7;
// Statuses and their limits (RFC 9110, section 15).
constexpr int kFirstStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;

auto Redirect(error_code& ec) { return asio::redirect_error(asio::use_awaitable, ec); }

BreakCause CauseOf(const error_code& ec) {
  if (ec == boost::beast::error::timeout) return BreakCause::kTimeout;
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
    return BreakCause::kHeadTooLarge;
  }
  if (ec == http::error::end_of_stream || ec == http::error::partial_message ||
      ec.category() != http::make_error_code(http::error::bad_method).category()) {
    return BreakCause::kConnection;
  }
  return BreakCause::kMalformed;
}

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

std::string_view BytesOf(const boost::beast::flat_buffer& buffer) {
  const auto data = buffer.data();
  return {static_cast<const char*>(data.data()), data.size()};
}

// Whether a line of a head begins with a blank. The parser would join it to the field before it,
// and a length in it would be lost. `bytes` begin with a line of the head or with its end, and may
// go on with a body.
bool HasFoldedLine(std::string_view bytes) {
  constexpr std::string_view kLineEnd = "\r\n";
  if (bytes.starts_with(kLineEnd)) return false;
  for (auto at = bytes.find(kLineEnd); at != std::string_view::npos;
       at = bytes.find(kLineEnd, at + kLineEnd.size())) {
    const std::string_view next = bytes.substr(at + kLineEnd.size());
    if (next.starts_with(' ') || next.starts_with('\t')) return true;
    if (next.starts_with('\r')) return false;
  }
  return false;
}

}  // namespace

PooledExchange::PooledExchange(core::Endpoint peer, ConnectionPtr connection,
                               std::shared_ptr<ConnectionPool> pool, ExchangeTimeouts timeouts,
                               const HttpClientLimits& limits)
    : m_peer(std::move(peer)),
      m_connection(std::move(connection)),
      m_pool(std::move(pool)),
      m_silence_timeout(timeouts.silence),
      m_end(std::chrono::steady_clock::now() + timeouts.total),
      m_limits(limits),
      m_piece(limits.piece_bytes, '\0') {
  ResetParser();
}

asio::awaitable<void> PooledExchange::SendRequest(HttpRequest request) {
  SharedBody body(std::move(request.body));
  co_await SendRequest(std::move(request), std::move(body));
}

asio::awaitable<void> PooledExchange::SendRequest(HttpRequest request, SharedBody body) {
  http::request<http::span_body<const char>> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  CopyHeaders(request.headers, message);
  if (message.find(http::field::host) == message.end()) {
    message.set(http::field::host, core::ToString(m_peer));
  }
  message.body() = {body.view().data(), body.size()};
  message.prepare_payload();
  m_head_only = request.method == "HEAD";
  if (m_head_only) m_parser->skip(true);
  error_code ec;
  StartTimer();
  const std::size_t written =
      co_await http::async_write(m_connection->stream, message, Redirect(ec));
  m_written = !ec;
  if (ec && written == 0) throw ConnectFailed(m_peer, ec.message());
}

asio::awaitable<HttpResponseHead> PooledExchange::ReadHead() {
  for (int heads = 0; heads <= m_limits.interim_responses; ++heads) {
    co_await ParseHead();
    const auto status = static_cast<int>(m_parser->get().result_int());
    if (status < kFirstStatus || status > kLastStatus) {
      throw ExchangeBroken(m_peer, BreakCause::kMalformed,
                           "status " + std::to_string(status) + " is invalid");
    }
    if (status >= kFirstFinalStatus) {
      if (!HasKnownTransferCoding(m_parser->get().base())) {
        throw ExchangeBroken(m_peer, BreakCause::kMalformed, "unknown transfer coding");
      }
      co_return HttpResponseHead{status, ToHeaders(m_parser->get().base())};
    }
    CheckInterimHead(status);
    ResetParser();
  }
  throw ExchangeBroken(m_peer, BreakCause::kTooManyHeads, "too many interim responses");
}

// http::async_read_header would leave no moment to look at the lines before the parser joins them.
asio::awaitable<void> PooledExchange::ParseHead() {
  auto& buffer = m_connection->buffer;
  while (!m_parser->is_header_done()) {
    error_code ec = http::error::need_more;
    if (buffer.size() > 0) {
      if (HasFoldedLine(BytesOf(buffer))) {
        throw ExchangeBroken(m_peer, BreakCause::kMalformed, "a line of the head is folded");
      }
      buffer.consume(m_parser->put(buffer.data(), ec));
    }
    if (ec == http::error::need_more) {
      StartTimer();
      ec = co_await ReadMore();
    }
    ThrowIfBroken(ec);
  }
}

asio::awaitable<error_code> PooledExchange::ReadMore() {
  auto& buffer = m_connection->buffer;
  const std::size_t room = boost::beast::read_size(buffer, m_limits.piece_bytes);
  if (room == 0) co_return http::error::buffer_overflow;
  error_code ec;
  const std::size_t count =
      co_await m_connection->stream.async_read_some(buffer.prepare(room), Redirect(ec));
  buffer.commit(count);
  co_return ec;
}

asio::awaitable<std::optional<std::string>> PooledExchange::ReadPiece() {
  while (!m_parser->is_done()) {
    std::string piece = co_await ReadBody();
    if (!piece.empty()) co_return piece;
  }
  CheckEnd();
  Release();
  co_return std::nullopt;
}

asio::awaitable<void> PooledExchange::SkipResponse() {
  if (!m_parser->get().keep_alive()) {
    throw ExchangeBroken(m_peer, BreakCause::kUnexpected,
                         "the connection ends with a response to another request");
  }
  for (std::size_t skipped = 0; !m_parser->is_done();) {
    const std::string piece = co_await ReadBody();
    skipped += piece.size();
    if (skipped > m_limits.skipped_bytes) {
      throw ExchangeBroken(m_peer, BreakCause::kBodyTooLarge,
                           "a response to another request exceeds its limit");
    }
  }
  ResetParser();
}

void PooledExchange::Cancel() { Reset(); }

// A closed connection still delivers what its kernel holds, even seconds later when a cut link is
// back. The peer would then begin a request that nobody waits for.
void PooledExchange::Reset() {
  if (!m_connection || m_parser->is_done()) return;
  error_code ec;
  auto& socket = m_connection->stream.socket();
  if (!socket.is_open()) return;
  socket.set_option(asio::socket_base::linger(true, 0), ec);
  m_connection->stream.close();
}

void PooledExchange::StartTimer() {
  m_connection->stream.expires_at(
      std::min(std::chrono::steady_clock::now() + m_silence_timeout, m_end));
}

void PooledExchange::ThrowIfBroken(const error_code& ec) const {
  if (ec) throw ExchangeBroken(m_peer, CauseOf(ec), ec.message());
}

// What follows an interim response is read as the next head, so it must be one.
void PooledExchange::CheckInterimHead(int status) const {
  const auto& head = m_parser->get();
  const bool has_body = m_parser->content_length().value_or(0) > 0 ||
                        head.find(http::field::transfer_encoding) != head.end();
  if (status != kSwitchingProtocols && !has_body) return;
  throw ExchangeBroken(m_peer, BreakCause::kUnexpected,
                       "interim response " + std::to_string(status) +
                           (has_body ? " announces a body" : " was not asked for"));
}

// On Linux, a write that fails takes the error of a reset from the socket, and the reads after it
// report a regular end of the connection.
void PooledExchange::CheckEnd() const {
  if (m_written || !m_parser->need_eof()) return;
  throw ExchangeBroken(m_peer, BreakCause::kConnection,
                       "the connection ended during the request, but not the response");
}

asio::awaitable<std::string> PooledExchange::ReadBody() {
  auto& body = m_parser->get().body();
  body.data = m_piece.data();
  body.size = m_piece.size();
  StartTimer();
  error_code ec;
  bool waits = true;
  while (waits) {
    m_body_used += PutBody(*m_parser, m_connection->buffer, m_body_used, ec);
    waits = ec == http::error::need_more;
    if (waits) {
      ec = co_await ReadMore();
    }
    if (ec == asio::error::eof) {
      waits = false;
      m_parser->put_eof(ec);
    }
    if (ec == http::error::need_buffer) ec = {};
    ThrowIfBroken(ec);
  }
  co_return m_piece.substr(0, m_piece.size() - m_parser->get().body().size);
}

void PooledExchange::ResetParser() {
  m_parser.emplace();
  m_body_used = 0;
  m_parser->header_limit(m_limits.head_bytes);
  m_parser->body_limit(boost::none);
  if (m_head_only) m_parser->skip(true);
}

void PooledExchange::Release() {
  // The rest of a request that is not fully written would be taken for the next one.
  if (!m_connection || !m_written || !m_parser->get().keep_alive()) return;
  m_connection->stream.expires_never();
  const auto announced = m_parser->get().find(http::field::keep_alive);
  const bool has = announced != m_parser->get().end();
  m_pool->Return(m_peer, std::move(m_connection),
                 has ? AnnouncedIdleTime(announced->value()) : std::nullopt);
}

}  // namespace cornelrelay::net::internal
