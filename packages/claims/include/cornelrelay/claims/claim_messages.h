#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "cornelrelay/claims/claim_state.h"
#include "cornelrelay/claims/id128.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::claims {

/// \brief Entry process to owner: claim a key.
struct ClaimCall {
  ClaimCallId call;
  std::uint32_t partition = 0;
  KeyDigest key;
  BodyDigest body;
  core::Instant key_time;
  friend bool operator==(const ClaimCall&, const ClaimCall&) = default;
};

enum class ClaimAnswer : std::uint8_t {
  kGranted = 1,
  kOutcomeUnknown = 2,  ///< claimed by another call, no outcome recorded
  kCompleted = 3,       ///< already run; the recorded answer may be empty
  kBodyMismatch = 4,    ///< the key was used with a different body
  kKeyExpired = 5,      ///< the claims of that time are dropped
  kRefused = 6,         ///< the claim could not be made durable; this call must not be dispatched
};

std::string_view ToString(ClaimAnswer answer);

/// \brief Owner to entry process: the answer to a ClaimCall.
struct ClaimReply {
  ClaimCallId call;
  ClaimAnswer answer = ClaimAnswer::kRefused;
  std::string recorded;
  friend bool operator==(const ClaimReply&, const ClaimReply&) = default;
};

/// \brief Entry process to owner: the outcome of a granted claim, or the release of a call that is
/// never dispatched.
struct ClaimFinish {
  ClaimCallId call;
  std::uint32_t partition = 0;
  KeyDigest key;
  ClaimState outcome = ClaimState::kUnknown;
  std::string recorded;
  friend bool operator==(const ClaimFinish&, const ClaimFinish&) = default;
};

/// \brief Owner to entry process: the outcome is durable, or there is nothing to record.
struct ClaimFinishAck {
  ClaimCallId call;
  friend bool operator==(const ClaimFinishAck&, const ClaimFinishAck&) = default;
};

}  // namespace cornelrelay::claims
