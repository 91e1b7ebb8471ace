#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "cornelrelay/claims/claim_messages.h"
#include "cornelrelay/claims/idempotency_key.h"
#include "cornelrelay/claims/owner_events.h"
#include "cornelrelay/core/execution.h"
#include "cornelrelay/core/ids.h"

namespace cornelrelay::claims {

/// \brief A caller's request wants to run. Answered by one GrantClaim or one DenyClaim with the
/// same request id, which must be unique within the process (an id that a caller chose may repeat).
struct ClaimRequested {
  core::RequestId request;
  core::ClientAccountId account;
  IdempotencyKey key;
  BodyDigest body;
  core::Instant deadline;
};

/// \brief The outcome of a granted request. `kReleased` needs proof that no byte was sent upstream.
struct OutcomeKnown {
  core::RequestId request;
  ClaimState outcome = ClaimState::kUnknown;
  std::string recorded;
};

/// \brief The caller is gone; the claim is given up unless it was granted.
struct ClaimAbandoned {
  core::RequestId request;
};

struct ClaimReplyReceived {
  ClaimReply message;
};

struct FinishAckReceived {
  ClaimFinishAck message;
};

/// \brief The entry processes that are believed to be live. A wrong belief costs time, never
/// safety.
struct LiveMembers {
  std::set<core::HostId> members;
};

using ClientEvent = std::variant<ClaimRequested, OutcomeKnown, ClaimAbandoned, ClaimReplyReceived,
                                 FinishAckReceived, LiveMembers, ClaimTick>;

enum class DenyReason : std::uint8_t {
  kOutcomeUnknown = 1,
  kCompleted = 2,
  kBodyMismatch = 3,
  kKeyExpired = 4,
  kKeyFromFuture = 5,
  kUnavailable = 6,  ///< no durable claim in time
  kOverloaded = 7,
};

std::string_view ToString(DenyReason reason);

struct SendClaimCall {
  core::HostId to;
  ClaimCall message;
  friend bool operator==(const SendClaimCall&, const SendClaimCall&) = default;
};

struct SendClaimFinish {
  core::HostId to;
  ClaimFinish message;
  friend bool operator==(const SendClaimFinish&, const SendClaimFinish&) = default;
};

/// \brief The request may be sent upstream, once. OutcomeKnown must follow.
struct GrantClaim {
  core::RequestId request;
  friend bool operator==(const GrantClaim&, const GrantClaim&) = default;
};

/// \brief The request is not sent upstream by this process.
///
/// `execution` is what the caller is told. `kNotRun` says that the call answered here never runs;
/// an earlier call with the same key that was left without an answer may have run, so a caller
/// repeats it under the same key.
struct DenyClaim {
  core::RequestId request;
  DenyReason reason = DenyReason::kUnavailable;
  core::Execution execution = core::Execution::kNotRun;
  std::string recorded;
  friend bool operator==(const DenyClaim&, const DenyClaim&) = default;
};

using ClientAction = std::variant<SendClaimCall, SendClaimFinish, GrantClaim, DenyClaim>;

}  // namespace cornelrelay::claims
