#pragma once

#include <cstddef>
#include <string>

#include "cornelrelay/claims/claim_state.h"
#include "cornelrelay/claims/id128.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::claims {

/// \brief Longest recorded answer in bytes; longer answers are recorded as empty ("already run").
inline constexpr std::size_t kMaxRecordedAnswer = 512;

/// \brief The record of one idempotency key.
struct Claim {
  KeyDigest key;
  BodyDigest body;
  ClaimCallId holder;
  ClaimState state = ClaimState::kGranted;
  core::Instant key_time;  ///< time in the idempotency key; decides when the claim may be dropped
  core::Instant time;      ///< when the owner wrote this state
  std::string answer;      ///< only when completed

  friend bool operator==(const Claim&, const Claim&) = default;
};

}  // namespace cornelrelay::claims
