#pragma once

#include <compare>
#include <memory>
#include <string>
#include <variant>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/profile/catalogue.h"
#include "cornelrelay/profile/store_messages.h"

namespace cornelrelay::profile {

/// \brief Time has passed; the first tick starts the replica.
struct ReplicaTick {
  friend auto operator<=>(const ReplicaTick&, const ReplicaTick&) = default;
};

/// \brief The caller decides whether this process is one of its data centre's watchers.
struct WatcherChosen {
  bool watching = false;

  friend auto operator<=>(const WatcherChosen&, const WatcherChosen&) = default;
};

/// \brief Gossip names a peer's applied revision.
struct RevisionHeard {
  core::HostId peer;
  CatalogueRevision revision = 0;

  friend auto operator<=>(const RevisionHeard&, const RevisionHeard&) = default;
};

/// \brief The peer is no longer a member.
struct PeerGone {
  core::HostId peer;

  friend auto operator<=>(const PeerGone&, const PeerGone&) = default;
};

/// \brief Gossip names the revision that a watcher has just found in the store.
struct ConfirmationHeard {
  CatalogueRevision revision = 0;

  friend auto operator<=>(const ConfirmationHeard&, const ConfirmationHeard&) = default;
};

struct PeerCatalogue {
  CallNumber call = 0;
  std::string bytes;

  friend auto operator<=>(const PeerCatalogue&, const PeerCatalogue&) = default;
};

struct PeerFetchFailed {
  CallNumber call = 0;

  friend auto operator<=>(const PeerFetchFailed&, const PeerFetchFailed&) = default;
};

using ReplicaEvent = std::variant<ReplicaTick, WatcherChosen, RevisionHeard, PeerGone,
                                  ConfirmationHeard, PeerCatalogue, PeerFetchFailed,
                                  CatalogueKeyRead, CatalogueKeyChanged, StoreCallFailed>;

struct FetchFromPeer {
  CallNumber call = 0;
  core::HostId peer;

  friend auto operator<=>(const FetchFromPeer&, const FetchFromPeer&) = default;
};

/// \brief The process must use this catalogue from now on and gossip its revision.
struct ApplyCatalogue {
  std::shared_ptr<const Catalogue> catalogue;
};

/// \brief A watcher has read this revision in the store; to be gossiped.
struct ConfirmRevision {
  CatalogueRevision revision = 0;

  friend auto operator<=>(const ConfirmRevision&, const ConfirmRevision&) = default;
};

/// \brief Malformed bytes came from the store or a peer; to be logged.
struct ReportMalformed {
  std::string source;
  std::string reason;

  friend auto operator<=>(const ReportMalformed&, const ReportMalformed&) = default;
};

using ReplicaAction = std::variant<ReadCatalogueKey, WatchCatalogueKey, CancelStoreCall,
                                   FetchFromPeer, ApplyCatalogue, ConfirmRevision, ReportMalformed>;

}  // namespace cornelrelay::profile
