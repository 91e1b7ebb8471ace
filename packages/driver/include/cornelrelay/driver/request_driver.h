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

/// \brief Drives the RequestMachine of one caller's request with the events of its mailbox.
///
/// The derived class performs the actions and calls SetOutcome for the outcome. The actions that
/// not every path has, claims and forwarded failures, are refused unless it overrides them.
///
/// \code
/// co_await Drive();   // until the outcome is known
/// co_await Finish();  // writes the rest of the answer
/// \endcode
class RequestDriver {
 public:
  RequestDriver(const RequestDriver&) = delete;
  RequestDriver& operator=(const RequestDriver&) = delete;

  /// \brief The limit of a graceful shutdown has passed.
  void EndForShutdown();

  request::RequestSnapshot snapshot() const { return m_machine.snapshot(); }

 protected:
  RequestDriver(boost::asio::io_context& context, const runtime::ProcessClock& clock,
                net::ResponseStream& response, request::RequestMachine machine);
  /// Drops what is still to be reported to the mailbox.
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
  /// \brief Bytes of the answer that have not been written yet.
  virtual std::size_t pending() const = 0;
  /// \brief Writes what there is of the answer. \throws net::CallerGone
  virtual boost::asio::awaitable<void> WriteAnswer() = 0;

  /// \brief When Drive looks again without an event.
  virtual core::Instant NextWake() const;
  /// \brief Called in each turn, after the events that have come.
  virtual void OnTurn() {}
  /// \brief Takes an event away from the machine for now.
  virtual bool DeferEvent(const request::RequestEvent&) { return false; }

  boost::asio::awaitable<void> Drive();
  boost::asio::awaitable<void> Finish();
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
