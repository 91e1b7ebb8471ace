#pragma once

#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "cornelrelay/request/injected_fault.h"
#include "cornelrelay/request/request_action.h"
#include "cornelrelay/request/request_attributes.h"
#include "cornelrelay/request/request_event.h"
#include "cornelrelay/request/request_policy.h"
#include "cornelrelay/request/request_snapshot.h"

namespace cornelrelay::request::internal {

/// \brief The current attempt cannot deliver the rest of the answer.
struct AttemptFailed {
  AttemptResult result = AttemptResult::kBroken;
  RequestError error = RequestError::kUpstreamBroken;
  /// True if the connection is still open and must be closed with CancelAttempt.
  bool connection_open = false;
  std::optional<core::Duration> retry_after{};
};

/// \brief The request must end now, in whichever state it is.
struct Stopped {
  RequestError error = RequestError::kDeadlineExceeded;
};

/// \brief The next verified chunk of the answer has arrived.
struct ChunkAccepted {
  StreamPosition position;
  std::string payload;
};

/// \brief The answer is complete; `payload` is its body if it was not streamed.
struct AnswerEnded {
  std::string payload;
};

/// \brief Data of one request, and the guards and actions of its transition table.
class RequestCore {
 public:
  RequestCore(RequestPolicy policy, RequestAttributes attributes, core::Instant start,
              InjectedFault fault);

  /// \brief Sets the time of the current step. `now` must not decrease.
  void SetNow(core::Instant now);
  std::vector<RequestAction> TakeActions() { return std::exchange(m_actions, {}); }

  /// \brief True if the service requires an idempotency key and the request has none.
  bool LacksRequiredKey() const;
  /// \brief True if the caller has been given a part of the answer.
  bool AnswerBegun() const { return m_forwarded; }
  bool NeedsClaim() const { return !m_policy.idempotent && m_attributes.has_key; }
  bool MayRetry() const;
  bool IsCurrent(const core::AttemptId& attempt) const { return m_attempt == attempt; }
  bool DeadlinePassed() const { return m_now >= m_deadline; }
  bool ClaimOverdue() const { return m_claim_deadline && m_now >= *m_claim_deadline; }
  InjectedFault fault() const { return m_fault; }

  /// \brief Records that the upstream of `attempt` may have received a byte of the request.
  void MarkSent(const core::AttemptId& attempt);
  /// \brief Records that the current attempt has not reached an upstream.
  void CountConnectFailure() { ++m_connect_failures; }
  /// \brief Records that `attempt` was not run and never will be, if it is the current one. It then
  /// counts as not sent, whatever happens to its connection afterwards.
  void MarkNotRun(const core::AttemptId& attempt);
  /// \brief True if any attempt may have begun to run.
  bool AnyAttemptSent() const { return m_earlier_attempt_sent || m_current_attempt_sent; }
  /// \brief Releases a claim that is granted only after the request has failed.
  void ReleaseLateClaim();

  void OnStarted(const Started& event);
  void OnMissingKey(const Started& event);
  void OnAdmittedNeedsClaim(const Admitted& event);
  void OnAdmitted(const Admitted& event);
  void OnRequestRefused(const Refused& event);
  void OnClaimGranted(const ClaimGranted& event);
  void OnClaimDenied(const ClaimDenied& event);
  void OnClaimDeniedReplayAnswer(const ClaimDenied& event);
  void OnClaimTimedOut(const ClaimTimedOut& event);
  void OnUpstreamChosen(const UpstreamChosen& event);
  void OnNoUpstream(const NoUpstream& event);
  void OnRetryGranted(const RetryGranted& event);
  void OnRetryDenied(const RetryDenied& event);
  void OnChunkAccepted(const ChunkAccepted& event);
  void OnAnswerEnded(const AnswerEnded& event);
  void OnAttemptFailedRetry(const AttemptFailed& event);
  void OnAttemptFailedFinal(const AttemptFailed& event);
  void OnErrorResponseRetry(const ErrorResponseReceived& event);
  void OnErrorResponseFinal(const ErrorResponseReceived& event);
  void OnStopped(const Stopped& event);

  void set_state(RequestState state) { m_state = state; }
  RequestState state() const { return m_state; }
  std::optional<core::Instant> WakeAt() const;
  RequestSnapshot Snapshot() const;

 private:
  void RequestUpstream();
  /// \brief Number of attempts that count against `max_attempts`.
  int CountedAttempts() const;
  void EndAttempt(AttemptResult result, bool connection_open);
  /// \brief Ends the request with an error. `execution` is the value to report; if it is empty, the
  /// value is derived from the attempts and the claim.
  void Fail(RequestError error, std::optional<core::Duration> retry_after = std::nullopt,
            std::optional<core::Execution> execution = std::nullopt);
  void FinishRequest(std::optional<RequestError> error, core::Execution execution,
                     ClaimOutcome outcome);

  RequestPolicy m_policy;
  RequestAttributes m_attributes;
  core::Instant m_start;
  core::Instant m_deadline;
  InjectedFault m_fault;
  core::Instant m_now;
  RequestState m_state = RequestState::kIdle;
  std::vector<RequestAction> m_actions;

  int m_attempts = 0;
  int m_connect_failures = 0;
  bool m_earlier_attempt_sent = false;  ///< an earlier attempt may have sent a byte
  bool m_current_attempt_sent = false;  ///< the current attempt may have sent a byte
  /// The driver keeps an error response for ForwardErrorResponse.
  bool m_error_response_received = false;
  std::optional<core::Duration> m_retry_after;
  bool m_forwarded = false;
  bool m_claim_pending = false;  ///< requested, but neither granted nor denied so far
  bool m_claim_held = false;
  std::optional<core::Instant> m_claim_deadline;
  std::optional<core::AttemptId> m_attempt;
  core::UpstreamId m_upstream;
  std::set<core::AttemptId> m_not_run;  ///< attempts that were proved not to run
  std::set<core::UpstreamId> m_tried;
  StreamPosition m_position;
  std::optional<RequestError> m_error;  ///< error of the last failed attempt or of the request
};

}  // namespace cornelrelay::request::internal
