#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "cornelrelay/claims/claim_messages.h"
#include "cornelrelay/gossip/message.h"
#include "cornelrelay/wire/catalogue_messages.h"
#include "cornelrelay/wire/order_forward.h"
#include "cornelrelay/wire/table_messages.h"

namespace cornelrelay::wire {

/// \brief Every message between own processes. The order of the alternatives is the wire format.
using ControlMessage =
    std::variant<gossip::Probe, gossip::ProbeAck, gossip::ProbeRequest, gossip::GossipPush,
                 claims::ClaimCall, claims::ClaimReply, claims::ClaimFinish, CatalogueFetch,
                 CatalogueTransfer, OrderForward, TableFetch, TableTransfer, claims::ClaimFinishAck,
                 CatalogueConfirm>;

/// \brief Longest encoded message: a catalogue and its header.
inline constexpr std::size_t kMaxMessage = kMaxCatalogue + 64;

/// \brief Encodes and decodes one message (cereal portable binary).
///
/// Encode throws MessageTooLarge for a field over its bound; Decode throws MessageTooLarge or
/// MalformedMessage.
/// \code
/// const ControlMessage copy = Decode(Encode(message));
/// \endcode
std::string Encode(const ControlMessage& message);
ControlMessage Decode(std::string_view bytes);

}  // namespace cornelrelay::wire
