#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/limits/admission_controller.h"
#include "cornelrelay/request/request_event.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/runtime/wake_timer.h"

namespace cornelrelay::entry {

/// \brief Runs the AdmissionController of a process and tells each request when it may start.
///
/// \code
/// hub.Arrive(arrival, [mailbox](const request::RequestEvent& event) { mailbox->Push(event); });
/// ...
/// hub.Finish(id);
/// \endcode
class AdmissionHub {
 public:
  using Notify = std::function<void(const request::RequestEvent&)>;
  using PublishStanding = std::function<void(const limits::PublishConfirmation&)>;

  AdmissionHub(boost::asio::io_context& context, const runtime::ProcessClock& clock,
               limits::AdmissionConfig config, PublishStanding publish);

  /// \param arrival its request id must be unique within the process
  void Arrive(const limits::RequestArrived& arrival, Notify notify);
  /// \brief The request ran to its end.
  void Finish(const core::RequestId& request);

  /// \brief The request ended in any other way, also while it was queued.
  void Cancel(const core::RequestId& request);
  void SetLimits(const core::ServiceId& service, const limits::ServiceLimits& limits);
  void SetMembers(std::vector<limits::Member> members);
  void Receive(const limits::ConfirmationReceived& statement);

  const limits::AdmissionController& controller() const { return m_controller; }

 private:
  void Step(const limits::AdmissionEvent& event);
  void Tell(const core::RequestId& request, const request::RequestEvent& event);
  void Refuse(const limits::RefuseRequest& refusal);

  const runtime::ProcessClock& m_clock;
  limits::AdmissionController m_controller;
  PublishStanding m_publish;
  std::map<core::RequestId, Notify> m_waiting;
  runtime::WakeTimer m_timer;
};

}  // namespace cornelrelay::entry
