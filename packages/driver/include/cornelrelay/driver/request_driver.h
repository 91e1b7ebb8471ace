#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <optional>

#include "cornelrelay/driver/request_mailbox.h"
#include "cornelrelay/net/response_stream.h"
#include "cornelrelay/request/request_machine.h"
#include "cornelrelay/runtime/process_clock.h"

namespace cornelrelay::driver {

/// \brief Feeds the events of one request's mailbox to its RequestMachine.
///
/// The derived class performs the actions that the machine returns, and calls SetOutcome() when it
/// performs RecordOutcome. The default implementations for AcquireClaim and FinishClaim (a claim
/// reserves the request's idempotency key) and for ForwardErrorResponse (sends an upstream's error
/// response to the caller unchanged) assert, because a derived class whose machine never returns
/// these actions need not override them.
///
/// \code
/// co_await Drive();   // returns when the outcome is known
/// co_await Finish();  // writes the rest of the response
/// \endcode
class RequestDriver {
 public:
  RequestDriver(const RequestDriver&) = delete;
  RequestDriver& operator=(const RequestDriver&) = delete;

  /// \brief Ends the request because the time limit of the graceful shutdown has passed.
  void EndForShutdown();

  /// \brief Ends the request because requests like it crash upstreams.
  void EndForQuarantine();

  request::RequestSnapshot snapshot() const { return m_machine.snapshot(); }

 protected:
  RequestDriver(boost::asio::io_context& context, const runtime::ProcessClock& clock,
                net::ResponseStream& response, request::RequestMachine machine);
  /// \brief Closes the mailbox: queued and later events are dropped.
  virtual ~RequestDriver();

  virtual void Perform(const request::AcquireAdmission& action) = 0;
  virtual void Perform(const request::AcquireClaim& action);
  virtual void Perform(const request::ChooseUpstream& action) = 0;
  virtual void Perform(const request::AcquireRetryToken& action) = 0;
  virtual void Perform(const request::OpenAttempt& action) = 0;
  virtual void Perform(const request::CancelAttempt& action) = 0;
  virtual void Perform(const request::ForwardChunk& action) = 0;
  virtual void Perform(const request::FinishAnswer& action) = 0;
  virtual void Perform(const request::ForwardErrorResponse& action);
  virtual void Perform(const request::SendError& action) = 0;
  virtual void Perform(const request::FinishClaim& action);
  virtual void Perform(const request::RecordAttempt& action) = 0;
  virtual void Perform(const request::RecordOutcome& action) = 0;
  /// \brief Number of response bytes that have not been written yet.
  virtual std::size_t pending() const = 0;
  /// \brief Writes the part of the response that is available.
  /// \throws net::CallerGone
  virtual boost::asio::awaitable<void> WriteAnswer() = 0;

  /// \brief Latest time at which Drive() runs its next iteration, even if no event arrives.
  virtual core::Instant NextWake() const;
  /// \brief Called in each iteration of Drive(), after the queued events have been processed.
  virtual void OnEventsProcessed() {}
  /// \brief Returns true if the derived class keeps the event and passes it to the machine later.
  virtual bool DeferEvent(const request::RequestEvent&) { return false; }

  /// \brief Processes events until the outcome has been set.
  boost::asio::awaitable<void> Drive();
  /// \brief Writes the rest of the response and closes the mailbox.
  boost::asio::awaitable<void> Finish();
  /// \brief Passes one event to the machine and performs the actions that it returns.
  void Step(const request::RequestEvent& event);
  void SetOutcome(const request::RecordOutcome& outcome) { m_outcome = outcome; }

  const std::optional<request::RecordOutcome>& outcome() const { return m_outcome; }
  const std::shared_ptr<RequestMailbox>& mailbox() const { return m_mailbox; }

 private:
  boost::asio::awaitable<void> Flush();

  const runtime::ProcessClock& m_clock;
  net::ResponseStream& m_response;
  std::shared_ptr<RequestMailbox> m_mailbox;
  request::RequestMachine m_machine;
  std::optional<request::RecordOutcome> m_outcome;
};

}  // namespace cornelrelay::driver
