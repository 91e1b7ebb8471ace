#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/driver/attempt_call.h"
#include "cornelrelay/net/http_client.h"
#include "cornelrelay/net/http_message.h"
#include "cornelrelay/request/stream_position.h"
#include "cornelrelay/settings/service_kind.h"

namespace cornelrelay::entry {

/// \brief One attempt to send.
struct AttemptOrder {
  core::AttemptId attempt;
  core::Endpoint upstream;
  net::HttpRequest request;
  settings::ServiceKind kind = settings::ServiceKind::kModel;
  bool stream = false;
  bool reuse_connection = false;
  request::StreamPosition resume_after;
  std::size_t max_event_bytes = 65536;
  std::size_t max_answer_bytes = 16'777'216;
  std::chrono::milliseconds time_limit{30000};  ///< until the end of the response
};

/// \brief Runs one attempt against an upstream of the product's own protocol.
class AttemptRunner : public driver::AttemptCall {
 public:
  AttemptRunner(boost::asio::io_context& context, net::HttpClient& client, AttemptOrder order,
                std::shared_ptr<driver::RequestMailbox> mailbox);

  const std::optional<net::HttpResponseHead>& head() const { return m_head; }

 private:
  boost::asio::awaitable<void> Exchange() override;
  boost::asio::awaitable<void> ReadStream();
  void ReportAnswer(std::string body);
  bool IsEventStream() const;

  AttemptOrder m_order;
  std::optional<net::HttpResponseHead> m_head;
};

}  // namespace cornelrelay::entry
