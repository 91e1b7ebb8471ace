#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cornelrelay/core/random.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/peers/peer_messages.h"
#include "cornelrelay/peers/store_role.h"

namespace cornelrelay::peers {

struct PeerTableConfig {
  core::HostId self;
  core::DataCentreId data_centre;
  std::uint64_t seed = 0;
  /// Interval at which this process sends its status to each live peer while its load changes.
  core::Duration busy_interval = std::chrono::milliseconds(40);
  /// Interval at which this process sends its status to each live peer while its load is unchanged.
  core::Duration idle_interval = std::chrono::milliseconds(250);
  /// Upper bound on the send rate; the interval grows with the number of peers in large fleets.
  double datagrams_per_second = 200;
  /// A peer that sends nothing for this long is considered lost, and its requests no longer count.
  core::Duration silence_timeout = std::chrono::milliseconds(1'500);
  /// The same as a multiple of the interval between statuses, where that is longer: in a large
  /// fleet one lost datagram must not make a peer look lost.
  int silent_intervals = 3;
  /// Least interval between statuses that announce newer items or a crash.
  core::Duration announcement_interval = std::chrono::milliseconds(100);
  /// Up to this number of processes, all follow the store. They share its calls anyway.
  std::size_t small_fleet = 12;
  /// Processes of each data centre of a larger fleet that follow the store.
  std::size_t readers_per_data_centre = 2;
  /// Minimum interval between statuses to a silent peer, which probe whether it is back.
  core::Duration probe_interval = std::chrono::seconds(1);
  /// A silent peer is no longer probed when this much time has passed since it fell silent or was
  /// registered.
  core::Duration probe_time = std::chrono::seconds(120);
  /// A silent peer is counted among those that may still send requests to upstreams until this much
  /// time has passed since it fell silent or was registered. Longer than most cuts of a link.
  core::Duration possibly_running_time = std::chrono::minutes(10);
  /// While it is connected to the store, this process waits this long for a newer revision from
  /// there before it fetches it from a peer: a working connection delivers changes within this
  /// time.
  core::Duration store_delivery_time = std::chrono::milliseconds(120);
  /// The next fetch starts no earlier than this after the start of a fetch that failed or has not
  /// ended.
  core::Duration fetch_retry_interval = std::chrono::milliseconds(600);
};

/// \brief Tracks the other entry processes: their load, and which of them have a newer revision of
/// the store's data than this process.
///
/// \code
/// PeerTable peers(config);
/// for (const PeerAction& action : peers.Step(now, PeerStatusReceived{status})) ...
/// \endcode
class PeerTable {
 public:
  explicit PeerTable(PeerTableConfig config);

  std::vector<PeerAction> Step(core::Instant now, const PeerEvent& event);
  /// \brief Returns when PeerTick is due.
  core::Instant NextWake() const;

  /// \brief Returns the number of requests that all live peers have in flight on each upstream.
  std::map<core::UpstreamId, std::uint32_t> InFlight() const;
  /// \brief Returns the number of requests of the service that are queued in all live peers, for
  /// each priority that has any.
  std::map<std::uint8_t, std::uint32_t> Waiting(const core::ServiceId& service) const;
  /// \brief The latest that live peers have heard of the rate limit of an upstream.
  struct HeardRateLimit {
    std::optional<double> per_second;
    core::Instant at;
  };
  std::map<core::UpstreamId, HeardRateLimit> RateLimits() const;
  /// \brief Returns this process and the live peers.
  std::vector<core::HostId> LiveProcesses() const;
  /// \brief Returns this process, the live peers and those that may run although they are silent:
  /// the link to them may be cut.
  std::vector<core::HostId> PossiblyRunningProcesses(core::Instant now) const;
  std::size_t live_count() const;
  /// \brief Returns whether a live peer is connected to the store.
  bool AnyConnectedToStore() const;
  /// \brief Returns whether this process is to follow the store itself.
  StoreRole store_role() const;
  /// \brief Returns a counter that changes when InFlight(), Waiting() or store_role() may have
  /// changed.
  std::uint64_t version() const { return m_version; }

 private:
  struct Peer {
    core::Endpoint endpoint;
    core::Instant inactive_since{};              ///< when it was registered or last fell silent
    std::optional<core::Instant> last_received;  ///< none before the first status
    bool live = false;
    core::Instant next_probe{};
    PeerStatus status;
  };
  using Actions = std::vector<PeerAction>;

  void Apply(core::Instant now, const PeerRegistered& event, Actions& out);
  void Apply(core::Instant now, const PeerUnregistered& event, Actions& out);
  void Apply(core::Instant now, const PeerStatusReceived& event, Actions& out);
  void Apply(core::Instant now, const LocalItemsChanged& event, Actions& out);
  void Apply(core::Instant now, const LocalLoadChanged& event, Actions& out);
  void Apply(core::Instant now, const LocalSuspectsChanged& event, Actions& out);
  void Apply(core::Instant now, const FetchEnded& event, Actions& out);
  void Apply(core::Instant now, const PeerTick& event, Actions& out);

  /// \brief Returns `base`, or a longer interval if the statuses to all peers would exceed
  /// PeerTableConfig::datagrams_per_second.
  core::Duration SendInterval(core::Duration base) const;
  core::Duration SilenceTimeout() const;
  core::Instant NextSend() const;
  bool KnowsMore(const PeerStatus& status) const;
  void MarkSilentPeers(core::Instant now, Actions& out);
  void SendDue(core::Instant now, Actions& out);
  void FetchIfBehind(core::Instant now, Actions& out);

  PeerTableConfig m_config;
  core::Random m_random;
  std::map<core::HostId, Peer> m_peers;
  store::StoreVersion m_local_items;
  std::uint64_t m_local_configuration = 0;
  bool m_store_connected = false;
  std::optional<core::Instant> m_behind_since;
  std::optional<core::Instant> m_fetching_since;
  core::Instant m_last_send{};
  bool m_load_changed = true;
  bool m_news_sent = true;  ///< a status has told of the newest items and crashes
  std::uint64_t m_version = 0;
};

}  // namespace cornelrelay::peers
