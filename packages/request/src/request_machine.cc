#include "cornelrelay/request/request_machine.h"

#include <functional>
#include <type_traits>
#include <utility>

#include "cornelrelay/core/http_status.h"
#include "cornelrelay/core/overloaded.h"
#include "request_core.h"
#include "request_state_machine.h"

namespace cornelrelay::request {

namespace {

using internal::AnswerEnded;
using internal::AttemptFailed;
using internal::ChunkAccepted;
using internal::Stopped;

bool IsRetryableStatus(int status) {
  return status == core::kStatusTooManyRequests || status >= core::kFirstServerErrorStatus;
}

template <class Event>
concept AttemptEvent = requires(const Event& event) {
  event.attempt;
};

}  // namespace

class RequestMachine::Impl {
 public:
  Impl(RequestPolicy policy, RequestAttributes attributes, core::Instant start, InjectedFault fault)
      : m_core(policy, std::move(attributes), start, fault),
        m_idempotent(policy.idempotent),
        m_fsm(std::ref(m_core)) {
    m_fsm.start();
  }

  std::vector<RequestAction> Step(core::Instant now, const RequestEvent& event) {
    m_core.SetNow(now);
    // Runs before the timer checks, so that an answer or refusal that arrives at the deadline
    // counts.
    std::visit([this](const auto& e) { UpdateSentState(e); }, event);
    // A timer may fire late. An event that arrives after the due time of a timer must not be
    // processed before that timer.
    if (m_core.DeadlinePassed()) m_fsm.process_event(Stopped{RequestError::kDeadlineExceeded});
    if (m_core.ClaimOverdue()) m_fsm.process_event(ClaimTimedOut{});
    // Runs after the timer checks: if these cancel the attempt, the driver writes nothing.
    if (const auto* sent = std::get_if<BytesSent>(&event);
        sent && m_core.IsCurrent(sent->attempt)) {
      m_core.MarkSent(sent->attempt);
    }
    std::visit([this](const auto& e) { ProcessIfCurrent(e); }, event);
    if (m_core.fault() == InjectedFault::kRetryWithoutToken) m_fsm.process_event(RetryGranted{});
    return m_core.TakeActions();
  }

  const internal::RequestCore& core() const { return m_core; }

 private:
  // ConnectFailed and AttemptRefused mean that the attempt has not run and will not. Every other
  // event of an attempt but BytesSent shows that it may have begun, even if the event is too late
  // to be processed.
  template <class Event>
  void UpdateSentState(const Event& event) {
    if constexpr (std::is_same_v<Event, AttemptRefused> || std::is_same_v<Event, ConnectFailed>) {
      m_core.MarkNotRun(event.attempt);
    } else if constexpr (AttemptEvent<Event> && !std::is_same_v<Event, BytesSent>) {
      m_core.MarkSent(event.attempt);
    }
  }

  template <class Event>
  void ProcessIfCurrent(const Event& event) {
    if constexpr (AttemptEvent<Event>) {
      if (!m_core.IsCurrent(event.attempt) &&
          m_core.fault() != InjectedFault::kAcceptPreviousAttempts) {
        return;
      }
    }
    Process(event);
  }

  template <class Event>
  void Process(const Event& event) {
    m_fsm.process_event(event);
  }

  void Process(const ClaimGranted& event) {
    if (m_core.state() == RequestState::kFailed) {
      m_core.ReleaseLateClaim();
    } else {
      m_fsm.process_event(event);
    }
  }

  void Process(const ClaimDenied& event) {
    if (m_core.fault() == InjectedFault::kDispatchWithoutClaim) {
      m_fsm.process_event(ClaimGranted{});
    } else {
      m_fsm.process_event(event);
    }
  }

  void Process(const ConnectFailed&) {
    const RequestState state = m_core.state();
    // The connection may also be lost after BytesSent, but before the first byte was written.
    if (state == RequestState::kConnecting || state == RequestState::kAwaitingHead) {
      m_core.CountConnectFailure();
    }
    m_fsm.process_event(
        AttemptFailed{AttemptResult::kConnectFailed, RequestError::kConnectFailed, false});
  }

  // Another upstream may answer an idempotent call that this one failed or was too busy for. The
  // error response to a non-idempotent call is forwarded to the caller unchanged.
  void Process(const HeadReceived& event) {
    // Only a stream can go on with one that the caller has begun to get.
    const bool continues = event.status == core::kStatusOk && event.event_stream;
    const bool unfit = m_core.AnswerBegun() && !continues;
    if (unfit || (m_idempotent && IsRetryableStatus(event.status))) {
      m_fsm.process_event(
          AttemptFailed{AttemptResult::kFailed, RequestError::kUpstreamFailed, true});
    } else {
      m_fsm.process_event(event);
    }
  }

  void Process(const ChunkChecked& event) {
    const auto fail_attempt = [this](AttemptResult result, RequestError error) {
      m_fsm.process_event(AttemptFailed{result, error, true});
    };
    std::visit(core::Overloaded{
                   [&](const Accepted& accepted) {
                     m_fsm.process_event(ChunkAccepted{accepted.position, event.payload});
                   },
                   [](const Duplicate&) {},
                   [&](const End&) { m_fsm.process_event(AnswerEnded{event.payload}); },
                   [&](const Foreign&) {
                     fail_attempt(AttemptResult::kForeign, RequestError::kForeignAnswer);
                   },
                   [&](const auto&) {
                     fail_attempt(AttemptResult::kBroken, RequestError::kUpstreamBroken);
                   },
               },
               event.verdict);
  }

  void Process(const UpstreamClosed&) {
    m_fsm.process_event(
        AttemptFailed{AttemptResult::kBroken, RequestError::kUpstreamBroken, false});
  }

  void Process(const AttemptRefused& event) {
    m_fsm.process_event(AttemptFailed{AttemptResult::kRefused, RequestError::kOverloaded, false,
                                      event.retry_after});
  }

  void Process(const CallerGone&) { m_fsm.process_event(Stopped{RequestError::kCallerGone}); }
  void Process(const ShutdownLimitReached&) {
    m_fsm.process_event(Stopped{RequestError::kShutdown});
  }
  void Process(const Quarantined&) {
    m_fsm.process_event(Stopped{RequestError::kRequestQuarantined});
  }
  void Process(const TimePassed&) {}

  internal::RequestCore m_core;
  bool m_idempotent;
  internal::RequestStateMachine m_fsm;
};

RequestMachine::RequestMachine(RequestPolicy policy, RequestAttributes attributes,
                               core::Instant start, InjectedFault fault)
    : m_impl(std::make_unique<Impl>(policy, std::move(attributes), start, fault)) {}

RequestMachine::~RequestMachine() = default;
RequestMachine::RequestMachine(RequestMachine&&) noexcept = default;
RequestMachine& RequestMachine::operator=(RequestMachine&&) noexcept = default;

std::vector<RequestAction> RequestMachine::Step(core::Instant now, const RequestEvent& event) {
  return m_impl->Step(now, event);
}

std::optional<core::Instant> RequestMachine::WakeAt() const { return m_impl->core().WakeAt(); }
RequestState RequestMachine::state() const { return m_impl->core().state(); }
RequestSnapshot RequestMachine::snapshot() const { return m_impl->core().Snapshot(); }

}  // namespace cornelrelay::request
