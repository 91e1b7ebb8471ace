#pragma once

#include <variant>

#include "cornelrelay/claims/claim_messages.h"
#include "cornelrelay/claims/store_calls.h"
#include "cornelrelay/core/ids.h"

namespace cornelrelay::claims {

struct ClaimCallReceived {
  core::HostId from;
  ClaimCall message;
};

struct ClaimFinishReceived {
  core::HostId from;
  ClaimFinish message;
};

/// \brief Time has passed; due at ClaimOwner::NextTick() or ClaimClient::NextTick().
struct ClaimTick {};

using OwnerEvent = std::variant<ClaimCallReceived, ClaimFinishReceived, StoreReadDone,
                                StoreSwapDone, StoreAnswerLost, StoreUnavailable, ClaimTick>;

struct SendClaimReply {
  core::HostId to;
  ClaimReply message;
  friend bool operator==(const SendClaimReply&, const SendClaimReply&) = default;
};

struct SendFinishAck {
  core::HostId to;
  ClaimFinishAck message;
  friend bool operator==(const SendFinishAck&, const SendFinishAck&) = default;
};

using OwnerAction = std::variant<StoreRead, StoreSwap, SendClaimReply, SendFinishAck>;

}  // namespace cornelrelay::claims
