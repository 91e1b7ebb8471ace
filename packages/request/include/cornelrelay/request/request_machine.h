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

/// \brief State machine of one request, from its arrival to its complete answer or typed error.
///
/// Rules:
/// - A retry needs a token of the retry budget, and either an idempotent call or the certainty that
///   each attempt sent no byte or was refused by its upstream.
/// - There are at most `max_attempts` attempts, not counting up to `max_uncounted_connect_failures`
///   failed connects.
/// - An interrupted stream of an idempotent call resumes after the last forwarded sequence number.
/// - Events of previous attempts are ignored.
/// - `not_run` is reported, and a claim released, only if each attempt sent no byte or was refused
///   by its upstream.
/// - A claim that is granted after its timeout is released and never used.
///
/// The driver executes the actions in order and delivers TimePassed at WakeAt(). It must deliver
/// BytesSent before it writes the first byte of an attempt, and the other events of a connection
/// before it writes more bytes.
///
/// \code
/// RequestMachine machine(policy, attributes, now);
/// for (const RequestAction& action : machine.Step(now, Started{})) Perform(action);
/// \endcode
class RequestMachine {
 public:
  RequestMachine(RequestPolicy policy, RequestAttributes attributes, core::Instant start,
                 InjectedFault fault = InjectedFault::kNone);
  ~RequestMachine();
  RequestMachine(RequestMachine&&) noexcept;
  RequestMachine& operator=(RequestMachine&&) noexcept;

  /// \brief Processes one event and returns the actions for the driver. `now` must not decrease.
  std::vector<RequestAction> Step(core::Instant now, const RequestEvent& event);

  /// \brief Time at which TimePassed is due; empty once the request has ended.
  std::optional<core::Instant> WakeAt() const;

  RequestState state() const;
  RequestSnapshot snapshot() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace cornelrelay::request
