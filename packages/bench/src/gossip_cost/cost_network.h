#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cornelrelay/core/random.h"
#include "cornelrelay/core/timed_queue.h"
#include "cornelrelay/gossip/gossip_node.h"
#include "cornelrelay/wire/control_message.h"
#include "cornelrelay/wire/replay_guard.h"
#include "cornelrelay/wire/sealed_datagram.h"
#include "gossip_cost/tally.h"

namespace cornelrelay::bench {

/// \brief Many gossip nodes in one process, joined by datagrams that are really encoded, sealed,
/// opened and decoded.
class CostNetwork {
 public:
  struct Options {
    std::uint64_t seed = 1;
    int entries = 10;
    int agents = 16;
    int data_centres = 7;
    double loss = 0.01;
    gossip::Topology topology = gossip::Topology::kLeafAgents;
    gossip::StatusEncoding encoding = gossip::StatusEncoding::kPackedArray;
    double report_interval = 1;  ///< seconds between an agent's load reports
  };

  explicit CostNetwork(Options options);

  void Run(core::Duration duration);
  void ResetTallies();

  void Crash(int host);
  /// \brief Starts a crashed host with a higher incarnation and an empty table.
  void Restart(int host);
  /// \brief Data centres of different sides cannot reach each other.
  void SetSides(std::vector<int> sides) { m_sides = std::move(sides); }
  void Send(int host, const gossip::NodeEvent& event);

  Tally TallyOf(gossip::Role role) const;
  core::Duration SinceReset() const { return now() - m_reset; }
  core::Instant now() const { return m_events.now(); }
  int size() const { return static_cast<int>(m_hosts.size()); }
  bool IsEntry(int host) const { return host < m_options.entries; }
  bool Running(int host) const { return m_hosts[host].node != nullptr; }
  int DataCentre(int host) const { return host % m_options.data_centres; }
  const gossip::GossipNode& node(int host) const { return *m_hosts[host].node; }
  core::UpstreamId Upstream(int agent) const;
  const Options& options() const { return m_options; }
  /// \brief Time since the agent issued the load that the table of `entry` holds, or less than
  /// zero.
  core::Duration Staleness(int entry, int agent) const;
  std::size_t MemoryBytes(int host) const;

 private:
  struct Host {
    std::unique_ptr<gossip::GossipNode> node;
    std::unique_ptr<wire::ReplayGuard> guard;
    std::uint64_t incarnation = 0;
    std::uint64_t counter = 0;
    std::uint64_t revision = 0;
    core::Random random{0};
    double running = 20;
    double waiting = 0;
    double cache_use = 0.5;
    core::Instant next_report;
    std::vector<core::Instant> issued;  // by sequence of the status record
    Tally tally;
  };
  enum class Kind { kTick, kDatagram, kNearSnapshot, kFarSnapshot, kRevision };
  struct Event {
    Kind kind = Kind::kTick;
    int host = 0;
    std::uint64_t incarnation = 0;  // of the receiver, for timers
    std::shared_ptr<const std::string> bytes;
  };

  void Start(int host);
  void Preload();
  void Schedule(core::Duration delay, Kind kind, int host,
                std::shared_ptr<const std::string> bytes = nullptr);
  void Handle(const Event& event);
  void Tick(int host);
  void Report(int host);
  void Deliver(int host, const std::string& bytes);
  void FetchSnapshot(int host, gossip::SnapshotPart part);
  void Perform(int host, const std::vector<gossip::Action>& actions);
  void Transmit(int from, const gossip::Send& send);
  core::HostId Id(int host) const;
  core::Endpoint Address(int host) const;

  Options m_options;
  core::Random m_random;
  wire::MacKey m_key;
  core::Instant m_reset{};
  std::vector<Host> m_hosts;
  std::vector<int> m_sides;
  core::TimedQueue<Event> m_events;
};

}  // namespace cornelrelay::bench
