#include "cornelrelay/entry/attempt_runner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>
#include <string_view>
#include <utility>

#include "cornelrelay/net/errors.h"
#include "cornelrelay/request/answer_verifier.h"
#include "cornelrelay/request/sse_event_too_large.h"
#include "cornelrelay/request/sse_parser.h"
#include "cornelrelay/request/stream_verifier.h"

namespace cornelrelay::entry {
namespace {

namespace asio = boost::asio;

constexpr int kFirstClientError = 400;

std::optional<std::uint64_t> AnnouncedLength(const net::HttpResponseHead& head) {
  const auto text = net::FindHeader(head.headers, "Content-Length");
  if (!text) return std::nullopt;
  std::uint64_t length = 0;
  const auto [rest, status] = std::from_chars(text->data(), text->data() + text->size(), length);
  if (status != std::errc()) return std::nullopt;
  return length;
}

}  // namespace

AttemptRunner::AttemptRunner(asio::io_context& context, net::HttpClient& client, AttemptOrder order,
                             std::shared_ptr<RequestMailbox> mailbox)
    : m_context(context),
      m_client(client),
      m_order(std::move(order)),
      m_mailbox(std::move(mailbox)) {}

void AttemptRunner::Start() {
  asio::co_spawn(
      m_context, [self = shared_from_this()] { return self->Run(); }, asio::detached);
}

void AttemptRunner::Cancel() {
  m_cancelled = true;
  if (m_exchange) m_exchange->Cancel();
}

void AttemptRunner::Report(request::RequestEvent event) {
  if (!m_cancelled) m_mailbox->Push(std::move(event));
}

asio::awaitable<void> AttemptRunner::Run() {
  const auto use = m_order.reuse_connection ? net::HttpClient::ConnectionUse::kReuse
                                            : net::HttpClient::ConnectionUse::kFresh;
  bool connected = false;
  try {
    m_exchange = co_await m_client.Open(m_order.upstream, use, m_order.silence_limit);
    connected = true;
  } catch (const net::ConnectFailed&) {
    connected = false;
  }
  if (m_cancelled) co_return;
  if (!connected) {
    Report(request::ConnectFailed{m_order.attempt});
    co_return;
  }
  // The machine must know that bytes may be out before they are, so that it never reports not_run
  // for a request that was on its way.
  Report(request::BytesSent{m_order.attempt});
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
  if (broken) Report(request::UpstreamClosed{m_order.attempt});
}

asio::awaitable<void> AttemptRunner::Exchange() {
  co_await m_exchange->SendRequest(std::move(m_order.request));
  m_head = co_await m_exchange->ReadHead();
  request::Head head;
  head.attempt = m_order.attempt;
  head.status = m_head->status;
  Report(head);
  if (IsEventStream()) {
    co_await ReadStream();
  } else {
    co_await ReadWhole();
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
  while (!m_cancelled) {
    std::optional<std::string> piece = co_await m_exchange->ReadPiece();
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
    co_await m_mailbox->UntilTaken();
  }
  request::ChunkChecked closed;
  closed.attempt = m_order.attempt;
  closed.verdict = verifier.Close();
  Report(std::move(closed));
}

asio::awaitable<void> AttemptRunner::ReadWhole() {
  std::string body;
  while (true) {
    std::optional<std::string> piece = co_await m_exchange->ReadPiece();
    if (!piece) break;
    body += *piece;
    if (body.size() > m_order.max_answer_bytes) {
      throw net::ExchangeBroken(m_order.upstream, "the answer exceeds its limit");
    }
  }
  ReportAnswer(std::move(body));
}

void AttemptRunner::ReportAnswer(std::string body) {
  const auto announced = AnnouncedLength(*m_head);
  const bool completion =
      m_order.kind == settings::ServiceKind::kModel && m_head->status < kFirstClientError;
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
