#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cornelrelay/peers/peer_status.h"
#include "cornelrelay/store/item_change.h"

namespace cornelrelay::wire {

/// \brief Items of the store as one entry process passes them to another.
struct ItemsTransfer {
  std::vector<store::ItemChange> changes;
  store::StoreRevision revision = 0;  ///< complete up to here

  friend bool operator==(const ItemsTransfer&, const ItemsTransfer&) = default;
};

/// \throws MessageTooLarge
std::string Encode(const peers::PeerStatus& bulletin);
std::string Encode(const ItemsTransfer& transfer);

/// \throws MalformedMessage, MessageTooLarge
peers::PeerStatus DecodePeerStatus(std::string_view bytes);
ItemsTransfer DecodeItemsTransfer(std::string_view bytes);

}  // namespace cornelrelay::wire
