#include "cornelrelay/relay/upstream_call.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <string_view>
#include <system_error>
#include <utility>

#include "cornelrelay/core/http_status.h"
#include "cornelrelay/net/errors.h"
#include "cornelrelay/request/sse_splitter.h"
#include "cornelrelay/runtime/pause.h"

namespace cornelrelay::relay {
namespace {

namespace asio = boost::asio;

/// Events hold a few tokens, so this is some hundred times a usual event.
constexpr std::size_t kMaxEventBytes = 262'144;
/// Bytes of events without an id, such as comments, between two events with an id.
constexpr std::size_t kMaxUnnumberedBytes = 65'536;
/// Body of a refusal that is read so that the connection can be used again.
constexpr std::size_t kMaxRefusalBytes = 65'536;
/// A response that is not a stream is buffered as a whole, so that a truncated one never looks
/// complete.
constexpr std::size_t kMaxResponseBytes = 4'194'304;
/// Time between attempts to reserve memory for a response.
constexpr std::chrono::milliseconds kMemoryWait{20};
/// A read that takes this long has waited for the upstream.
constexpr std::chrono::milliseconds kWaitedRead{20};
/// Number of responses to earlier requests that are skipped before the connection is closed.
constexpr int kMaxStaleResponses = 4;
/// Added to the request's deadline, so that the deadline ends the call before the read times out.
constexpr std::chrono::milliseconds kReadTimeoutMargin{1'000};

std::string Join(const std::vector<std::string>& words) {
  std::string joined;
  for (const std::string& word : words) joined.append(joined.empty() ? "" : " ").append(word);
  return joined;
}

// The parser has checked the value; one that is too large for the type is too large for any limit.
std::size_t AnnouncedBytesOf(const net::HttpResponseHead& head, std::string_view method) {
  const auto length = net::FindHeader(head.headers, "Content-Length");
  if (!length || method == "HEAD") return 0;
  std::size_t bytes = 0;
  const auto [rest, status] =
      std::from_chars(length->data(), length->data() + length->size(), bytes);
  return status == std::errc() ? bytes : std::numeric_limits<std::size_t>::max();
}

bool IsFailure(int status) {
  return core::PromisesNotRun(status) || status >= core::kFirstServerErrorStatus;
}

}  // namespace

UpstreamCall::UpstreamCall(Dependencies dependencies, core::AttemptId attempt,
                           UpstreamRequest request, net::HttpClient::ConnectionUse use,
                           std::shared_ptr<driver::RequestMailbox> mailbox)
    : AttemptCall(dependencies.context, dependencies.client,
                  {std::move(attempt), request.endpoint, use,
                   std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline -
                                                                         dependencies.clock.Now()) +
                       kReadTimeoutMargin},
                  std::move(mailbox)),
      m_context(dependencies.context),
      m_clock(dependencies.clock),
      m_protocol(dependencies.protocol),
      m_crash_probe(dependencies.crash_probe),
      m_pauses(dependencies.pauses),
      m_metrics(dependencies.metrics),
      m_log(dependencies.log),
      m_request(std::move(request)),
      m_held_bytes(std::move(dependencies.response_bytes)),
      m_last_event_id(m_request.resume_after) {}

asio::awaitable<void> UpstreamCall::Exchange() {
  const runtime::PauseDetector::Watch watch(m_pauses);
  net::HttpRequest message = m_protocol.Encode(m_clock.Now(), m_request);
  co_await exchange().SendRequest(std::move(message), m_request.request.body);
  m_known_open_at = m_clock.Now();
  co_await ReadMatchingHead();
  const int status = m_head->forwarded_head.status;
  if (m_head->not_executed) {
    Report(request::AttemptRefused{attempt(), m_head->retry_after});
    co_await DiscardBody();
    co_return;
  }
  if (!m_head->has_signature && status < core::kFirstRedirectStatus) {
    throw net::ExchangeBroken(upstream(), net::BreakCause::kUnexpected,
                              "successful response without a signature");
  }
  if (IsFailure(status)) {
    m_failure_body = co_await ReadBufferedBody();
    Report(request::ErrorResponseReceived{attempt()});
    co_return;
  }
  Report(request::HeadReceived{attempt(), status, m_head->event_stream});
  if (m_head->event_stream) {
    co_await ReadStream();
    co_return;
  }
  request::ChunkChecked answer;
  answer.attempt = attempt();
  answer.payload = co_await ReadBufferedBody();
  answer.verdict = request::End{};
  Report(std::move(answer));
}

void UpstreamCall::OnBroken(net::BreakCause cause, const core::Error& error) {
  m_break_cause = cause;
  m_connection_ended = cause == net::BreakCause::kConnection;
  m_log.Warning("attempt_broken", {{"request", m_request.request.id},
                                   {"upstream", m_request.upstream},
                                   {"attempt", attempt()},
                                   {"cause", ToString(cause)},
                                   {"output", m_numbered_events > 0},
                                   {"shared_segments", Join(m_request.request.shared_segments)},
                                   {"reason", error.what()}});
  m_metrics
      .GetCounter("cornelrelay_broken_responses_total", "Responses of upstreams that broke off.",
                  {{"cause", std::string(ToString(cause))}})
      .Add();
}

void UpstreamCall::Hold(std::size_t bytes) {
  if (m_held_bytes.Resize(bytes)) return;
  throw net::ExchangeBroken(upstream(), net::BreakCause::kBodyTooLarge,
                            "no memory for the responses in progress");
}

asio::awaitable<std::string> UpstreamCall::ReadBufferedBody() {
  co_await HoldAnnouncedBody();
  std::string body;
  body.reserve(m_announced_bytes);
  while (std::optional<std::string> piece = co_await ReadPiece()) {
    body += *piece;
    CheckBodySize(body.size());
    Hold(std::max(m_announced_bytes, body.size()));
  }
  co_await CheckEnd();
  co_return body;
}

void UpstreamCall::CheckBodySize(std::size_t bytes) const {
  if (bytes <= kMaxResponseBytes) return;
  throw net::ExchangeBroken(upstream(), net::BreakCause::kBodyTooLarge,
                            "the response body exceeds its limit");
}

// Responses that are read side by side would each take a part of the memory, and none would fit.
asio::awaitable<void> UpstreamCall::HoldAnnouncedBody() {
  CheckBodySize(m_announced_bytes);
  if (m_held_bytes.Resize(m_announced_bytes)) co_return;
  m_log.Info("response_awaits_memory", {{"request", m_request.request.id},
                                        {"upstream", m_request.upstream},
                                        {"bytes", m_announced_bytes}});
  while (!m_held_bytes.Resize(m_announced_bytes)) {
    const bool hopeless = m_announced_bytes > m_held_bytes.limit();
    if (hopeless || cancelled() || m_clock.Now() >= m_request.deadline) Hold(m_announced_bytes);
    co_await runtime::Pause(m_context, kMemoryWait);
  }
}

// The response has been reported, so whatever happens now breaks nothing.
asio::awaitable<void> UpstreamCall::DiscardBody() {
  std::size_t discarded = 0;
  while (std::optional<std::string> piece = co_await exchange().ReadPiece()) {
    discarded += piece->size();
    if (discarded > kMaxRefusalBytes) co_return;
  }
}

// A late response to an earlier request may arrive first on a reused connection. It is recognised
// by its request id and skipped.
asio::awaitable<void> UpstreamCall::ReadMatchingHead() {
  for (int skipped = 0; skipped < kMaxStaleResponses; ++skipped) {
    const core::Instant asked = m_clock.Now();
    net::HttpResponseHead head = co_await exchange().ReadHead();
    NoteRead(asked);
    m_ends_with_connection = !net::FindHeader(head.headers, "Content-Length") &&
                             !net::FindHeader(head.headers, "Transfer-Encoding");
    m_announced_bytes = AnnouncedBytesOf(head, m_request.request.method);
    UpstreamResponseHead answer = m_protocol.Decode(std::move(head));
    if (answer.request_id == m_request.request.id) {
      m_head = std::move(answer);
      co_return;
    }
    co_await exchange().SkipResponse();
  }
  throw net::ExchangeBroken(upstream(), net::BreakCause::kTooManyHeads,
                            "too many responses to earlier requests");
}

asio::awaitable<std::optional<std::string>> UpstreamCall::ReadPiece() {
  const core::Instant asked = m_clock.Now();
  if (asked - m_last_read >= runtime::PauseDetector::kPause) m_read_late = true;
  std::optional<std::string> piece = co_await exchange().ReadPiece();
  if (piece) NoteRead(asked);
  co_return piece;
}

void UpstreamCall::NoteRead(core::Instant asked) {
  m_last_read = m_clock.Now();
  // A read that waits shows that nothing was left unread, unless this process did not run.
  const bool waited = m_last_read - asked >= kWaitedRead;
  if (!waited || !m_pauses.RanSince(m_last_read - kWaitedRead)) return;
  m_known_open_at = m_last_read;
  m_read_late = false;
}

asio::awaitable<void> UpstreamCall::CheckEnd() {
  if (!m_ends_with_connection || cancelled()) co_return;
  const bool empty_stream = m_head->event_stream && m_numbered_events == 0;
  // Also of an upstream that leaves: it may end before its last answers do.
  if (empty_stream || co_await m_crash_probe.HasEnded(m_request.endpoint)) {
    throw net::ExchangeBroken(upstream(), net::BreakCause::kConnection,
                              "the connection ended, but not the response");
  }
  if (m_read_late || !m_pauses.RanSince(m_known_open_at)) {
    throw net::ExchangeBroken(upstream(), net::BreakCause::kConnection,
                              "the end of the connection was read too late to trust it");
  }
}

asio::awaitable<void> UpstreamCall::ReadStream() {
  request::SseSplitter splitter(kMaxEventBytes);
  while (!cancelled()) {
    std::optional<std::string> piece = co_await ReadPiece();
    if (!piece) break;
    if (!m_no_progress_since) m_no_progress_since = m_clock.Now();
    splitter.Feed(*piece);
    while (std::optional<std::string> event = splitter.Next()) {
      request::ChunkChecked chunk;
      chunk.attempt = attempt();
      chunk.verdict = CheckSequence(*event);
      chunk.payload = std::move(*event);
      Report(std::move(chunk));
    }
    Hold(splitter.buffered_bytes());
    CheckProgress();
    co_await mailbox().UntilTaken();
  }
  if (!splitter.HasPartialEvent()) {
    co_await CheckEnd();
  }
  request::ChunkChecked closed;
  closed.attempt = attempt();
  if (splitter.HasPartialEvent()) {
    m_connection_ended = true;
    closed.verdict = request::Truncated{m_last_event_id};
  } else {
    closed.verdict = request::End{};
  }
  Report(std::move(closed));
}

// Event ids increase by one. An event without an id belongs to the event before it.
request::StreamVerdict UpstreamCall::CheckSequence(std::string_view event) {
  const std::optional<std::uint64_t> id = request::ParseEventId(event);
  if (id && m_last_event_id && *id != *m_last_event_id + 1) {
    return request::Gap{*m_last_event_id + 1, *id};
  }
  if (id) {
    ++m_numbered_events;
    m_last_event_id = id;
    m_unnumbered_bytes = 0;
    m_no_progress_since.reset();
  } else {
    m_unnumbered_bytes += event.size();
  }
  return request::Accepted{request::StreamPosition{m_last_event_id, {}, {}}};
}

void UpstreamCall::CheckProgress() {
  const bool too_long =
      m_no_progress_since && m_clock.Now() - *m_no_progress_since > m_request.caller_patience;
  if (!too_long && m_unnumbered_bytes <= kMaxUnnumberedBytes) return;
  throw net::ExchangeBroken(upstream(), net::BreakCause::kNoProgress,
                            "the stream sends bytes but no event with an id");
}

}  // namespace cornelrelay::relay
