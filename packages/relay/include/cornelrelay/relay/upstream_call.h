#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/net/http_client.h"
#include "cornelrelay/relay/upstream_order.h"
#include "cornelrelay/relay/upstream_protocol.h"
#include "cornelrelay/request/request_event.h"
#include "cornelrelay/runtime/mailbox.h"
#include "cornelrelay/runtime/process_clock.h"

namespace cornelrelay::relay {

using RequestMailbox = runtime::Mailbox<request::RequestEvent>;

/// \brief Runs one attempt against an upstream and reports it to the request's mailbox.
///
/// Reading from the upstream waits until the task has taken the previous piece, so a slow caller
/// slows the upstream down.
class UpstreamCall : public std::enable_shared_from_this<UpstreamCall> {
 public:
  struct Io {
    boost::asio::io_context& context;
    const runtime::ProcessClock& clock;
    net::HttpClient& client;
    const UpstreamProtocol& protocol;
  };

  UpstreamCall(Io io, core::AttemptId attempt, UpstreamOrder order,
               net::HttpClient::ConnectionUse use, std::shared_ptr<RequestMailbox> mailbox);

  void Start();

  /// \brief Closes the connection; nothing is written or reported afterwards.
  void Cancel();

  const core::AttemptId& attempt() const { return m_attempt; }
  /// \brief Set before the first event that follows a head.
  const std::optional<AnswerHead>& head() const { return m_head; }
  /// \brief Body of an answer that was reported as AnswerFailed.
  const std::string& failure_body() const { return m_failure_body; }

 private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> Exchange();
  boost::asio::awaitable<void> ReadOwnHead();
  boost::asio::awaitable<void> ReadStream();
  boost::asio::awaitable<std::string> ReadBody();
  request::StreamVerdict Check(std::string_view event);
  void Report(request::RequestEvent event);

  Io m_io;
  core::AttemptId m_attempt;
  UpstreamOrder m_order;
  net::HttpClient::ConnectionUse m_use;
  std::shared_ptr<RequestMailbox> m_mailbox;
  std::unique_ptr<net::HttpExchange> m_exchange;
  std::optional<AnswerHead> m_head;
  std::string m_failure_body;
  std::optional<std::uint64_t> m_last_event;
  bool m_cancelled = false;
};

}  // namespace cornelrelay::relay
