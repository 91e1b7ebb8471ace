#include "cornelrelay/relay/upstream_call.h"

#include <utility>

#include "cornelrelay/core/http_status.h"
#include "cornelrelay/net/errors.h"
#include "cornelrelay/request/sse_splitter.h"

namespace cornelrelay::relay {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kMaxEventBytes = 1'048'576;
/// An answer is held whole, so that one that breaks off never looks complete.
constexpr std::size_t kMaxAnswerBytes = 16'777'216;
/// Answers to earlier requests that are skipped before the connection is given up.
constexpr int kMaxForeignAnswers = 4;
/// Added to the request's own deadline, which ends the call first.
constexpr std::chrono::milliseconds kReadGrace{1'000};

bool IsFailure(int status) {
  return status == core::kStatusTooManyRequests || status >= core::kFirstServerErrorStatus;
}

}  // namespace

UpstreamCall::UpstreamCall(Io io, core::AttemptId attempt, UpstreamRequest order,
                           net::HttpClient::ConnectionUse use,
                           std::shared_ptr<driver::RequestMailbox> mailbox)
    : AttemptCall(
          io.context, io.client,
          {std::move(attempt), order.endpoint, use,
           std::chrono::duration_cast<std::chrono::milliseconds>(order.deadline - io.clock.Now()) +
               kReadGrace},
          std::move(mailbox)),
      m_clock(io.clock),
      m_protocol(io.protocol),
      m_order(std::move(order)),
      m_last_event(m_order.resume_after) {}

asio::awaitable<void> UpstreamCall::Exchange() {
  net::HttpRequest message = m_protocol.Encode(m_clock.Now(), m_order);
  co_await exchange().SendRequest(std::move(message));
  co_await ReadOwnHead();
  const int status = m_head->forwarded_head.status;
  if (m_head->not_executed) {
    Report(request::AttemptRefused{attempt(), m_head->retry_after});
    // The rest is read only to keep the connection.
    co_await ReadBody(kMaxAnswerBytes);
    co_return;
  }
  if (!m_head->has_signature && status < core::kFirstRedirectStatus) {
    throw net::ExchangeBroken(upstream(), "a success without a signature");
  }
  if (IsFailure(status)) {
    m_failure_body = co_await ReadBody(kMaxAnswerBytes);
    Report(request::ErrorResponseReceived{attempt()});
    co_return;
  }
  Report(request::HeadReceived{attempt(), status});
  if (m_head->event_stream) {
    co_await ReadStream();
    co_return;
  }
  request::ChunkChecked answer;
  answer.attempt = attempt();
  answer.payload = co_await ReadBody(kMaxAnswerBytes);
  answer.verdict = request::End{};
  Report(std::move(answer));
}

// An answer to an earlier request may arrive late where the own one is due; its id tells.
asio::awaitable<void> UpstreamCall::ReadOwnHead() {
  for (int foreign = 0; foreign < kMaxForeignAnswers; ++foreign) {
    net::HttpResponseHead head = co_await exchange().ReadHead();
    UpstreamResponseHead answer = m_protocol.Decode(std::move(head));
    if (answer.request_id == m_order.request.id) {
      m_head = std::move(answer);
      co_return;
    }
    co_await exchange().SkipResponse();
  }
  throw net::ExchangeBroken(upstream(), "too many answers to other requests");
}

asio::awaitable<void> UpstreamCall::ReadStream() {
  request::SseSplitter splitter(kMaxEventBytes);
  while (!cancelled()) {
    std::optional<std::string> piece = co_await exchange().ReadPiece();
    if (!piece) break;
    splitter.Feed(*piece);
    while (std::optional<std::string> event = splitter.Next()) {
      request::ChunkChecked chunk;
      chunk.attempt = attempt();
      chunk.verdict = Check(*event);
      chunk.payload = std::move(*event);
      Report(std::move(chunk));
    }
    co_await mailbox().UntilTaken();
  }
  request::ChunkChecked closed;
  closed.attempt = attempt();
  if (splitter.HasPartialEvent()) {
    closed.verdict = request::Truncated{m_last_event.value_or(0)};
  } else {
    closed.verdict = request::End{};
  }
  Report(std::move(closed));
}

// Ids count up by one. An event without an id belongs to the one before it.
request::StreamVerdict UpstreamCall::Check(std::string_view event) {
  const std::optional<std::uint64_t> id = request::ParseEventId(event);
  if (id && m_last_event && *id != *m_last_event + 1) {
    return request::Gap{*m_last_event + 1, *id};
  }
  if (id) m_last_event = id;
  return request::Accepted{request::StreamPosition{m_last_event.value_or(0), {}, {}}};
}

}  // namespace cornelrelay::relay
