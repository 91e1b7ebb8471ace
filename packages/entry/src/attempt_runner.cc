#include "cornelrelay/entry/attempt_runner.h"

#include <charconv>
#include <string_view>
#include <utility>

#include "cornelrelay/core/http_status.h"
#include "cornelrelay/request/answer_verifier.h"
#include "cornelrelay/request/sse_parser.h"
#include "cornelrelay/request/stream_verifier.h"

namespace cornelrelay::entry {
namespace {

namespace asio = boost::asio;

std::optional<std::uint64_t> AnnouncedLength(const net::HttpResponseHead& head) {
  const auto text = net::FindHeader(head.headers, "Content-Length");
  if (!text) return std::nullopt;
  std::uint64_t length = 0;
  const auto [rest, status] = std::from_chars(text->data(), text->data() + text->size(), length);
  if (status != std::errc()) return std::nullopt;
  return length;
}

driver::AttemptCall::Target TargetOf(const AttemptOrder& order) {
  driver::AttemptCall::Target target;
  target.attempt = order.attempt;
  target.upstream = order.upstream;
  target.use = order.reuse_connection ? net::HttpClient::ConnectionUse::kReuse
                                      : net::HttpClient::ConnectionUse::kFresh;
  target.timeout = order.time_limit;
  return target;
}

}  // namespace

AttemptRunner::AttemptRunner(asio::io_context& context, net::HttpClient& client, AttemptOrder order,
                             std::shared_ptr<driver::RequestMailbox> mailbox)
    : AttemptCall(context, client, TargetOf(order), std::move(mailbox)),
      m_order(std::move(order)) {}

asio::awaitable<void> AttemptRunner::Exchange() {
  co_await exchange().SendRequest(std::move(m_order.request));
  m_head = co_await exchange().ReadHead();
  request::HeadReceived head;
  head.attempt = m_order.attempt;
  head.status = m_head->status;
  head.event_stream = IsEventStream();
  Report(head);
  if (IsEventStream()) {
    co_await ReadStream();
  } else {
    ReportAnswer(co_await ReadBody(m_order.max_answer_bytes));
  }
}

bool AttemptRunner::IsEventStream() const {
  const auto type = net::FindHeader(m_head->headers, "Content-Type");
  return m_order.stream && type && type->starts_with("text/event-stream");
}

asio::awaitable<void> AttemptRunner::ReadStream() {
  request::SseParser parser(m_order.max_event_bytes);
  request::StreamVerifier verifier(m_order.attempt, m_order.resume_after);
  bool ended = false;
  while (!cancelled()) {
    std::optional<std::string> piece = co_await exchange().ReadPiece();
    // After the end only the last HTTP chunk may follow; reading it makes the connection reusable.
    if (!piece || ended) break;
    parser.Feed(*piece);
    while (std::optional<request::SseEvent> event = parser.Next()) {
      request::ChunkChecked chunk;
      chunk.attempt = m_order.attempt;
      chunk.verdict = verifier.Check(*event);
      // [DONE] carries no content; the caller's own [DONE] is written when the answer is finished.
      if (std::holds_alternative<request::End>(chunk.verdict)) {
        ended = true;
      } else {
        chunk.payload = std::move(event->data);
      }
      Report(std::move(chunk));
    }
    co_await mailbox().UntilTaken();
  }
  request::ChunkChecked closed;
  closed.attempt = m_order.attempt;
  closed.verdict = verifier.Close();
  Report(std::move(closed));
}

void AttemptRunner::ReportAnswer(std::string body) {
  const auto announced = AnnouncedLength(*m_head);
  const bool completion = m_order.kind == settings::ServiceKind::kModel &&
                          m_head->status < core::kFirstClientErrorStatus;
  request::ChunkChecked answer;
  answer.attempt = m_order.attempt;
  if (completion) {
    answer.verdict = request::CheckModelAnswer(m_order.attempt, announced, body);
  } else {
    const auto echoed = net::FindHeader(m_head->headers, "X-Request-Id");
    answer.verdict =
        request::CheckPlainAnswer(m_order.attempt, announced, body.size(),
                                  echoed ? std::optional<std::string_view>(*echoed) : std::nullopt);
  }
  answer.payload = std::move(body);
  Report(std::move(answer));
}

}  // namespace cornelrelay::entry
