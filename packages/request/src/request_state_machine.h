#pragma once

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "request_core.h"

namespace cornelrelay::request::internal {

/// \brief A state that sets the RequestState of the core on entry.
template <RequestState kState>
struct ReportedState : boost::msm::front::state<> {
  template <class Event, class Fsm>
  void on_entry(const Event&, Fsm& fsm) {
    fsm.m_core.set_state(kState);
  }
};

/// \brief Action that calls a member function of the core with the event.
template <auto kMethod>
struct Call {
  template <class Event, class Fsm, class Source, class Target>
  void operator()(const Event& event, Fsm& fsm, Source&, Target&) const {
    (fsm.m_core.*kMethod)(event);
  }
};

/// \brief Guard that holds if a predicate of the core returns `kWanted`.
template <auto kMethod, bool kWanted = true>
struct If {
  template <class Event, class Fsm, class Source, class Target>
  bool operator()(const Event&, Fsm& fsm, Source&, Target&) const {
    return (fsm.m_core.*kMethod)() == kWanted;
  }
};

/// \brief Guard that holds if a denial has a recorded answer (`kWanted`) or has none (`!kWanted`).
template <bool kWanted>
struct IfAnswerRecorded {
  template <class Fsm, class Source, class Target>
  bool operator()(const ClaimDenied& event, Fsm&, Source&, Target&) const {
    return event.recorded_answer.has_value() == kWanted;
  }
};

/// \brief Transition table of one request in Boost.MSM.
struct RequestStateMachineDef : boost::msm::front::state_machine_def<RequestStateMachineDef> {
  explicit RequestStateMachineDef(RequestCore& core) : m_core(core) {}

  // A state that is named after a noun waits for it.
  using Idle = ReportedState<RequestState::kIdle>;
  using Admission = ReportedState<RequestState::kAwaitingAdmission>;
  using Claim = ReportedState<RequestState::kAwaitingClaim>;
  using Upstream = ReportedState<RequestState::kAwaitingUpstreamChoice>;
  using RetryToken = ReportedState<RequestState::kAwaitingRetryToken>;
  using Connecting = ReportedState<RequestState::kConnecting>;
  using Head = ReportedState<RequestState::kAwaitingHead>;
  using Streaming = ReportedState<RequestState::kStreaming>;
  using Completed = ReportedState<RequestState::kCompleted>;
  using Failed = ReportedState<RequestState::kFailed>;
  using initial_state = Idle;

  template <class Source, class Event, class Target, class Action, class Guard>
  using Row = boost::msm::front::Row<Source, Event, Target, Action, Guard>;
  using None = boost::msm::front::none;
  using Core = RequestCore;
  using CanRetry = If<&Core::MayRetry>;
  using CannotRetry = If<&Core::MayRetry, false>;
  using HandleStop = Call<&Core::OnStopped>;

  // clang-format off
  struct transition_table : boost::mpl::vector<  // NOLINT: the name that Boost.MSM looks up
      Row<Idle,       Started,               Admission,  Call<&Core::OnStarted>,                 If<&Core::LacksRequiredKey, false>>,
      Row<Idle,       Started,               Failed,     Call<&Core::OnMissingKey>,              If<&Core::LacksRequiredKey>>,
      Row<Admission,  Admitted,              Claim,      Call<&Core::OnAdmittedNeedsClaim>,      If<&Core::NeedsClaim>>,
      Row<Admission,  Admitted,              Upstream,   Call<&Core::OnAdmitted>,                If<&Core::NeedsClaim, false>>,
      Row<Admission,  Refused,               Failed,     Call<&Core::OnRequestRefused>,          None>,
      Row<Admission,  Stopped,               Failed,     HandleStop,                             None>,
      Row<Claim,      ClaimGranted,          Upstream,   Call<&Core::OnClaimGranted>,            None>,
      Row<Claim,      ClaimDenied,           Completed,  Call<&Core::OnClaimDeniedReplayAnswer>, IfAnswerRecorded<true>>,
      Row<Claim,      ClaimDenied,           Failed,     Call<&Core::OnClaimDenied>,             IfAnswerRecorded<false>>,
      Row<Claim,      ClaimTimedOut,         Failed,     Call<&Core::OnClaimTimedOut>,           None>,
      Row<Claim,      Stopped,               Failed,     HandleStop,                             None>,
      Row<Upstream,   UpstreamChosen,        Connecting, Call<&Core::OnUpstreamChosen>,          None>,
      Row<Upstream,   Refused,               Failed,     Call<&Core::OnRequestRefused>,          None>,
      Row<Upstream,   NoUpstream,            Failed,     Call<&Core::OnNoUpstream>,              None>,
      Row<Upstream,   Stopped,               Failed,     HandleStop,                             None>,
      Row<RetryToken, RetryGranted,          Upstream,   Call<&Core::OnRetryGranted>,            None>,
      Row<RetryToken, RetryDenied,           Failed,     Call<&Core::OnRetryDenied>,             None>,
      Row<RetryToken, Stopped,               Failed,     HandleStop,                             None>,
      Row<Connecting, BytesSent,             Head,       None,                                   None>,
      Row<Connecting, AttemptFailed,         RetryToken, Call<&Core::OnAttemptFailedRetry>,      CanRetry>,
      Row<Connecting, AttemptFailed,         Failed,     Call<&Core::OnAttemptFailedFinal>,      CannotRetry>,
      Row<Connecting, Stopped,               Failed,     HandleStop,                             None>,
      Row<Head,       HeadReceived,          Streaming,  None,                                   None>,
      Row<Head,       AttemptFailed,         RetryToken, Call<&Core::OnAttemptFailedRetry>,      CanRetry>,
      Row<Head,       AttemptFailed,         Failed,     Call<&Core::OnAttemptFailedFinal>,      CannotRetry>,
      Row<Head,       ErrorResponseReceived, RetryToken, Call<&Core::OnErrorResponseRetry>,      CanRetry>,
      Row<Head,       ErrorResponseReceived, Failed,     Call<&Core::OnErrorResponseFinal>,      CannotRetry>,
      Row<Head,       Stopped,               Failed,     HandleStop,                             None>,
      Row<Streaming,  ChunkAccepted,         None,       Call<&Core::OnChunkAccepted>,           None>,
      Row<Streaming,  AnswerEnded,           Completed,  Call<&Core::OnAnswerEnded>,             None>,
      Row<Streaming,  AttemptFailed,         RetryToken, Call<&Core::OnAttemptFailedRetry>,      CanRetry>,
      Row<Streaming,  AttemptFailed,         Failed,     Call<&Core::OnAttemptFailedFinal>,      CannotRetry>,
      Row<Streaming,  Stopped,               Failed,     HandleStop,                             None>
  > {};
  // clang-format on

  /// Drops an event that has no transition in the current state, because the event is too late. An
  /// example is a grant after the deadline.
  template <class Fsm, class Event>
  void no_transition(const Event&, Fsm&, int) {}

  RequestCore& m_core;
};

using RequestStateMachine = boost::msm::back::state_machine<RequestStateMachineDef>;

}  // namespace cornelrelay::request::internal
