#include "cornelrelay/relay/relay_writer.h"

#include <cassert>
#include <utility>

namespace cornelrelay::relay {

void RelayWriter::SetHead(net::HttpResponseHead head, bool stream) {
  m_head = std::move(head);
  m_stream = stream;
}

void RelayWriter::Append(std::string bytes) {
  if (m_pending.empty()) {
    m_pending = std::move(bytes);
  } else {
    m_pending += bytes;
  }
}

boost::asio::awaitable<void> RelayWriter::Flush() {
  if (m_error) {
    co_await FlushError();
  } else if (m_head && m_stream) {
    co_await FlushStream();
  } else if (m_head && m_finished) {
    co_await FlushWhole();
  }
}

boost::asio::awaitable<void> RelayWriter::FlushStream() {
  if (!m_response.Started() && (!m_pending.empty() || m_finished)) {
    net::HttpResponseHead head = *m_head;
    co_await m_response.StartStream(std::move(head));
  }
  if (!m_pending.empty()) {
    const std::string pending = std::exchange(m_pending, {});
    co_await m_response.SendPiece(pending);
  }
  if (std::exchange(m_finished, false)) {
    co_await m_response.FinishStream();
  }
}

boost::asio::awaitable<void> RelayWriter::FlushWhole() {
  m_finished = false;
  net::HttpResponse answer;
  answer.status = m_head->status;
  answer.headers = m_head->headers;
  answer.body = std::exchange(m_pending, {});
  co_await m_response.SendWhole(std::move(answer));
}

boost::asio::awaitable<void> RelayWriter::FlushError() {
  net::HttpResponse error = *std::exchange(m_error, std::nullopt);
  if (m_response.Started()) {
    m_response.Abort();
    co_return;
  }
  co_await m_response.SendWhole(std::move(error));
}

}  // namespace cornelrelay::relay
