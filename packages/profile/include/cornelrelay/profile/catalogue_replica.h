#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/random.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/profile/catalogue.h"
#include "cornelrelay/profile/replica_messages.h"
#include "cornelrelay/profile/replica_options.h"

namespace cornelrelay::profile {

/// \brief Keeps one process's catalogue up to date and never goes back to a lower revision.
///
/// It learns of changes in three ways, none of which is needed alone: by watching the store (only
/// where the caller chooses this process as a watcher), by reading the store at a jittered
/// interval, and by fetching from a peer whose gossiped revision is higher. A watcher goes to the
/// store first and to peers when the store fails; the others go to peers first and to the store
/// after two failed fetches.
///
/// \code
/// CatalogueReplica replica(options, seed);
/// for (const auto& action : replica.Step(now, ReplicaTick{})) Run(action);
/// if (replica.catalogue()) Serve();
/// \endcode
class CatalogueReplica {
 public:
  CatalogueReplica(const ReplicaOptions& options, std::uint64_t seed,
                   ReplicaFault fault = ReplicaFault::kNone);

  std::vector<ReplicaAction> Step(core::Instant now, const ReplicaEvent& event);

  /// \brief The next moment at which a ReplicaTick can change something.
  core::Instant NextWake() const;

  /// \brief Null until the first catalogue has been learned; no caller may be served before.
  const std::shared_ptr<const Catalogue>& catalogue() const { return m_catalogue; }
  /// \brief The revision to gossip; empty without a catalogue.
  std::optional<CatalogueRevision> revision() const;

  bool Watching() const { return m_watching; }
  bool StoreFailing() const { return m_store_failures > 0; }
  std::size_t KnownPeers() const { return m_peers.size(); }
  std::uint64_t MalformedSeen() const { return m_malformed; }
  core::Instant NextRead() const { return m_next_read; }

 private:
  struct Peer {
    CatalogueRevision revision = 0;
    core::Instant rests_until{};
  };
  struct Fetch {
    CallNumber call = 0;
    core::HostId peer;
    core::Instant deadline{};
  };
  struct StoreRead {
    CallNumber call = 0;
    core::Instant deadline{};
  };
  using Actions = std::vector<ReplicaAction>;

  void OnRead(core::Instant now, const CatalogueKeyRead& event, Actions& out);
  void OnChanged(core::Instant now, const CatalogueKeyChanged& event, Actions& out);
  void OnStoreFailure(core::Instant now, const StoreCallFailed& event);
  void OnPeerCatalogue(core::Instant now, const PeerCatalogue& event, Actions& out);
  void OnConfirmation(core::Instant now, const ConfirmationHeard& event);
  void OnPeerGone(core::Instant now, const PeerGone& event);
  void SetWatching(core::Instant now, bool watching, Actions& out);
  void EndFetch(core::Instant now, bool useful);
  void ReadFailed(core::Instant now);
  void Expire(core::Instant now);
  void Pursue(core::Instant now, Actions& out);
  void PursueNewerPeer(core::Instant now, Actions& out);
  void StartRead(core::Instant now, Actions& out);
  const core::HostId* ChoosePeer(core::Instant now);
  bool IsNewer(const Peer& peer) const;
  bool AnyNewerPeer() const;
  /// \brief The revision of the bytes; empty when they are malformed.
  std::optional<CatalogueRevision> Learn(const std::string& bytes, const std::string& source,
                                         Actions& out);
  void Apply(Catalogue catalogue, Actions& out);
  void Confirm(std::optional<CatalogueRevision> revision, Actions& out) const;
  core::Duration Jitter(core::Duration from, core::Duration to);

  ReplicaOptions m_options;
  core::Random m_random;
  ReplicaFault m_fault;
  std::shared_ptr<const Catalogue> m_catalogue;
  std::map<core::HostId, Peer> m_peers;
  bool m_watching = false;
  KeyRevision m_key_revision = 0;
  bool m_key_known = false;
  core::Instant m_next_read{};
  core::Instant m_next_watch{};
  core::Instant m_next_heard_read{};
  std::optional<core::Instant> m_fetch_at;  ///< set while a peer is known to be newer
  std::optional<StoreRead> m_read;
  std::optional<CallNumber> m_watch;
  std::optional<Fetch> m_fetch;
  CallNumber m_last_call = 0;
  std::uint32_t m_store_failures = 0;
  std::uint32_t m_peer_failures = 0;
  std::uint64_t m_malformed = 0;
};

}  // namespace cornelrelay::profile
