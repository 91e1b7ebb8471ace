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

namespace cornelrelay::peers {

struct PeerTableConfig {
  core::HostId self;
  std::uint64_t seed = 0;
  core::Duration busy_interval = std::chrono::milliseconds(40);   ///< while the own load changes
  core::Duration idle_interval = std::chrono::milliseconds(250);  ///< otherwise
  /// Bounds the cost in large fleets: the interval grows with the number of peers.
  double datagrams_per_second = 200;
  /// A peer that is silent for this long counts as gone with its requests.
  core::Duration silence = std::chrono::milliseconds(1'500);
  core::Duration silent_interval = std::chrono::seconds(1);  ///< of bulletins to a silent peer
  /// A registered peer that has been silent for this long gets none.
  core::Duration forget_time = std::chrono::seconds(120);
  /// The own link to the store delivers changes within this time, if it works.
  core::Duration lag = std::chrono::milliseconds(120);
  core::Duration fetch_timeout = std::chrono::milliseconds(600);
};

/// \brief The other entry processes: what they have in flight, and who knows more of the store.
///
/// \code
/// PeerTable peers(config);
/// for (const PeerAction& action : peers.Step(now, PeerStatusReceived{status})) ...
/// \endcode
class PeerTable {
 public:
  explicit PeerTable(PeerTableConfig config);

  std::vector<PeerAction> Step(core::Instant now, const PeerEvent& event);
  core::Instant NextWake() const;

  /// \brief Requests of all live peers on each upstream.
  std::map<core::UpstreamId, std::uint32_t> InFlight() const;
  std::uint32_t Waiting(const core::ServiceId& service) const;
  std::size_t live_count() const;
  bool AnyConnectedToStore() const;
  /// \brief Changes when InFlight() or Waiting() may have changed.
  std::uint64_t version() const { return m_version; }

 private:
  struct Peer {
    core::Endpoint endpoint;
    core::Instant since{};               ///< registered or heard first
    std::optional<core::Instant> heard;  ///< none before the first bulletin
    bool live = false;
    core::Instant next_to_silent{};
    PeerStatus last;
  };
  using Actions = std::vector<PeerAction>;

  void Apply(core::Instant now, const PeerRegistered& event, Actions& out);
  void Apply(core::Instant now, const PeerUnregistered& event, Actions& out);
  void Apply(core::Instant now, const PeerStatusReceived& event, Actions& out);
  void Apply(core::Instant now, const LocalItemsChanged& event, Actions& out);
  void Apply(core::Instant now, const LocalLoadChanged& event, Actions& out);
  void Apply(core::Instant now, const FetchEnded& event, Actions& out);
  void Apply(core::Instant now, const PeerTick& event, Actions& out);

  core::Duration Interval(core::Duration base) const;
  void Silence(core::Instant now, Actions& out);
  void SendDue(core::Instant now, Actions& out);
  void FetchIfBehind(core::Instant now, Actions& out);

  PeerTableConfig m_config;
  core::Random m_random;
  std::map<core::HostId, Peer> m_peers;
  std::int64_t m_revision = 0;
  bool m_linked = false;
  std::optional<core::Instant> m_behind_since;
  std::optional<core::Instant> m_fetching_since;
  core::Instant m_last_send{};
  bool m_load_changed = true;
  std::uint64_t m_version = 0;
};

}  // namespace cornelrelay::peers
