#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cornelrelay/core/random.h"
#include "cornelrelay/core/timed_queue.h"
#include "cornelrelay/gossip/gossip_node.h"
#include "cornelrelay/gossip/upstream_view.h"

namespace cornelrelay::gossip::testing {

/// \brief Seeded message loop that connects gossip nodes, with the faults of a network.
class SimNetwork {
 public:
  struct Options {
    std::uint64_t seed = 1;
    int entries = 6;
    int agents = 4;
    int data_centres = 2;
    Topology topology = Topology::kLeafAgents;
    StatusEncoding encoding = StatusEncoding::kPackedArray;
    Faults faults{};
  };

  explicit SimNetwork(Options options);

  void Run(core::Duration duration);
  void Start(int host);  ///< also restarts, with a higher incarnation
  void Crash(int host) { m_hosts[host].node.reset(); }
  void Pause(int host) { m_hosts[host].paused = true; }
  void Resume(int host);
  /// \brief Hosts of different sides cannot reach each other.
  void Partition(std::vector<int> sides) { m_sides = std::move(sides); }
  void Send(int host, const NodeEvent& event);
  /// \brief Sends all hosts a host list that names every host as live.
  void SendFullHostList();

  double loss = 0;
  double duplication = 0;
  core::Duration max_delay = std::chrono::milliseconds(20);
  bool reports = true;

  core::Instant now() const { return m_events.now(); }
  int size() const { return static_cast<int>(m_hosts.size()); }
  bool IsEntry(int host) const { return host < m_options.entries; }
  bool Running(int host) const { return m_hosts[host].node != nullptr && !m_hosts[host].paused; }
  const GossipNode& node(int host) const { return *m_hosts[host].node; }
  Life LifeSeen(int observer, int subject) const;
  bool UsableAt(int observer, int agent) const;
  /// \brief Times that a running host's record turned dead at any host, by subject.
  const std::map<std::string, int>& deaths() const { return m_deaths; }
  core::HostId Id(int host) const;
  core::UpstreamId Upstream(int agent) const;
  core::DataCentreId DataCentre(int host) const;
  /// \brief The load that the agent published last; changes within the noise are not published.
  Load LoadOf(int agent) const;

 private:
  struct Host {
    std::unique_ptr<GossipNode> node;
    bool paused = false;
    std::vector<Received> inbox;  // what arrives while paused, as in a socket buffer
    std::uint64_t starts = 0;
    Load load;
  };
  struct Event {
    int host = 0;
    std::shared_ptr<const Received> message;  // null: tick
  };

  core::Endpoint Address(int host) const;
  void Push(core::Instant time, int host, std::shared_ptr<const Received> message);
  void Handle(const Event& event);
  void Tick(int host);
  void Perform(int host, std::vector<Action> actions);
  void Transmit(int from, const struct Send& send);

  Options m_options;
  core::Random m_random;
  std::vector<Host> m_hosts;
  std::vector<int> m_sides;
  core::TimedQueue<Event> m_events;
  std::map<std::string, int> m_deaths;
};

}  // namespace cornelrelay::gossip::testing
