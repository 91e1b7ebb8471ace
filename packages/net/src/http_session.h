#pragma once

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/stream_traits.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdio>
#include <exception>
#include <memory>
#include <string>
#include <type_traits>
#include <utility>

#include "bad_input.h"
#include "beast_convert.h"
#include "cornelrelay/net/errors.h"
#include "cornelrelay/net/http_server.h"
#include "session_registry.h"
#include "stream_ends.h"
#include "transfer_coding.h"

namespace cornelrelay::net::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

/// \brief One server connection: reads requests in turn and runs the handler on each.
template <class Stream>
class HttpSession : public ResponseStream,
                    public SessionControl,
                    public std::enable_shared_from_this<HttpSession<Stream>> {
 public:
  HttpSession(Stream stream, std::shared_ptr<const HttpServerLimits> limits,
              HttpServer::Handler handler, std::shared_ptr<SessionRegistry> registry)
      : m_stream(std::move(stream)),
        m_limits(std::move(limits)),
        m_handler(std::move(handler)),
        m_registry(std::move(registry)),
        m_buffer(MaxBuffered()) {
    m_registry->Add(this);
  }
  ~HttpSession() override { m_registry->Remove(this); }
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  asio::awaitable<void> Run() {
    bool usable = co_await ServerHandshake(m_stream, m_limits->idle_timeout);
    while (usable && m_open) usable = co_await ServeOne();
    if (Lowest().socket().is_open()) co_await CloseGracefully(m_stream);
  }

  asio::awaitable<void> SendWhole(HttpResponse response) override {
    http::response<http::string_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(response.status));
    CopyHeaders(response.headers, message);
    message.body() = std::move(response.body);
    message.keep_alive(m_keep_alive && !m_registry->draining());
    message.prepare_payload();
    m_started = true;
    m_keep_alive = message.keep_alive();
    Lowest().expires_after(m_limits->write_timeout);
    error_code ec;
    if (m_head_only) {
      http::response_serializer<http::string_body> serializer(message);
      co_await http::async_write_header(m_stream, serializer, Redirect(ec));
    } else {
      co_await http::async_write(m_stream, message, Redirect(ec));
    }
    Lowest().expires_never();
    ThrowIfGone(ec);
  }

  asio::awaitable<void> StartStream(HttpResponseHead head) override {
    http::response<http::empty_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(head.status));
    CopyHeaders(head.headers, message);
    message.chunked(true);
    message.keep_alive(m_keep_alive && !m_registry->draining());
    m_keep_alive = message.keep_alive();
    m_started = true;
    http::response_serializer<http::empty_body> serializer(message);
    Lowest().expires_after(m_limits->write_timeout);
    error_code ec;
    co_await http::async_write_header(m_stream, serializer, Redirect(ec));
    ThrowIfGone(ec);
  }

  asio::awaitable<void> SendPiece(std::string_view piece) override {
    if (piece.empty()) co_return;
    std::array<char, 20> size_line{};
    const int length = std::snprintf(size_line.data(), size_line.size(), "%zx\r\n", piece.size());
    const std::array<asio::const_buffer, 3> buffers{
        asio::buffer(size_line.data(), static_cast<std::size_t>(length)),
        asio::buffer(piece.data(), piece.size()), asio::buffer("\r\n", 2)};
    Lowest().expires_after(m_limits->write_timeout);
    error_code ec;
    co_await asio::async_write(m_stream, buffers, Redirect(ec));
    ThrowIfGone(ec);
  }

  asio::awaitable<void> FinishStream() override {
    Lowest().expires_after(m_limits->write_timeout);
    error_code ec;
    co_await asio::async_write(m_stream, asio::buffer("0\r\n\r\n", 5), Redirect(ec));
    Lowest().expires_never();
    ThrowIfGone(ec);
  }

  void Abort() override {
    m_keep_alive = false;
    Close();
  }

  void NotifyGone(std::function<void()> on_gone) override { m_on_gone = std::move(on_gone); }
  bool Started() const override { return m_started; }

  void Close() override {
    m_open = false;
    error_code ec;
    Lowest().socket().close(ec);
  }
  // Bytes that wait in the kernel belong to a request that the caller has already sent.
  bool Busy() const override {
    error_code ec;
    return m_busy || m_buffer.size() > 0 ||
           beast::get_lowest_layer(m_stream).socket().available(ec) > 0;
  }

 private:
  using Parser = http::request_parser<http::string_body>;

  /// Bytes of pipelined requests that are read ahead while a request is in progress.
  static constexpr std::size_t kReadAhead = 16'384;
  static constexpr std::size_t kReadSize = 4'096;

  std::size_t MaxBuffered() const { return m_limits->head_bytes + kReadAhead + kReadSize; }

  static auto Redirect(error_code& ec) { return asio::redirect_error(asio::use_awaitable, ec); }

  beast::tcp_stream& Lowest() { return beast::get_lowest_layer(m_stream); }

  void ThrowIfGone(const error_code& ec) {
    if (!ec) return;
    m_open = false;
    throw CallerGone();
  }

  // Returns whether the connection can serve another request.
  asio::awaitable<bool> ServeOne() {
    const bool arriving = co_await AwaitFirstByte();
    if (!arriving) co_return false;
    m_busy = true;
    Parser parser;
    // Bounds the lines between the chunks of a body, which no limit of the parser covers.
    m_buffer.max_size(std::max(m_buffer.max_size(), MaxBuffered()));
    parser.header_limit(m_limits->head_bytes);
    parser.body_limit(m_limits->body_bytes);
    const std::optional<HttpResponse> fault = co_await ReadRequest(parser);
    if (fault) co_await AnswerBadInput(*fault);
    if (fault || !m_open) {
      m_busy = false;
      co_return false;
    }
    Lowest().expires_never();
    m_started = false;
    m_keep_alive = parser.get().keep_alive();
    m_head_only = parser.get().method() == http::verb::head;
    WatchForClose();
    auto& message = parser.get();
    HttpRequest request{std::string(message.method_string()), std::string(message.target()),
                        ToHeaders(message.base()), std::move(message.body())};
    bool gone = false;
    std::exception_ptr thrown;
    try {
      co_await m_handler(std::move(request), *this);
    } catch (const CallerGone&) {
      gone = true;
    } catch (...) {
      thrown = std::current_exception();
    }
    m_on_gone = nullptr;
    m_busy = false;
    ++m_watch;
    if (thrown) {
      // Ends this connection only; the owner of the event loop logs the reason.
      Close();
      std::rethrow_exception(thrown);
    }
    co_return !gone && m_open && m_keep_alive && !m_registry->draining();
  }

  // An idle connection and one in the middle of a head have different time limits.
  asio::awaitable<bool> AwaitFirstByte() {
    if (m_buffer.size() > 0) co_return true;
    Lowest().expires_after(m_limits->idle_timeout);
    error_code ec;
    const std::size_t count =
        co_await m_stream.async_read_some(m_buffer.prepare(kReadSize), Redirect(ec));
    m_buffer.commit(count);
    co_return !ec;
  }

  // Returns the answer to a request that cannot be read; closes a connection that deserves none.
  asio::awaitable<std::optional<HttpResponse>> ReadRequest(Parser& parser) {
    Lowest().expires_after(m_limits->head_timeout);
    error_code ec;
    co_await http::async_read_header(m_stream, m_buffer, parser, Redirect(ec));
    if (!ec && !HasKnownTransferCoding(parser.get())) co_return UnknownTransferCoding();
    if (!ec && !parser.is_done()) {
      Lowest().expires_after(m_limits->idle_timeout);
      if (parser.get()[http::field::expect] == "100-continue") {
        co_await asio::async_write(m_stream, asio::buffer("HTTP/1.1 100 Continue\r\n\r\n", 25),
                                   Redirect(ec));
      }
      if (!ec) co_await http::async_read(m_stream, m_buffer, parser, Redirect(ec));
    }
    if (!ec) co_return std::nullopt;
    std::optional<HttpResponse> answer = BadInputResponse(ec);
    if (!answer) m_open = false;
    co_return answer;
  }

  asio::awaitable<void> AnswerBadInput(HttpResponse response) {
    m_keep_alive = false;
    try {
      co_await SendWhole(response);
    } catch (const CallerGone&) {
      m_open = false;
    }
  }

  // While the handler runs nothing else reads from the socket, so a readable socket means end of
  // file or a pipelined request; only end of file counts as a caller that is gone.
  void WatchForClose() {
    auto self = this->shared_from_this();
    Lowest().socket().async_wait(asio::ip::tcp::socket::wait_read,
                                 [self, watch = ++m_watch](const error_code& ec) {
                                   if (!ec && self->m_watch == watch) self->OnReadable();
                                 });
  }

  void OnReadable() {
    auto& socket = Lowest().socket();
    error_code ec;
    socket.non_blocking(true, ec);
    std::size_t count = 0;
    if constexpr (std::is_same_v<Stream, beast::tcp_stream>) {
      if (m_buffer.size() >= kReadAhead) return;
      count = socket.receive(m_buffer.prepare(kReadSize), 0, ec);
      m_buffer.commit(count);
      if (count > 0 || ec == asio::error::would_block) return WatchForClose();
    } else {
      // The bytes of a TLS stream must stay in the kernel for its own layer.
      char byte = 0;
      count = socket.receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, ec);
      if (count > 0 || ec == asio::error::would_block) return;
    }
    m_open = false;
    if (const auto on_gone = std::exchange(m_on_gone, nullptr)) on_gone();
  }

  Stream m_stream;
  std::shared_ptr<const HttpServerLimits> m_limits;
  HttpServer::Handler m_handler;
  std::shared_ptr<SessionRegistry> m_registry;
  beast::flat_buffer m_buffer;
  std::function<void()> m_on_gone;
  std::uint64_t m_watch = 0;  ///< number of the current wait for the caller's close
  bool m_open = true;
  bool m_busy = false;
  bool m_started = false;
  bool m_keep_alive = true;
  bool m_head_only = false;  ///< the answer to a HEAD request has no body
};

}  // namespace cornelrelay::net::internal
