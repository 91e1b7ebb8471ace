#pragma once

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "request_core.h"

namespace cornelrelay::request::internal {

/// \brief A state that reports itself to the core on entry.
template <RequestState kState>
struct At : boost::msm::front::state<> {
  template <class Event, class Fsm>
  void on_entry(const Event&, Fsm& fsm) {
    fsm.m_core.set_state(kState);
  }
};

/// \brief Calls a member function of the core with the event.
template <auto kMethod>
struct Do {
  template <class Event, class Fsm, class Source, class Target>
  void operator()(const Event& event, Fsm& fsm, Source&, Target&) const {
    (fsm.m_core.*kMethod)(event);
  }
};

/// \brief Passes if a predicate of the core has the value `kWanted`.
template <auto kMethod, bool kWanted = true>
struct If {
  template <class Event, class Fsm, class Source, class Target>
  bool operator()(const Event&, Fsm& fsm, Source&, Target&) const {
    return (fsm.m_core.*kMethod)() == kWanted;
  }
};

/// \brief Passes if a denial carries (or does not carry) the recorded answer.
template <bool kWanted>
struct IfRecorded {
  template <class Fsm, class Source, class Target>
  bool operator()(const ClaimDenied& event, Fsm&, Source&, Target&) const {
    return event.recorded_answer.has_value() == kWanted;
  }
};

struct RequestTable : boost::msm::front::state_machine_def<RequestTable> {
  explicit RequestTable(RequestCore& core) : m_core(core) {}

  using Idle = At<RequestState::kIdle>;
  using Admission = At<RequestState::kAwaitingAdmission>;
  using Claim = At<RequestState::kAwaitingClaim>;
  using Replica = At<RequestState::kAwaitingReplica>;
  using Token = At<RequestState::kAwaitingRetryToken>;
  using Connecting = At<RequestState::kConnecting>;
  using Waiting = At<RequestState::kAwaitingHead>;
  using Streaming = At<RequestState::kStreaming>;
  using Completed = At<RequestState::kCompleted>;
  using Failed = At<RequestState::kFailed>;
  using initial_state = Idle;

  template <class Source, class Event, class Target, class Action, class Guard>
  using Row = boost::msm::front::Row<Source, Event, Target, Action, Guard>;
  using None = boost::msm::front::none;
  using C = RequestCore;
  using Retry = If<&C::MayRetry>;
  using NoRetry = If<&C::MayRetry, false>;
  using Stop = Do<&C::OnStopped>;

  // clang-format off
  struct transition_table : boost::mpl::vector<  // NOLINT: the name that Boost.MSM looks up
      Row<Idle,       Started,       Admission,  Do<&C::OnStarted>,         If<&C::MissesKey, false>>,
      Row<Idle,       Started,       Failed,     Do<&C::OnMissingKey>,      If<&C::MissesKey>>,
      Row<Admission,  Admitted,      Claim,      Do<&C::OnAdmittedToClaim>, If<&C::NeedsClaim>>,
      Row<Admission,  Admitted,      Replica,    Do<&C::OnAdmitted>,        If<&C::NeedsClaim, false>>,
      Row<Admission,  Refused,       Failed,     Do<&C::OnRefused>,         None>,
      Row<Admission,  Stopped,       Failed,     Stop,                      None>,
      Row<Claim,      ClaimGranted,  Replica,    Do<&C::OnClaimGranted>,    None>,
      Row<Claim,      ClaimDenied,   Completed,  Do<&C::OnRecordedAnswer>,  IfRecorded<true>>,
      Row<Claim,      ClaimDenied,   Failed,     Do<&C::OnClaimDenied>,     IfRecorded<false>>,
      Row<Claim,      ClaimTimedOut, Failed,     Do<&C::OnClaimTimedOut>,   None>,
      Row<Claim,      Stopped,       Failed,     Stop,                      None>,
      Row<Replica,    ReplicaChosen, Connecting, Do<&C::OnReplicaChosen>,   None>,
      Row<Replica,    Refused,       Failed,     Do<&C::OnRefused>,         None>,
      Row<Replica,    NoReplica,     Failed,     Do<&C::OnNoReplica>,       None>,
      Row<Replica,    Stopped,       Failed,     Stop,                      None>,
      Row<Token,      RetryGranted,  Replica,    Do<&C::OnRetryGranted>,    None>,
      Row<Token,      RetryDenied,   Failed,     Do<&C::OnRetryDenied>,     None>,
      Row<Token,      Stopped,       Failed,     Stop,                      None>,
      Row<Connecting, BytesSent,     Waiting,    None,                      None>,
      Row<Connecting, AttemptBroken, Token,      Do<&C::OnBrokenRetry>,     Retry>,
      Row<Connecting, AttemptBroken, Failed,     Do<&C::OnBrokenFail>,      NoRetry>,
      Row<Connecting, Stopped,       Failed,     Stop,                      None>,
      Row<Waiting,    HeadReceived,  Streaming,  None,                      None>,
      Row<Waiting,    AttemptBroken, Token,      Do<&C::OnBrokenRetry>,     Retry>,
      Row<Waiting,    AttemptBroken, Failed,     Do<&C::OnBrokenFail>,      NoRetry>,
      Row<Waiting,    AnswerFailed,  Token,      Do<&C::OnFailedRetry>,     Retry>,
      Row<Waiting,    AnswerFailed,  Failed,     Do<&C::OnFailedAnswer>,    NoRetry>,
      Row<Waiting,    Stopped,       Failed,     Stop,                      None>,
      Row<Streaming,  ChunkAccepted, None,       Do<&C::OnChunkAccepted>,   None>,
      Row<Streaming,  AnswerEnded,   Completed,  Do<&C::OnAnswerEnded>,     None>,
      Row<Streaming,  AttemptBroken, Token,      Do<&C::OnBrokenRetry>,     Retry>,
      Row<Streaming,  AttemptBroken, Failed,     Do<&C::OnBrokenFail>,      NoRetry>,
      Row<Streaming,  Stopped,       Failed,     Stop,                      None>
  > {};
  // clang-format on

  /// Events that do not fit the state come too late (a grant after the deadline, say) and are
  /// dropped.
  template <class Fsm, class Event>
  void no_transition(const Event&, Fsm&, int) {}

  RequestCore& m_core;
};

using RequestBackEnd = boost::msm::back::state_machine<RequestTable>;

}  // namespace cornelrelay::request::internal
