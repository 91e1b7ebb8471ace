#include <cassert>

#include "cornelrelay/request/request_action.h"
#include "cornelrelay/request/request_error.h"
#include "cornelrelay/request/request_state.h"

namespace cornelrelay::request {

namespace {

struct ErrorText {
  std::string_view type;
  std::string_view message;
};

ErrorText TextOf(RequestError error) {
  switch (error) {
    case RequestError::kOverloaded:
      return {"overloaded", "the queue of the client account is full"};
    case RequestError::kRateLimited:
      return {"rate_limited", "the client account exceeds its rate"};
    case RequestError::kDeadlineUnreachable:
      return {"deadline_unreachable", "the request cannot finish before its deadline"};
    case RequestError::kRequestQuarantined:
      return {"request_quarantined", "the request crashed upstreams and is refused"};
    case RequestError::kKeyRequired:
      return {"key_required", "the service requires an Idempotency-Key header"};
    case RequestError::kKeyExpired:
      return {"key_expired", "the idempotency key is older than the retention"};
    case RequestError::kKeyReused:
      return {"key_reused", "the idempotency key was used with a different body"};
    case RequestError::kAlreadyClaimed:
      return {"already_claimed", "the idempotency key was used and its outcome is unknown"};
    case RequestError::kAlreadyRun:
      return {"already_run", "the request with this idempotency key has run"};
    case RequestError::kClaimUnavailable:
      return {"claim_unavailable", "claims cannot be recorded at present"};
    case RequestError::kClaimTimeout:
      return {"claim_timeout", "the claim was not recorded in time"};
    case RequestError::kNoUpstream:
      return {"no_replica", "no replica of the service is available"};
    case RequestError::kConnectFailed:
      return {"connect_failed", "no connection to the tried replicas"};
    case RequestError::kUpstreamBroken:
      return {"upstream_broken", "the upstream broke off its answer"};
    case RequestError::kUpstreamFailed:
      return {"upstream_failed", "the upstream answered with a server error"};
    case RequestError::kForeignAnswer:
      return {"foreign_answer", "the upstream sent data of another request"};
    case RequestError::kDeadlineExceeded:
      return {"deadline_exceeded", "the deadline of the request has passed"};
    case RequestError::kShutdown:
      return {"shutdown", "the entry process reached the time limit of its shutdown"};
    case RequestError::kCallerGone:
      return {"caller_gone", "the caller closed its connection"};
  }
  assert(false);
  return {"internal", "internal error"};
}

}  // namespace

std::string_view ToString(RequestError error) { return TextOf(error).type; }
std::string_view Describe(RequestError error) { return TextOf(error).message; }

std::string_view ToString(RequestState state) {
  switch (state) {
    case RequestState::kIdle:
      return "idle";
    case RequestState::kAwaitingAdmission:
      return "awaiting_admission";
    case RequestState::kAwaitingClaim:
      return "awaiting_claim";
    case RequestState::kAwaitingUpstreamChoice:
      return "awaiting_replica";
    case RequestState::kAwaitingRetryToken:
      return "awaiting_retry_token";
    case RequestState::kConnecting:
      return "connecting";
    case RequestState::kAwaitingHead:
      return "awaiting_head";
    case RequestState::kStreaming:
      return "streaming";
    case RequestState::kCompleted:
      return "completed";
    case RequestState::kFailed:
      return "failed";
  }
  assert(false);
  return "unknown";
}

std::string_view ToString(AttemptResult result) {
  switch (result) {
    case AttemptResult::kCompleted:
      return "completed";
    case AttemptResult::kConnectFailed:
      return "connect_failed";
    case AttemptResult::kBroken:
      return "broken";
    case AttemptResult::kFailed:
      return "failed";
    case AttemptResult::kForeign:
      return "foreign";
    case AttemptResult::kRefused:
      return "refused";
    case AttemptResult::kCancelled:
      return "cancelled";
  }
  assert(false);
  return "unknown";
}

}  // namespace cornelrelay::request
