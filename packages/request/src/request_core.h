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

/// \brief The current attempt cannot give the rest of the answer.
struct AttemptBroken {
  AttemptResult result = AttemptResult::kBroken;
  RequestError error = RequestError::kUpstreamBroken;
  bool connection_open = false;
  std::optional<core::Duration> retry_after{};
};

/// \brief The request must end now, whatever it waits for.
struct Stopped {
  RequestError error = RequestError::kDeadlineExceeded;
};

/// \brief A checked chunk that continues the answer.
struct ChunkAccepted {
  StreamPosition position;
  std::string payload;
};

/// \brief The answer is complete; `payload` is its body if it was not streamed.
struct AnswerEnded {
  std::string payload;
};

/// \brief Data of one request with the guards and actions of its transition table.
class RequestCore {
 public:
  RequestCore(RequestPolicy policy, RequestAttributes facts, core::Instant start,
              InjectedFault fault);

  /// \brief Sets the time of the current step.
  void SetNow(core::Instant now);
  std::vector<RequestAction> TakeActions() { return std::exchange(m_actions, {}); }

  bool MissesKey() const;
  bool NeedsClaim() const { return !m_policy.idempotent && m_facts.has_key; }
  bool MayRetry() const;
  bool IsCurrent(const core::AttemptId& attempt) const { return m_attempt == attempt; }
  bool DeadlinePassed() const { return m_now >= m_deadline; }
  bool ClaimOverdue() const { return m_claim_deadline && m_now >= *m_claim_deadline; }
  InjectedFault fault() const { return m_fault; }

  /// \brief Notes that the upstream of `attempt` may have received a byte of it.
  void MarkSent(const core::AttemptId& attempt);
  /// \brief Notes that the current attempt reached no upstream.
  void MarkUnconnected() { ++m_connect_failures; }
  /// \brief Notes that the upstream of the current attempt has not run it.
  void MarkRefused() { m_current_sent = false; }
  /// \brief Whether some attempt may have begun to run.
  bool Sent() const { return m_sent || m_current_sent; }
  /// \brief Releases a claim whose grant arrives after the request has failed without it.
  void ReleaseLateClaim();

  void OnStarted(const Started& event);
  void OnMissingKey(const Started& event);
  void OnAdmittedToClaim(const Admitted& event);
  void OnAdmitted(const Admitted& event);
  void OnRefused(const Refused& event);
  void OnClaimGranted(const ClaimGranted& event);
  void OnClaimDenied(const ClaimDenied& event);
  void OnRecordedAnswer(const ClaimDenied& event);
  void OnClaimTimedOut(const ClaimTimedOut& event);
  void OnReplicaChosen(const ReplicaChosen& event);
  void OnNoReplica(const NoReplica& event);
  void OnRetryGranted(const RetryGranted& event);
  void OnRetryDenied(const RetryDenied& event);
  void OnChunkAccepted(const ChunkAccepted& event);
  void OnAnswerEnded(const AnswerEnded& event);
  void OnBrokenRetry(const AttemptBroken& event);
  void OnBrokenFail(const AttemptBroken& event);
  void OnFailedRetry(const AnswerFailed& event);
  void OnFailedAnswer(const AnswerFailed& event);
  void OnStopped(const Stopped& event);

  void set_state(RequestState state) { m_state = state; }
  RequestState state() const { return m_state; }
  std::optional<core::Instant> WakeAt() const;
  RequestSnapshot Snapshot() const;

 private:
  void Choose();
  /// \brief Attempts that count against the limit.
  int CountedAttempts() const;
  void EndAttempt(AttemptResult result, bool connection_open);
  void Fail(RequestError error, std::optional<core::Duration> retry_after = std::nullopt,
            std::optional<core::Execution> execution = std::nullopt);
  void Conclude(std::optional<RequestError> error, core::Execution execution, ClaimOutcome outcome);

  RequestPolicy m_policy;
  RequestAttributes m_facts;
  core::Instant m_start;
  core::Instant m_deadline;
  InjectedFault m_fault;
  core::Instant m_now;
  RequestState m_state = RequestState::kIdle;
  std::vector<RequestAction> m_actions;

  int m_attempts = 0;
  int m_connect_failures = 0;
  bool m_sent = false;           ///< an earlier attempt sent a byte, or may have
  bool m_current_sent = false;   ///< the current attempt did
  bool m_failed_answer = false;  ///< the driver holds a failed answer of the upstream
  std::optional<core::Duration> m_retry_after;
  bool m_forwarded = false;
  bool m_claim_pending = false;  ///< asked for and neither granted nor denied so far
  bool m_claim_held = false;
  std::optional<core::Instant> m_claim_deadline;
  std::optional<core::AttemptId> m_attempt;
  core::UpstreamId m_upstream;
  std::set<core::UpstreamId> m_tried;
  StreamPosition m_position;
  std::optional<RequestError> m_error;
};

}  // namespace cornelrelay::request::internal
