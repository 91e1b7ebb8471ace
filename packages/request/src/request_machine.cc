#include "cornelrelay/request/request_machine.h"

#include <functional>
#include <type_traits>
#include <utility>

#include "cornelrelay/core/http_status.h"
#include "cornelrelay/core/overloaded.h"
#include "request_core.h"
#include "request_table.h"

namespace cornelrelay::request {

namespace {

using internal::AnswerEnded;
using internal::AttemptBroken;
using internal::ChunkAccepted;
using internal::Stopped;

bool MayDifferElsewhere(int status) {
  return status == core::kStatusTooManyRequests || status >= core::kFirstServerErrorStatus;
}

template <class Event>
concept OfAttempt = requires(const Event& event) {
  event.attempt;
};

}  // namespace

class RequestMachine::Impl {
 public:
  Impl(RequestPolicy policy, RequestAttributes facts, core::Instant start, InjectedFault fault)
      : m_core(policy, std::move(facts), start, fault),
        m_idempotent(policy.idempotent),
        m_table(std::ref(m_core)) {
    m_table.start();
  }

  std::vector<RequestAction> Step(core::Instant now, const RequestEvent& event) {
    m_core.SetNow(now);
    // Noted before the timers, so that bytes sent at the deadline are not reported as not run.
    std::visit([this](const auto& e) { NoteSent(e); }, event);
    // A timer may be late; what arrives after its instant must not pass before it.
    if (m_core.DeadlinePassed()) m_table.process_event(Stopped{RequestError::kDeadlineExceeded});
    if (m_core.ClaimOverdue()) m_table.process_event(ClaimTimedOut{});
    std::visit([this](const auto& e) { Admit(e); }, event);
    if (m_core.fault() == InjectedFault::kRetryWithoutToken) m_table.process_event(RetryGranted{});
    return m_core.TakeActions();
  }

  const internal::RequestCore& core() const { return m_core; }

 private:
  // ConnectFailed and AttemptRefused say that the attempt cannot run; every other event of an
  // attempt shows that it may have begun, even one that is too late to be processed.
  template <class Event>
  void NoteSent(const Event& event) {
    if constexpr (std::is_same_v<Event, AttemptRefused>) {
      if (m_core.IsCurrent(event.attempt)) m_core.MarkRefused();
    } else if constexpr (OfAttempt<Event> && !std::is_same_v<Event, ConnectFailed>) {
      m_core.MarkSent(event.attempt);
    }
  }

  template <class Event>
  void Admit(const Event& event) {
    if constexpr (OfAttempt<Event>) {
      if (!m_core.IsCurrent(event.attempt) &&
          m_core.fault() != InjectedFault::kAcceptPreviousAttempts) {
        return;
      }
    }
    Process(event);
  }

  template <class Event>
  void Process(const Event& event) {
    m_table.process_event(event);
  }

  void Process(const ClaimGranted& event) {
    if (m_core.state() == RequestState::kFailed) {
      m_core.ReleaseLateClaim();
    } else {
      m_table.process_event(event);
    }
  }

  void Process(const ClaimDenied& event) {
    if (m_core.fault() == InjectedFault::kDispatchWithoutClaim) {
      m_table.process_event(ClaimGranted{});
    } else {
      m_table.process_event(event);
    }
  }

  void Process(const ConnectFailed&) {
    if (m_core.state() == RequestState::kConnecting) m_core.MarkUnconnected();
    m_table.process_event(
        AttemptBroken{AttemptResult::kConnectFailed, RequestError::kConnectFailed, false});
  }

  // Another replica may answer an idempotent call that this one failed or was too busy for. For a
  // non-idempotent call the error is its answer, and the caller receives it as it is.
  void Process(const HeadReceived& event) {
    if (m_idempotent && MayDifferElsewhere(event.status)) {
      m_table.process_event(
          AttemptBroken{AttemptResult::kFailed, RequestError::kUpstreamFailed, true});
    } else {
      m_table.process_event(event);
    }
  }

  void Process(const ChunkChecked& event) {
    const auto broken = [this](AttemptResult result, RequestError error) {
      m_table.process_event(AttemptBroken{result, error, true});
    };
    std::visit(
        core::Overloaded{
            [&](const Accepted& accepted) {
              m_table.process_event(ChunkAccepted{accepted.position, event.payload});
            },
            [](const Duplicate&) {},
            [&](const End&) { m_table.process_event(AnswerEnded{event.payload}); },
            [&](const Foreign&) { broken(AttemptResult::kForeign, RequestError::kForeignAnswer); },
            [&](const auto&) { broken(AttemptResult::kBroken, RequestError::kUpstreamBroken); },
        },
        event.verdict);
  }

  void Process(const UpstreamClosed&) {
    m_table.process_event(
        AttemptBroken{AttemptResult::kBroken, RequestError::kUpstreamBroken, false});
  }

  void Process(const AttemptRefused& event) {
    m_table.process_event(AttemptBroken{AttemptResult::kRefused, RequestError::kOverloaded, false,
                                        event.retry_after});
  }

  void Process(const CallerGone&) { m_table.process_event(Stopped{RequestError::kCallerGone}); }
  void Process(const ShutdownLimitReached&) {
    m_table.process_event(Stopped{RequestError::kShutdown});
  }
  void Process(const TimePassed&) {}

  internal::RequestCore m_core;
  bool m_idempotent;
  internal::RequestBackEnd m_table;
};

RequestMachine::RequestMachine(RequestPolicy policy, RequestAttributes facts, core::Instant start,
                               InjectedFault fault)
    : m_impl(std::make_unique<Impl>(policy, std::move(facts), start, fault)) {}

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
