#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cornelrelay/peers/peer_status.h"
#include "cornelrelay/store/item_change.h"
#include "cornelrelay/store/store_version.h"

namespace cornelrelay::wire {

/// \brief Items of the store as one entry process passes them to another.
struct ItemsTransfer {
  std::vector<store::ItemChange> changes;
  store::StoreVersion version;  ///< complete up to here
  bool all_items = false;       ///< `changes` are all items; others were deleted
  /// The configuration in force, if it is newer than that of the receiver. The store may hold an
  /// older one after a restore.
  std::optional<store::ItemChange> configuration;

  friend bool operator==(const ItemsTransfer&, const ItemsTransfer&) = default;
};

/// \brief A status as it is sent, and how many entries of its lists were left out.
struct EncodedStatus {
  std::string bytes;
  std::size_t omitted = 0;
};

/// \brief Encodes a status in at most `limit` bytes.
///
/// Leaves out entries that the format cannot hold, and the last ones of the longest lists if the
/// status exceeds the limit: a short status is worth more to the receivers than none.
/// \throws MessageTooLarge if the sender's own names exceed their bounds
EncodedStatus EncodeWithin(peers::PeerStatus status, std::size_t limit);

/// \throws MessageTooLarge
std::string Encode(const peers::PeerStatus& bulletin);
std::string Encode(const ItemsTransfer& transfer);

/// \throws MalformedMessage, MessageTooLarge
peers::PeerStatus DecodePeerStatus(std::string_view bytes);
ItemsTransfer DecodeItemsTransfer(std::string_view bytes);

}  // namespace cornelrelay::wire
