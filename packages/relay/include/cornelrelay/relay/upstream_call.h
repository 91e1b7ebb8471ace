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

/// \brief Runs one attempt against an upstream whose messages an UpstreamProtocol translates.
class UpstreamCall : public driver::AttemptCall {
 public:
  struct Io {
    boost::asio::io_context& context;
    const runtime::ProcessClock& clock;
    net::HttpClient& client;
    const UpstreamProtocol& protocol;
  };

  UpstreamCall(Io io, core::AttemptId attempt, UpstreamRequest order,
               net::HttpClient::ConnectionUse use, std::shared_ptr<driver::RequestMailbox> mailbox);

  /// \brief Set before the first event that follows a head.
  const std::optional<UpstreamResponseHead>& head() const { return m_head; }
  /// \brief Body of an answer that was reported as ErrorResponseReceived.
  const std::string& failure_body() const { return m_failure_body; }

 private:
  boost::asio::awaitable<void> Exchange() override;
  boost::asio::awaitable<void> ReadOwnHead();
  boost::asio::awaitable<void> ReadStream();
  request::StreamVerdict Check(std::string_view event);

  const runtime::ProcessClock& m_clock;
  const UpstreamProtocol& m_protocol;
  UpstreamRequest m_order;
  std::optional<UpstreamResponseHead> m_head;
  std::string m_failure_body;
  std::optional<std::uint64_t> m_last_event;
};

}  // namespace cornelrelay::relay
