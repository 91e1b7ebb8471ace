#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/peers/bulletin.h"

namespace cornelrelay::peers {

/// \brief The store's list names this process.
struct PeerRegistered {
  core::HostId host;
  core::Endpoint endpoint;
};
struct PeerUnregistered {
  core::HostId host;
};
struct BulletinReceived {
  Bulletin bulletin;
};
/// \brief The own copy of the store's items changed, or the own link to the store.
struct OwnItemsChanged {
  std::int64_t revision = 0;
  bool store_linked = false;
};
/// \brief The own loads changed, so that the next bulletin is due soon.
struct OwnLoadChanged {};
/// \brief A fetch of items from a peer has ended.
struct FetchEnded {
  bool succeeded = false;
};
struct PeerTick {};

using PeerEvent = std::variant<PeerRegistered, PeerUnregistered, BulletinReceived, OwnItemsChanged,
                               OwnLoadChanged, FetchEnded, PeerTick>;

/// \brief Send a bulletin to these peers.
struct SendBulletin {
  std::vector<core::Endpoint> to;
};
/// \brief Ask a peer for the items that changed after a revision.
struct FetchItems {
  core::HostId host;
  core::Endpoint endpoint;
  std::int64_t since = 0;
};
struct PeerAppeared {
  core::HostId host;
  std::uint64_t incarnation = 0;
};
struct PeerSilent {
  core::HostId host;
};

using PeerAction = std::variant<SendBulletin, FetchItems, PeerAppeared, PeerSilent>;

}  // namespace cornelrelay::peers
