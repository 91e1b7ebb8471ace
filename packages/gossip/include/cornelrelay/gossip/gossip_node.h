#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "cornelrelay/core/random.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/gossip/action.h"
#include "cornelrelay/gossip/disseminator.h"
#include "cornelrelay/gossip/membership_detector.h"
#include "cornelrelay/gossip/node_event.h"
#include "cornelrelay/gossip/node_settings.h"
#include "cornelrelay/gossip/record_table.h"
#include "cornelrelay/gossip/roster.h"
#include "cornelrelay/gossip/snapshot_part.h"

namespace cornelrelay::gossip {

/// \brief Membership and shared records of one process: table, dissemination and failure detection.
///
/// Only Send and RecordChanged actions leave the node.
/// \code
/// GossipNode node(settings);
/// for (const Action& action : node.Step(now, Received{from, endpoint, message})) perform(action);
/// \endcode
class GossipNode {
 public:
  explicit GossipNode(NodeSettings settings);
  GossipNode(const GossipNode&) = delete;
  GossipNode& operator=(const GossipNode&) = delete;

  std::vector<Action> Step(core::Instant now, const NodeEvent& event);

  /// \brief Records for SnapshotReceived at a starting process of the same data centre. Agents of
  /// other data centres are in neither part: they arrive by rounds.
  std::vector<Record> Snapshot(core::Instant now, SnapshotPart part) const;

  const NodeSettings& settings() const { return m_settings; }
  const RecordTable& table() const { return m_table; }
  const Disseminator& disseminator() const { return m_disseminator; }
  const MembershipDetector& detector() const { return m_detector; }
  std::uint64_t highest_revision() const { return m_highest_revision; }

 private:
  void OnTick(core::Instant now);
  void OnReceived(core::Instant now, const Received& received);
  void OnStatus(core::Instant now, const PublishStatus& report);
  void OnLeave(core::Instant now);
  void OnHostList(core::Instant now, const HostListReceived& list);

  void Absorb(core::Instant now, const GossipPush& push, const Received& from);
  void Absorb(core::Instant now, const Record& record, const Received& from);
  void AbsorbLoad(core::Instant now, const RecordKey& key, bool was_draining, MergeResult result);
  void Refute(core::Instant now, const Record& claim, const Received& from);
  void Accept(core::Instant now, const Record& record, bool news = true);
  void PublishOwn(core::Instant now, const RecordKey& key, Payload payload, core::Duration life);
  void PublishMember(core::Instant now, Life life);
  void Apply(core::Instant now, std::vector<Action> actions);
  void SendDirect(core::Instant now, Send send);
  void TellSuspected(core::Instant now, const Received& from);
  void Reconnect(core::Instant now);
  Record OwnMember(core::Instant now) const;

  NodeSettings m_settings;
  RecordTable m_table;
  Roster m_roster;
  core::Random m_random;
  Disseminator m_disseminator;
  MembershipDetector m_detector;
  RecordKey m_member_key;
  std::uint64_t m_incarnation;
  std::uint64_t m_member_incarnation;
  std::uint64_t m_revision = 0;
  std::uint64_t m_highest_revision = 0;
  bool m_left = false;
  std::optional<core::Instant> m_last_step;
  core::Instant m_next_expiry{};
  core::Instant m_next_reconnect{};
  core::Instant m_next_seed{};
  std::map<core::HostId, core::Instant> m_told;
  std::vector<Action> m_out;
};

}  // namespace cornelrelay::gossip
