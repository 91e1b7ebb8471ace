#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "cornelrelay/core/random.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/gossip/action.h"
#include "cornelrelay/gossip/detector_event.h"
#include "cornelrelay/gossip/mass_loss_rule.h"
#include "cornelrelay/gossip/node_settings.h"
#include "cornelrelay/gossip/record_table.h"
#include "cornelrelay/gossip/roster.h"

namespace cornelrelay::gossip {

/// \brief SWIM failure detector: probes one member a second and turns silence into suspicion, and
/// suspicion into removal unless the mass-loss rule holds.
///
/// The process that raised a suspicion removes the member, after one more failed probe. The others
/// do so only when they hear nothing for three times as long, so a suspicion that was read late
/// (after a pause) does not remove a member that is alive.
/// \code
/// for (const Action& action : detector.Step(now, DetectorTick{})) apply(action);
/// \endcode
class MembershipDetector {
 public:
  MembershipDetector(const NodeSettings& settings, const RecordTable& table, Roster& roster);

  std::vector<Action> Step(core::Instant now, const DetectorEvent& event);

  std::size_t suspicions() const { return m_suspicions.size(); }

 private:
  struct Outstanding {
    core::HostId target;
    std::uint32_t sequence = 0;
    core::Instant sent;
    bool indirect = false;
    bool acked = false;
  };
  struct Suspicion {
    core::Instant deadline;
    bool own = false;
  };
  struct Relay {
    core::HostId requester;
    std::uint32_t sequence = 0;
    core::Instant expires;
  };

  void OnTick(core::Instant now, std::vector<Action>& actions);
  void OnAck(const AckReceived& ack, std::vector<Action>& actions);
  void OnRelay(core::Instant now, const RelayRequested& request, std::vector<Action>& actions);
  void OnMember(core::Instant now, const MemberRecordChanged& change);
  void FinishProbe(core::Instant now, std::vector<Action>& actions);
  void ProbeFailed(core::Instant now, const core::HostId& target, std::vector<Action>& actions);
  std::optional<core::HostId> NextTarget(core::Instant now);
  void SendProbe(const core::HostId& target, std::uint32_t sequence, std::vector<Action>& actions);
  void SendIndirect(std::vector<Action>& actions);
  void Declare(core::Instant now, const core::HostId& host, Life life,
               std::vector<Action>& actions);

  const NodeSettings& m_settings;
  const RecordTable& m_table;
  Roster& m_roster;
  core::Random m_random;
  MassLossRule m_mass_loss;
  std::uint32_t m_sequence = 0;
  core::Instant m_next_probe{};
  std::optional<Outstanding> m_outstanding;
  std::vector<core::HostId> m_order;
  std::map<core::HostId, Suspicion> m_suspicions;
  std::map<std::uint32_t, Relay> m_relays;
};

}  // namespace cornelrelay::gossip
