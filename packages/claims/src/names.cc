#include "cornelrelay/claims/claim_messages.h"
#include "cornelrelay/claims/claim_state.h"
#include "cornelrelay/claims/client_events.h"

namespace cornelrelay::claims {

std::string_view ToString(ClaimState state) {
  switch (state) {
    case ClaimState::kGranted:
      return "granted";
    case ClaimState::kCompleted:
      return "completed";
    case ClaimState::kReleased:
      return "released";
    case ClaimState::kUnknown:
      break;
  }
  return "unknown";
}

std::string_view ToString(ClaimAnswer answer) {
  switch (answer) {
    case ClaimAnswer::kGranted:
      return "granted";
    case ClaimAnswer::kOutcomeUnknown:
      return "outcome_unknown";
    case ClaimAnswer::kCompleted:
      return "completed";
    case ClaimAnswer::kBodyMismatch:
      return "body_mismatch";
    case ClaimAnswer::kKeyExpired:
      return "key_expired";
    case ClaimAnswer::kRefused:
      break;
  }
  return "refused";
}

std::string_view ToString(DenyReason reason) {
  switch (reason) {
    case DenyReason::kOutcomeUnknown:
      return "outcome_unknown";
    case DenyReason::kCompleted:
      return "already_run";
    case DenyReason::kBodyMismatch:
      return "idempotency_key_mismatch";
    case DenyReason::kKeyExpired:
      return "key_expired";
    case DenyReason::kKeyFromFuture:
      return "key_from_future";
    case DenyReason::kOverloaded:
      return "overloaded";
    case DenyReason::kUnavailable:
      break;
  }
  return "claims_unavailable";
}

}  // namespace cornelrelay::claims
