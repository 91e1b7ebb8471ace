#pragma once

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
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
#include <boost/scope_exit.hpp>
#include <cstdio>
#include <exception>
#include <iterator>
#include <memory>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include "bad_input.h"
#include "beast_convert.h"
#include "cornelrelay/net/errors.h"
#include "cornelrelay/net/http_server.h"
#include "put_body.h"
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
        m_buffer(MaxBuffered()),
        m_memory_timer(m_stream.get_executor()) {
    error_code ec;
    m_address = Lowest().socket().remote_endpoint(ec).address();
    m_id = m_registry->Add(this);
  }
  ~HttpSession() override { m_registry->Remove(this, m_id); }
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
  bool Reading() const override { return m_reading; }
  Clock::time_point last_progress() const override { return m_last_progress; }
  const asio::ip::address& address() const override { return m_address; }
  void EndRequest() override {
    m_ended = true;
    m_memory_timer.cancel();
    Lowest().cancel();
  }

 private:
  using Parser = http::request_parser<http::string_body>;
  using Clock = SessionControl::Clock;

  /// Bytes of pipelined requests that are read ahead while a request is in progress.
  static constexpr std::size_t kReadAhead = 16'384;
  static constexpr std::size_t kReadSize = 4'096;
  static constexpr std::size_t kBodyReadSize = 32'768;
  /// Bytes of a chunked body beyond its payload that are allowed whatever its size, and for each
  /// byte of payload. Chunks of one byte stay inside; chunk extensions and padded sizes do not.
  static constexpr std::size_t kChunkOverhead = 65'536;
  static constexpr std::size_t kChunkOverheadPerByte = 5;
  /// How often and how long a body waits in the kernel for memory before it is refused: one second
  /// in all, twice the time after which unfinished bodies are ended in its favour.
  static constexpr int kMemoryAttempts = 5;
  static constexpr std::chrono::milliseconds kMemoryWait{200};

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
    m_reading = true;
    m_ended = false;
    NoteProgress();
    // Also when the handler throws.
    BOOST_SCOPE_EXIT_ALL(this) {
      m_reading = false;
      NoteProgress();
      m_registry->Release(m_id);
      if (m_buffer.size() == 0) m_buffer.shrink_to_fit();
    };
    Parser parser;
    // Bounds the lines between the chunks of a body, which no limit of the parser covers.
    m_buffer.max_size(std::max(m_buffer.max_size(), MaxBuffered()));
    parser.header_limit(m_limits->head_bytes);
    parser.body_limit(m_limits->body_bytes);
    const std::optional<HttpResponse> fault = co_await ReadRequest(parser);
    m_reading = false;
    if (fault) co_await AnswerBadInput(*fault);
    if (fault || !m_open) {
      m_busy = false;
      co_return false;
    }
    Lowest().expires_never();
    m_registry->NoteComplete(m_id);
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
    if (!HasWholeHead() && !m_registry->Hold(m_id, limits::CallerBytes::kHead, MaxBuffered())) {
      m_registry->Note(CallerLimit::kHeadMemory);
      co_return MemoryRefusal();
    }
    co_await http::async_read_header(m_stream, m_buffer, parser, Redirect(ec));
    if (m_ended) {
      m_registry->Note(CallerLimit::kHeadMemory);
      co_return MemoryRefusal();
    }
    m_registry->Release(m_id);
    NoteProgress();
    if (ec == beast::error::timeout) m_registry->Note(CallerLimit::kHeadTimeout);
    if (!ec && !HasKnownTransferCoding(parser.get())) co_return UnknownTransferCoding();
    if (!ec && m_limits->head_fields > 0 && FieldCount(parser) > m_limits->head_fields) {
      m_registry->Note(CallerLimit::kHeadFields);
      co_return TypedError(431, "too_many_fields", "the request head has too many fields");
    }
    if (!ec && !parser.is_done()) {
      std::optional<HttpResponse> refusal = co_await ReadBody(parser, ec);
      if (refusal) co_return refusal;
    }
    if (!ec) co_return std::nullopt;
    if (ec == http::error::header_limit) m_registry->Note(CallerLimit::kHeadTooLarge);
    if (ec == http::error::body_limit) m_registry->Note(CallerLimit::kBodyTooLarge);
    std::optional<HttpResponse> answer = BadInputResponse(ec);
    if (!answer) m_open = false;
    co_return answer;
  }

  // Reads in bounded pieces, each of which is reserved before it is read. Returns the answer to a
  // body that is refused.
  asio::awaitable<std::optional<HttpResponse>> ReadBody(Parser& parser, error_code& ec) {
    const auto started = Clock::now();
    const limits::CallerBytes kind = KindOf(parser);
    std::string& body = parser.get().body();
    const auto announced = parser.content_length();
    if (announced) {
      const bool held = co_await Hold(kind, static_cast<std::size_t>(*announced));
      if (!held) co_return RefuseBody(body);
    }
    if (parser.get()[http::field::expect] == "100-continue") {
      Lowest().expires_after(m_limits->idle_timeout);
      co_await asio::async_write(m_stream, asio::buffer("HTTP/1.1 100 Continue\r\n\r\n", 25),
                                 Redirect(ec));
    }
    if (m_ended) co_return RefuseBody(body);
    parser.eager(true);
    std::size_t received = 0;
    while (!ec && !parser.is_done()) {
      if (!announced) {
        const bool held = co_await GrowBody(kind, body);
        if (!held) co_return RefuseBody(body);
      }
      const auto [deadline, limit] = BodyDeadline(started, received);
      Lowest().expires_at(deadline);
      received += co_await ReadPiece(parser, received, ec);
      if (m_ended) co_return RefuseBody(body);
      if (ec == beast::error::timeout) m_registry->Note(limit);
      m_registry->NoteArrived(m_id);
      NoteProgress();
      if (!announced && received > kChunkOverhead + (1 + kChunkOverheadPerByte) * body.size()) {
        m_registry->Note(CallerLimit::kChunkOverhead);
        std::string().swap(body);
        co_return TypedError(400, "chunk_framing_too_large",
                             "the framing of the chunks is too large for their payload");
      }
    }
    co_return std::nullopt;
  }

  // Parses what has been read, or reads once more if that is no whole element. Beast's own
  // operation goes on for as long as each read ends inside a line between chunks.
  asio::awaitable<std::size_t> ReadPiece(Parser& parser, std::size_t received, error_code& ec) {
    const std::size_t used = PutBody(parser, m_buffer, received, ec);
    if (ec != http::error::need_more) co_return used;
    const std::size_t room = m_buffer.max_size() - m_buffer.size();
    ec = {};
    if (room == 0) ec = http::error::buffer_overflow;
    if (ec) co_return used;
    const std::size_t count = co_await m_stream.async_read_some(
        m_buffer.prepare(std::min(room, kBodyReadSize)), Redirect(ec));
    m_buffer.commit(count);
    if (ec == asio::error::eof) ec = http::error::partial_message;
    co_return used;
  }

  // A buffer that grows exists twice for the time of the copy.
  asio::awaitable<bool> GrowBody(limits::CallerBytes kind, std::string& body) {
    // One read adds no more than the read buffer holds; the parser refuses more than the limit.
    const std::size_t most = static_cast<std::size_t>(m_limits->body_bytes);
    const std::size_t needed = std::min(body.size() + m_buffer.max_size(), most);
    if (body.capacity() >= needed) co_return true;
    const std::size_t capacity = std::min(std::max(2 * body.capacity(), needed), most);
    const bool held = co_await Hold(kind, body.capacity() + capacity);
    if (!held) co_return false;
    std::string grown;
    grown.reserve(capacity);
    grown.append(body);
    body.swap(grown);
    std::string().swap(grown);
    co_return m_registry->Hold(m_id, kind, capacity);
  }

  // Waits for memory with the bytes left in the kernel.
  asio::awaitable<bool> Hold(limits::CallerBytes kind, std::size_t bytes) {
    for (int attempt = 0; attempt < kMemoryAttempts && !m_ended && m_open; ++attempt) {
      if (m_registry->Hold(m_id, kind, bytes)) co_return true;
      m_memory_timer.expires_after(kMemoryWait);
      error_code ec;
      co_await m_memory_timer.async_wait(Redirect(ec));
    }
    co_return false;
  }

  std::optional<HttpResponse> RefuseBody(std::string& body) {
    m_registry->Note(m_ended ? CallerLimit::kBodyStalled : CallerLimit::kBodyMemory);
    std::string().swap(body);
    m_registry->Release(m_id);
    return MemoryRefusal();
  }

  static HttpResponse MemoryRefusal() {
    HttpResponse refusal =
        TypedError(503, "overloaded", "the memory for requests that are not complete is used up");
    refusal.headers["Retry-After"] = "1";
    return refusal;
  }

  // The time limit of the next read of a body, and which one it is.
  std::pair<Clock::time_point, CallerLimit> BodyDeadline(Clock::time_point started,
                                                         std::size_t received) const {
    const auto end = started + m_limits->idle_timeout;
    if (m_limits->min_body_rate == 0) return {end, CallerLimit::kBodyTimeout};
    const std::chrono::duration<double> paid(static_cast<double>(received) /
                                             m_limits->min_body_rate);
    const auto slowest =
        started + m_limits->body_grace + std::chrono::duration_cast<Clock::duration>(paid);
    if (slowest < end) return {slowest, CallerLimit::kBodyRate};
    return {end, CallerLimit::kBodyTimeout};
  }

  limits::CallerBytes KindOf(const Parser& parser) const {
    const auto& has_account = m_registry->hooks().has_account;
    if (!has_account) return limits::CallerBytes::kBodyWithKey;
    const auto& message = parser.get();
    const HttpRequest head{std::string(message.method_string()), std::string(message.target()),
                           ToHeaders(message.base()), ""};
    return has_account(head) ? limits::CallerBytes::kBodyWithKey
                             : limits::CallerBytes::kBodyWithoutKey;
  }

  static std::size_t FieldCount(const Parser& parser) {
    return static_cast<std::size_t>(std::distance(parser.get().begin(), parser.get().end()));
  }

  bool HasWholeHead() const {
    const auto data = m_buffer.data();
    return std::string_view(static_cast<const char*>(data.data()), data.size()).find("\r\n\r\n") !=
           std::string_view::npos;
  }

  void NoteProgress() { m_last_progress = Clock::now(); }

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
  asio::steady_timer m_memory_timer;  ///< wait of a body for memory
  std::function<void()> m_on_gone;
  std::uint64_t m_watch = 0;  ///< number of the current wait for the caller's close
  limits::CallerConnectionId m_id = 0;
  asio::ip::address m_address;
  Clock::time_point m_last_progress = Clock::now();
  bool m_reading = false;  ///< a request is arriving
  bool m_ended = false;    ///< the request that arrives is to be refused
  bool m_open = true;
  bool m_busy = false;
  bool m_started = false;
  bool m_keep_alive = true;
  bool m_head_only = false;  ///< the answer to a HEAD request has no body
};

}  // namespace cornelrelay::net::internal
