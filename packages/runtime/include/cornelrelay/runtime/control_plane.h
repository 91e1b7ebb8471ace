#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/gossip/gossip_node.h"
#include "cornelrelay/net/udp_channel.h"
#include "cornelrelay/runtime/process_clock.h"
#include "cornelrelay/runtime/wake_timer.h"
#include "cornelrelay/wire/control_message.h"
#include "cornelrelay/wire/mac_key.h"
#include "cornelrelay/wire/replay_guard.h"

namespace cornelrelay::runtime {

/// \brief Traffic of the control plane since the start of the process.
struct ControlCounters {
  std::uint64_t received = 0;
  std::uint64_t sent = 0;
  std::uint64_t rejected = 0;  ///< forged, malformed, replayed or oversized datagrams
};

/// \brief Authenticated UDP between own processes, with the gossip node that runs on it.
///
/// \code
/// ControlPlane control(context, clock, node_settings, key, on_message, on_record);
/// control.Start();
/// control.Send(host, claim_call);
/// \endcode
class ControlPlane {
 public:
  /// \brief Receives every message that is not gossip.
  using MessageHandler = std::function<void(const core::HostId& from, const wire::ControlMessage&)>;
  using RecordHandler = std::function<void(const gossip::Record&)>;

  ControlPlane(boost::asio::io_context& context, const ProcessClock& clock,
               const gossip::NodeSettings& settings, const wire::MacKey& key,
               MessageHandler on_message, RecordHandler on_record);

  void Start();
  void Step(const gossip::NodeEvent& event);

  /// \brief Sends to a known member; drops the message when its address is unknown.
  void Send(const core::HostId& to, const wire::ControlMessage& message);

  /// \brief The control endpoint of a member, from its record.
  std::optional<core::Endpoint> EndpointOf(const core::HostId& host) const;

  /// \brief The other entry processes of the own data centre that are alive.
  std::vector<core::HostId> NearEntries() const;

  std::vector<gossip::Record> Snapshot(gossip::SnapshotPart part) const {
    return m_node.Snapshot(m_clock.Now(), part);
  }

  /// \brief Seals a message for a TCP body.
  std::string SealMessage(const wire::ControlMessage& message);

  /// \brief Opens a TCP body.
  /// \throws the exceptions of wire::Open, wire::Decode and wire::ReplayGuard::Accept
  std::pair<core::HostId, wire::ControlMessage> OpenMessage(const std::string& bytes);

  const gossip::GossipNode& node() const { return m_node; }
  const ControlCounters& counters() const { return m_counters; }
  const net::UdpChannel& channel() const { return m_channel; }

 private:
  void Tick();
  void Receive(const core::Endpoint& from, const std::string& bytes);
  void Dispatch(const core::HostId& sender, const core::Endpoint& from,
                const wire::ControlMessage& message);
  std::pair<core::HostId, wire::ControlMessage> Open(const std::string& bytes, std::size_t limit);
  void SendBytes(const core::Endpoint& to, const wire::ControlMessage& message);

  const ProcessClock& m_clock;
  core::HostId m_self;
  std::uint64_t m_incarnation;
  wire::MacKey m_key;
  MessageHandler m_on_message;
  RecordHandler m_on_record;
  gossip::GossipNode m_node;
  wire::ReplayGuard m_guard;
  std::uint64_t m_counter = 0;
  ControlCounters m_counters;
  net::UdpChannel m_channel;
  WakeTimer m_timer;
};

}  // namespace cornelrelay::runtime
