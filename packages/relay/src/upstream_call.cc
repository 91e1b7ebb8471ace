#include "cornelrelay/relay/upstream_call.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "cornelrelay/net/errors.h"
#include "cornelrelay/request/sse_event_too_large.h"
#include "cornelrelay/request/sse_splitter.h"

namespace cornelrelay::relay {
namespace {

namespace asio = boost::asio;

constexpr int kTooManyRequests = 429;
constexpr int kFirstServerError = 500;
constexpr int kFirstRedirect = 300;
constexpr std::size_t kMaxEventBytes = 1'048'576;
/// An answer is held whole, so that one that breaks off never looks complete.
constexpr std::size_t kMaxAnswerBytes = 16'777'216;
/// Answers to earlier requests that are skipped before the connection is given up.
constexpr int kMaxForeignAnswers = 4;
/// Added to the request's own deadline, which ends the call first.
constexpr std::chrono::milliseconds kReadGrace{1'000};

bool IsFailure(int status) { return status == kTooManyRequests || status >= kFirstServerError; }

}  // namespace

UpstreamCall::UpstreamCall(Io io, core::AttemptId attempt, UpstreamOrder order,
                           net::HttpClient::ConnectionUse use,
                           std::shared_ptr<RequestMailbox> mailbox)
    : m_io(io),
      m_attempt(std::move(attempt)),
      m_order(std::move(order)),
      m_use(use),
      m_mailbox(std::move(mailbox)),
      m_last_event(m_order.resume_after) {}

void UpstreamCall::Start() {
  asio::co_spawn(
      m_io.context, [self = shared_from_this()] { return self->Run(); }, asio::detached);
}

void UpstreamCall::Cancel() {
  m_cancelled = true;
  if (m_exchange) m_exchange->Cancel();
}

void UpstreamCall::Report(request::RequestEvent event) {
  if (!m_cancelled) m_mailbox->Push(std::move(event));
}

asio::awaitable<void> UpstreamCall::Run() {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(m_order.deadline - m_io.clock.Now());
  bool connected = false;
  try {
    m_exchange = co_await m_io.client.Open(m_order.endpoint, m_use, left + kReadGrace);
    connected = true;
  } catch (const net::ConnectFailed&) {
    connected = false;
  }
  if (m_cancelled) co_return;
  if (!connected) {
    Report(request::ConnectFailed{m_attempt});
    co_return;
  }
  // The machine must know that bytes may be out before they are, so that it never reports not_run
  // for a request that was on its way.
  Report(request::BytesSent{m_attempt});
  co_await m_mailbox->UntilTaken();
  if (m_cancelled || m_mailbox->closed()) co_return;
  bool broken = false;
  try {
    co_await Exchange();
  } catch (const net::ExchangeBroken&) {
    broken = true;
  } catch (const request::SseEventTooLarge&) {
    broken = true;
  }
  if (broken) Report(request::UpstreamClosed{m_attempt});
}

asio::awaitable<void> UpstreamCall::Exchange() {
  net::HttpRequest message = m_io.protocol.Encode(m_io.clock.Now(), m_order);
  co_await m_exchange->SendRequest(std::move(message));
  co_await ReadOwnHead();
  const int status = m_head->forwarded.status;
  if (m_head->not_run) {
    Report(request::AttemptRefused{m_attempt, m_head->retry_after});
    // The rest is read only to keep the connection.
    co_await ReadBody();
    co_return;
  }
  if (!m_head->has_signature && status < kFirstRedirect) {
    throw net::ExchangeBroken(m_order.endpoint, "a success without a signature");
  }
  if (IsFailure(status)) {
    m_failure_body = co_await ReadBody();
    Report(request::AnswerFailed{m_attempt});
    co_return;
  }
  Report(request::Head{m_attempt, status});
  if (m_head->event_stream) {
    co_await ReadStream();
    co_return;
  }
  request::ChunkChecked answer;
  answer.attempt = m_attempt;
  answer.payload = co_await ReadBody();
  answer.verdict = request::End{};
  Report(std::move(answer));
}

// An answer to an earlier request may arrive late where the own one is due; its id tells.
asio::awaitable<void> UpstreamCall::ReadOwnHead() {
  for (int foreign = 0; foreign < kMaxForeignAnswers; ++foreign) {
    net::HttpResponseHead head = co_await m_exchange->ReadHead();
    AnswerHead answer = m_io.protocol.Decode(std::move(head));
    if (answer.echo == m_order.request.id) {
      m_head = std::move(answer);
      co_return;
    }
    co_await m_exchange->SkipResponse();
  }
  throw net::ExchangeBroken(m_order.endpoint, "too many answers to other requests");
}

asio::awaitable<std::string> UpstreamCall::ReadBody() {
  std::string body;
  while (true) {
    std::optional<std::string> piece = co_await m_exchange->ReadPiece();
    if (!piece) co_return body;
    body += *piece;
    if (body.size() > kMaxAnswerBytes) {
      throw net::ExchangeBroken(m_order.endpoint, "the answer exceeds its limit");
    }
  }
}

asio::awaitable<void> UpstreamCall::ReadStream() {
  request::SseSplitter splitter(kMaxEventBytes);
  while (!m_cancelled) {
    std::optional<std::string> piece = co_await m_exchange->ReadPiece();
    if (!piece) break;
    splitter.Feed(*piece);
    while (std::optional<std::string> event = splitter.Next()) {
      request::ChunkChecked chunk;
      chunk.attempt = m_attempt;
      chunk.verdict = Check(*event);
      chunk.payload = std::move(*event);
      Report(std::move(chunk));
    }
    co_await m_mailbox->UntilTaken();
  }
  request::ChunkChecked closed;
  closed.attempt = m_attempt;
  if (splitter.HasPartialEvent()) {
    closed.verdict = request::Truncated{m_last_event.value_or(0)};
  } else {
    closed.verdict = request::End{};
  }
  Report(std::move(closed));
}

// Ids count up by one. An event without an id belongs to the one before it.
request::StreamVerdict UpstreamCall::Check(std::string_view event) {
  const std::optional<std::uint64_t> id = request::EventId(event);
  if (id && m_last_event && *id != *m_last_event + 1) {
    return request::Gap{*m_last_event + 1, *id};
  }
  if (id) m_last_event = id;
  return request::Accepted{request::StreamPosition{m_last_event.value_or(0), {}, {}}};
}

}  // namespace cornelrelay::relay
