#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/driver/request_mailbox.h"
#include "cornelrelay/net/errors.h"
#include "cornelrelay/net/http_client.h"

namespace cornelrelay::driver {

/// \brief Runs one attempt against an upstream and reports its events to the request's mailbox.
///
/// The next piece of the response is read only after the request has handled the previous one.
/// This applies back-pressure from a slow caller to the upstream. The derived class sends the
/// request and checks the response.
class AttemptCall : public std::enable_shared_from_this<AttemptCall> {
 public:
  struct Target {
    core::AttemptId attempt;
    core::Endpoint upstream;
    net::HttpClient::ConnectionUse use = net::HttpClient::ConnectionUse::kFresh;
    /// From the open connection to the end of the response.
    std::chrono::milliseconds timeout{30'000};
  };

  virtual ~AttemptCall() = default;
  AttemptCall(const AttemptCall&) = delete;
  AttemptCall& operator=(const AttemptCall&) = delete;

  /// \brief Starts the attempt in a coroutine that keeps this object alive.
  void Start();

  /// \brief Closes the connection. Nothing is sent or reported afterwards.
  void Cancel();

  const core::AttemptId& attempt() const { return m_target.attempt; }

 protected:
  AttemptCall(boost::asio::io_context& context, net::HttpClient& client, Target target,
              std::shared_ptr<RequestMailbox> mailbox);

  /// \brief Sends the request on the open connection and reports the response.
  /// \throws net::ExchangeBroken, request::SseEventTooLarge; the base class reports both as
  /// request::UpstreamClosed
  /// \throws net::ConnectFailed if no byte was written; reported as request::ConnectFailed
  virtual boost::asio::awaitable<void> Exchange() = 0;

  /// \brief Called before a broken exchange is reported, unless this process cancelled it.
  virtual void OnBroken(net::BreakCause, const core::Error&) {}

  /// \brief Sends an event to the mailbox, unless the attempt has been cancelled.
  void Report(request::RequestEvent event);

  /// \brief Reads the rest of the response body.
  /// \throws net::ExchangeBroken if the body is larger than `limit` bytes or the connection breaks
  boost::asio::awaitable<std::string> ReadBody(std::size_t limit);

  const core::Endpoint& upstream() const { return m_target.upstream; }
  net::HttpExchange& exchange() { return *m_exchange; }
  RequestMailbox& mailbox() { return *m_mailbox; }
  bool cancelled() const { return m_cancelled; }

 private:
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<void> RunAttempt();
  void HandleBreak(net::BreakCause cause, const core::Error& error);

  boost::asio::io_context& m_context;
  net::HttpClient& m_client;
  Target m_target;
  std::shared_ptr<RequestMailbox> m_mailbox;
  std::unique_ptr<net::HttpExchange> m_exchange;
  bool m_cancelled = false;
  bool m_write_permitted = false;  ///< the request has handled BytesSent and goes on
};

}  // namespace cornelrelay::driver
