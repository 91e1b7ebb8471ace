#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/driver/attempt_call.h"
#include "cornelrelay/net/http_client.h"
#include "cornelrelay/relay/upstream_protocol.h"
#include "cornelrelay/relay/upstream_request.h"
#include "cornelrelay/request/request_event.h"
#include "cornelrelay/runtime/process_clock.h"

namespace cornelrelay::relay {

/// \brief Runs one attempt against an upstream. An UpstreamProtocol translates its messages.
class UpstreamCall : public driver::AttemptCall {
 public:
  struct Dependencies {
    boost::asio::io_context& context;
    const runtime::ProcessClock& clock;
    net::HttpClient& client;
    const UpstreamProtocol& protocol;
  };

  UpstreamCall(Dependencies dependencies, core::AttemptId attempt, UpstreamRequest request,
               net::HttpClient::ConnectionUse use, std::shared_ptr<driver::RequestMailbox> mailbox);

  /// \brief Head of the response; set before any event about the response is reported.
  const std::optional<UpstreamResponseHead>& head() const { return m_head; }
  /// \brief Body of the response that was reported as AnswerFailed.
  const std::string& failure_body() const { return m_failure_body; }

 private:
  boost::asio::awaitable<void> Exchange() override;
  boost::asio::awaitable<void> ReadMatchingHead();
  boost::asio::awaitable<void> ReadStream();
  request::StreamVerdict CheckSequence(std::string_view event);

  const runtime::ProcessClock& m_clock;
  const UpstreamProtocol& m_protocol;
  UpstreamRequest m_request;
  std::optional<UpstreamResponseHead> m_head;
  std::string m_failure_body;
  std::optional<std::uint64_t> m_last_event_id;
};

}  // namespace cornelrelay::relay
