#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/peers/peer_status.h"

namespace cornelrelay::peers {

/// \brief The store's list names this process.
struct PeerRegistered {
  core::HostId host;
  core::Endpoint endpoint;
};
struct PeerUnregistered {
  core::HostId host;
};
struct PeerStatusReceived {
  PeerStatus status;
};
/// \brief The own copy of the store's items changed, or the own link to the store.
struct LocalItemsChanged {
  std::int64_t revision = 0;
  bool store_connected = false;
};
/// \brief The own loads changed, so that the next bulletin is due soon.
struct LocalLoadChanged {};
/// \brief A fetch of items from a peer has ended.
struct FetchEnded {
  bool succeeded = false;
};
struct PeerTick {};

using PeerEvent = std::variant<PeerRegistered, PeerUnregistered, PeerStatusReceived,
                               LocalItemsChanged, LocalLoadChanged, FetchEnded, PeerTick>;

/// \brief Send a bulletin to these peers.
struct SendStatus {
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

using PeerAction = std::variant<SendStatus, FetchItems, PeerAppeared, PeerSilent>;

}  // namespace cornelrelay::peers
