#include "cornelrelay/entry/answer_writer.h"

#include <utility>

#include "cornelrelay/core/http_status.h"

namespace cornelrelay::entry {

AnswerWriter::AnswerWriter(net::ResponseStream& response, core::RequestId request, bool stream)
    : m_response(response), m_request(std::move(request)), m_stream(stream) {}

// An error status or a recorded answer is passed on whole, also to a caller that asked for events.
bool AnswerWriter::IsEventStream() const {
  return m_stream && m_head && m_head->status == core::kStatusOk;
}

void AnswerWriter::Append(const std::string& payload) {
  if (IsEventStream()) {
    m_pending += "data: " + payload + "\n\n";
  } else {
    m_pending += payload;
  }
}

boost::asio::awaitable<void> AnswerWriter::Flush() {
  if (m_error) {
    co_await FlushError();
  } else if (IsEventStream()) {
    co_await FlushStream();
  } else if (m_finished) {
    co_await FlushWhole();
  }
}

boost::asio::awaitable<void> AnswerWriter::FlushStream() {
  if (!m_pending.empty()) {
    if (!m_response.Started()) {
      net::HttpResponseHead head = Head();
      co_await m_response.StartStream(std::move(head));
    }
    const std::string pending = std::exchange(m_pending, {});
    co_await m_response.SendPiece(pending);
  }
  if (m_finished) {
    m_finished = false;
    co_await m_response.SendPiece("data: [DONE]\n\n");
    co_await m_response.FinishStream();
  }
}

boost::asio::awaitable<void> AnswerWriter::FlushWhole() {
  m_finished = false;
  net::HttpResponseHead head = Head();
  net::HttpResponse answer;
  answer.status = head.status;
  answer.headers = std::move(head.headers);
  answer.body = std::exchange(m_pending, {});
  co_await m_response.SendWhole(std::move(answer));
}

boost::asio::awaitable<void> AnswerWriter::FlushError() {
  const TypedError failure = *std::exchange(m_error, std::nullopt);
  if (!m_response.Started()) {
    net::HttpResponse answer = ToResponse(failure, m_request);
    co_await m_response.SendWhole(std::move(answer));
    co_return;
  }
  // Neither [DONE] nor the last HTTP chunk follows, so no client can take the answer for whole.
  const std::string event = std::exchange(m_pending, {}) + ToSseEvent(failure, m_request);
  co_await m_response.SendPiece(event);
  m_response.Abort();
}

net::HttpResponseHead AnswerWriter::Head() const {
  net::HttpResponseHead head;
  head.status = m_head ? m_head->status : core::kStatusOk;
  const auto type = m_head ? net::FindHeader(m_head->headers, "Content-Type") : std::nullopt;
  head.headers["Content-Type"] = type.value_or("application/json");
  head.headers["X-Request-Id"] = m_request.value();
  return head;
}

}  // namespace cornelrelay::entry
