#pragma once

#include <compare>
#include <cstdint>
#include <variant>

#include "cornelrelay/store/store_reply.h"
#include "cornelrelay/store/store_request.h"

namespace cornelrelay::store {

/// \brief Names a call between the StoreClient and its user; chosen by the user, never reused.
using StoreCallId = std::uint64_t;

/// \brief Names one transmission of a call; chosen by the StoreClient, never reused.
using TransmissionId = std::uint64_t;

/// \brief The user asks for a call.
struct CallSubmitted {
  StoreCallId call = 0;
  StoreRequest request;

  friend auto operator<=>(const CallSubmitted&, const CallSubmitted&) = default;
};

/// \brief The user does not want the call's result any more.
struct CallCancelled {
  StoreCallId call = 0;

  friend auto operator<=>(const CallCancelled&, const CallCancelled&) = default;
};

/// \brief The transport has a result for a transmission.
struct ReplyReceived {
  TransmissionId transmission = 0;
  StoreReply reply;

  friend auto operator<=>(const ReplyReceived&, const ReplyReceived&) = default;
};

/// \brief Time has passed; see StoreClient::NextWake().
struct ClientTick {
  friend auto operator<=>(const ClientTick&, const ClientTick&) = default;
};

using StoreClientEvent = std::variant<CallSubmitted, CallCancelled, ReplyReceived, ClientTick>;

/// \brief The transport must send this request to the store.
struct TransmitCall {
  TransmissionId transmission = 0;
  StoreRequest request;

  friend auto operator<=>(const TransmitCall&, const TransmitCall&) = default;
};

/// \brief The transport may drop the transmission; its result is of no interest.
struct AbandonTransmission {
  TransmissionId transmission = 0;

  friend auto operator<=>(const AbandonTransmission&, const AbandonTransmission&) = default;
};

/// \brief The final result of a call; exactly one per submitted call that was not cancelled.
struct DeliverReply {
  StoreCallId call = 0;
  StoreReply reply;

  friend auto operator<=>(const DeliverReply&, const DeliverReply&) = default;
};

using StoreClientAction = std::variant<TransmitCall, AbandonTransmission, DeliverReply>;

}  // namespace cornelrelay::store
