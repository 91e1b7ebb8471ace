#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/peers/peer_status.h"
#include "cornelrelay/store/store_version.h"

namespace cornelrelay::peers {

/// \brief The process is registered in the store.
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
/// \brief This process's copy of the store's items or its connection to the store changed.
struct LocalItemsChanged {
  store::StoreVersion version;
  std::uint64_t configuration_version = 0;
  bool store_connected = false;
};
/// \brief The load of this process changed, so the next status is due sooner.
struct LocalLoadChanged {};
/// \brief This process has seen a crash that its peers do not know of, so the next status is due
/// sooner.
struct LocalSuspectsChanged {};
/// \brief A fetch of items from a peer has ended.
struct FetchEnded {
  bool succeeded = false;
};
struct PeerTick {};

using PeerEvent =
    std::variant<PeerRegistered, PeerUnregistered, PeerStatusReceived, LocalItemsChanged,
                 LocalLoadChanged, LocalSuspectsChanged, FetchEnded, PeerTick>;

/// \brief Send a status to these peers.
struct SendStatus {
  std::vector<core::Endpoint> to;
};
/// \brief Fetch the items that changed after version `since` from a peer, and its configuration if
/// that is newer than `configuration_version`.
struct FetchItems {
  core::HostId host;
  core::Endpoint endpoint;
  store::StoreVersion since;
  std::uint64_t configuration_version = 0;
};
/// \brief A peer sent a status for the first time, after a silence or after a restart.
struct PeerAppeared {
  core::HostId host;
  std::uint64_t incarnation = 0;
};
/// \brief A peer has sent no status within PeerTableConfig::silence_timeout.
struct PeerSilent {
  core::HostId host;
};

using PeerAction = std::variant<SendStatus, FetchItems, PeerAppeared, PeerSilent>;

}  // namespace cornelrelay::peers
