#include "request_core.h"

#include <algorithm>
#include <cassert>
#include <string>
#include <utility>

namespace cornelrelay::request::internal {

namespace {

struct DenialOutcome {
  RequestError error;
  core::Execution execution;
};

DenialOutcome OutcomeOf(ClaimDenial denial) {
  switch (denial) {
    case ClaimDenial::kOutcomeUnknown:
      return {RequestError::kAlreadyClaimed, core::Execution::kUnknown};
    case ClaimDenial::kCompleted:
      return {RequestError::kAlreadyRun, core::Execution::kCompleted};
    case ClaimDenial::kBodyMismatch:
      return {RequestError::kKeyReused, core::Execution::kNotRun};
    case ClaimDenial::kKeyExpired:
      return {RequestError::kKeyExpired, core::Execution::kUnknown};
    case ClaimDenial::kUnavailable:
      return {RequestError::kClaimUnavailable, core::Execution::kUnknown};
  }
  assert(false);
  return {RequestError::kAlreadyClaimed, core::Execution::kUnknown};
}

}  // namespace

RequestCore::RequestCore(RequestPolicy policy, RequestAttributes attributes, core::Instant start,
                         InjectedFault fault)
    : m_policy(policy),
      m_attributes(std::move(attributes)),
      m_start(start),
      m_deadline(start + policy.deadline),
      m_fault(fault),
      m_now(start) {
  assert(policy.max_attempts >= 1);
  assert(policy.deadline > core::Duration::zero());
  assert(!m_attributes.attempt_prefix.empty());
}

void RequestCore::SetNow(core::Instant now) {
  assert(now >= m_now);
  m_now = now;
}

bool RequestCore::LacksRequiredKey() const {
  return !m_policy.idempotent && m_policy.key_required && !m_attributes.has_key;
}

void RequestCore::MarkNotRun(const core::AttemptId& attempt) {
  if (!IsCurrent(attempt)) return;
  m_not_run.insert(attempt);
  m_current_attempt_sent = false;
}

void RequestCore::MarkSent(const core::AttemptId& attempt) {
  if (m_not_run.contains(attempt)) return;
  (IsCurrent(attempt) ? m_current_attempt_sent : m_earlier_attempt_sent) = true;
}

int RequestCore::CountedAttempts() const {
  return m_attempts - std::min(m_connect_failures, m_policy.max_uncounted_connect_failures);
}

bool RequestCore::MayRetry() const {
  if (CountedAttempts() >= m_policy.max_attempts) return false;
  if (!AnyAttemptSent() || m_fault == InjectedFault::kRetryAfterBytesSent) return true;
  return m_policy.idempotent && (m_attributes.resumable || !m_forwarded);
}

void RequestCore::ReleaseLateClaim() {
  if (!std::exchange(m_claim_pending, false)) return;
  assert(!AnyAttemptSent());
  m_actions.emplace_back(FinishClaim{ClaimOutcome::kReleased});
}

void RequestCore::OnStarted(const Started&) { m_actions.emplace_back(AcquireAdmission{}); }

void RequestCore::OnMissingKey(const Started&) { Fail(RequestError::kKeyRequired); }

void RequestCore::OnAdmittedNeedsClaim(const Admitted&) {
  m_claim_pending = true;
  m_claim_deadline = std::min(m_now + m_policy.claim_timeout, m_deadline);
  m_actions.emplace_back(AcquireClaim{*m_claim_deadline});
}

void RequestCore::OnAdmitted(const Admitted&) { RequestUpstream(); }

void RequestCore::OnRequestRefused(const Refused& event) { Fail(event.error, event.retry_after); }

void RequestCore::OnClaimGranted(const ClaimGranted&) {
  m_claim_pending = false;
  m_claim_held = true;
  RequestUpstream();
}

void RequestCore::OnClaimDenied(const ClaimDenied& event) {
  m_claim_pending = false;
  const DenialOutcome outcome = OutcomeOf(event.denial);
  Fail(outcome.error, std::nullopt, outcome.execution);
}

void RequestCore::OnClaimDeniedReplayAnswer(const ClaimDenied& event) {
  assert(event.recorded_answer);
  m_claim_pending = false;
  m_actions.emplace_back(ForwardChunk{*event.recorded_answer});
  m_actions.emplace_back(FinishAnswer{});
  FinishRequest(std::nullopt, core::Execution::kCompleted, ClaimOutcome::kCompleted);
}

void RequestCore::OnClaimTimedOut(const ClaimTimedOut&) { Fail(RequestError::kClaimTimeout); }

void RequestCore::OnUpstreamChosen(const UpstreamChosen& event) {
  assert(CountedAttempts() < m_policy.max_attempts);
  assert(!m_attempt);
  ++m_attempts;
  m_attempt = core::AttemptId(m_attributes.attempt_prefix + '-' + std::to_string(m_attempts));
  m_upstream = event.upstream;
  m_tried.insert(event.upstream);
  m_actions.emplace_back(OpenAttempt{*m_attempt, m_upstream, m_position});
}

void RequestCore::OnNoUpstream(const NoUpstream& event) {
  Fail(m_error.value_or(RequestError::kNoUpstream),
       event.retry_after ? event.retry_after : m_retry_after);
}

void RequestCore::OnRetryGranted(const RetryGranted&) { RequestUpstream(); }

void RequestCore::OnRetryDenied(const RetryDenied&) {
  assert(m_error);
  Fail(*m_error, m_retry_after);
}

void RequestCore::OnChunkAccepted(const ChunkAccepted& event) {
  m_forwarded = true;
  m_position = event.position;
  m_actions.emplace_back(ForwardChunk{event.payload});
}

void RequestCore::OnAnswerEnded(const AnswerEnded& event) {
  if (!event.payload.empty()) m_actions.emplace_back(ForwardChunk{event.payload});
  m_actions.emplace_back(FinishAnswer{});
  EndAttempt(AttemptResult::kCompleted, false);
  FinishRequest(std::nullopt, core::Execution::kCompleted, ClaimOutcome::kCompleted);
}

void RequestCore::OnAttemptFailedRetry(const AttemptFailed& event) {
  m_error = event.error;
  m_retry_after = event.retry_after;
  EndAttempt(event.result, event.connection_open);
  if (m_fault == InjectedFault::kRetryWithoutToken) return;
  m_actions.emplace_back(AcquireRetryToken{});
}

void RequestCore::OnAttemptFailedFinal(const AttemptFailed& event) {
  EndAttempt(event.result, event.connection_open);
  Fail(event.error, event.retry_after);
}

void RequestCore::OnErrorResponseRetry(const ErrorResponseReceived&) {
  m_error_response_received = true;
  OnAttemptFailedRetry({AttemptResult::kFailed, RequestError::kUpstreamFailed, false});
}

void RequestCore::OnErrorResponseFinal(const ErrorResponseReceived&) {
  m_error_response_received = true;
  OnAttemptFailedFinal({AttemptResult::kFailed, RequestError::kUpstreamFailed, false});
}

void RequestCore::OnStopped(const Stopped& event) {
  if (m_attempt) EndAttempt(AttemptResult::kCancelled, true);
  Fail(event.error);
}

std::optional<core::Instant> RequestCore::WakeAt() const {
  if (m_state == RequestState::kCompleted || m_state == RequestState::kFailed) return std::nullopt;
  if (m_state == RequestState::kAwaitingClaim) return m_claim_deadline;
  return m_deadline;
}

RequestSnapshot RequestCore::Snapshot() const {
  return {m_attributes.id, m_state, m_attempts, AnyAttemptSent(), m_claim_held, m_position.sequence,
          m_attempt,       m_tried, WakeAt(),   m_error,          MayRetry()};
}

void RequestCore::RequestUpstream() { m_actions.emplace_back(ChooseUpstream{m_tried}); }

void RequestCore::EndAttempt(AttemptResult result, bool connection_open) {
  assert(m_attempt);
  if (connection_open) m_actions.emplace_back(CancelAttempt{*m_attempt});
  m_actions.emplace_back(RecordAttempt{*m_attempt, m_upstream, result});
  m_attempt.reset();
  m_earlier_attempt_sent = AnyAttemptSent();
  m_current_attempt_sent = false;
}

void RequestCore::Fail(RequestError error, std::optional<core::Duration> retry_after,
                       std::optional<core::Execution> execution) {
  m_error = error;
  // Only a granted claim proves that no earlier call under the same key has run.
  const bool earlier_call_possible = NeedsClaim() && !m_claim_held;
  const bool not_run = (!AnyAttemptSent() && !earlier_call_possible &&
                        m_fault != InjectedFault::kReportUnknownBeforeSending) ||
                       m_fault == InjectedFault::kReportNotRunAfterSending;
  const core::Execution reported_execution =
      execution.value_or(not_run ? core::Execution::kNotRun : core::Execution::kUnknown);
  if (m_error_response_received && error != RequestError::kCallerGone && !m_forwarded) {
    // The error response of the upstream tells the caller more than an error of this process.
    m_actions.emplace_back(ForwardErrorResponse{});
  } else if (error != RequestError::kCallerGone) {
    m_actions.emplace_back(SendError{error, reported_execution, retry_after});
  }
  const bool release = !AnyAttemptSent() || m_fault == InjectedFault::kReleaseAfterSending;
  FinishRequest(error, reported_execution,
                release ? ClaimOutcome::kReleased : ClaimOutcome::kUnknown);
}

void RequestCore::FinishRequest(std::optional<RequestError> error, core::Execution execution,
                                ClaimOutcome outcome) {
  if (std::exchange(m_claim_held, false)) m_actions.emplace_back(FinishClaim{outcome});
  m_actions.emplace_back(RecordOutcome{error, execution, m_attempts, m_now - m_start});
}

}  // namespace cornelrelay::request::internal
