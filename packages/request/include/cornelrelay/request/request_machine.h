#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "cornelrelay/core/time.h"
#include "cornelrelay/request/injected_fault.h"
#include "cornelrelay/request/request_action.h"
#include "cornelrelay/request/request_attributes.h"
#include "cornelrelay/request/request_event.h"
#include "cornelrelay/request/request_policy.h"
#include "cornelrelay/request/request_snapshot.h"

namespace cornelrelay::request {

/// \brief Life of one request, from its arrival to its answer or typed error.
///
/// Rules:
/// - Another attempt is opened only if the call is idempotent or no attempt sent a byte, with a
///   token of the retry budget, and at most `max_attempts` times.
/// - A broken stream of an idempotent call resumes after the last forwarded sequence number.
/// - What arrives for a previous attempt id is ignored.
/// - `not_run` is reported, and a claim released, only if no attempt sent a byte.
/// - A claim that is granted after its timeout is released and never used.
///
/// The driver runs the actions in order and delivers TimePassed at WakeAt(). Events of its own
/// connections (BytesSent above all) must be delivered before further bytes are written.
///
/// \code
/// RequestMachine machine(policy, facts, now);
/// for (const RequestAction& action : machine.Step(now, Started{})) Run(action);
/// \endcode
class RequestMachine {
 public:
  RequestMachine(RequestPolicy policy, RequestAttributes facts, core::Instant start,
                 InjectedFault fault = InjectedFault::kNone);
  ~RequestMachine();
  RequestMachine(RequestMachine&&) noexcept;
  RequestMachine& operator=(RequestMachine&&) noexcept;

  std::vector<RequestAction> Step(core::Instant now, const RequestEvent& event);

  /// \brief When TimePassed is due; empty once the request is over.
  std::optional<core::Instant> WakeAt() const;

  RequestState state() const;
  RequestSnapshot snapshot() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace cornelrelay::request
