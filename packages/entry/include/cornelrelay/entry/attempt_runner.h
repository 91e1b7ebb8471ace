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
#include "cornelrelay/net/http_client.h"
#include "cornelrelay/net/http_message.h"
#include "cornelrelay/request/request_event.h"
#include "cornelrelay/request/stream_position.h"
#include "cornelrelay/runtime/mailbox.h"
#include "cornelrelay/settings/service_kind.h"

namespace cornelrelay::entry {

using RequestMailbox = runtime::Mailbox<request::RequestEvent>;

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
  std::chrono::milliseconds silence_limit{30000};  ///< longest wait for the next bytes
};

/// \brief Runs one attempt against an upstream and reports it to the request's mailbox.
///
/// Reading from the upstream waits until the task has taken the previous piece, so a slow caller
/// slows the upstream down.
class AttemptRunner : public std::enable_shared_from_this<AttemptRunner> {
 public:
  AttemptRunner(boost::asio::io_context& context, net::HttpClient& client, AttemptOrder order,
                std::shared_ptr<RequestMailbox> mailbox);

  void Start();

  /// \brief Closes the connection; nothing is written or reported afterwards.
  void Cancel();

  const std::optional<net::HttpResponseHead>& head() const { return m_head; }

 private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> Exchange();
  boost::asio::awaitable<void> ReadStream();
  boost::asio::awaitable<void> ReadWhole();
  void ReportAnswer(std::string body);
  void Report(request::RequestEvent event);
  bool IsEventStream() const;

  boost::asio::io_context& m_context;
  net::HttpClient& m_client;
  AttemptOrder m_order;
  std::shared_ptr<RequestMailbox> m_mailbox;
  std::unique_ptr<net::HttpExchange> m_exchange;
  std::optional<net::HttpResponseHead> m_head;
  bool m_cancelled = false;
};

}  // namespace cornelrelay::entry
