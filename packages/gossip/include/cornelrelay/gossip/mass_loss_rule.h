#pragma once

#include <deque>
#include <map>
#include <utility>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/gossip/record_table.h"
#include "cornelrelay/gossip/roster.h"

namespace cornelrelay::gossip {

/// \brief Tells when so many members seem lost at once that the observer or the network is at
/// fault.
///
/// Holds when more than a third of the known members, or of the members of the lost member's data
/// centre (at least three), are suspect or died within the last minute, or when more than a third
/// of this process's latest probes of different members failed.
class MassLossRule {
 public:
  MassLossRule(const NodeSettings& settings, const RecordTable& table, const Roster& roster)
      : m_settings(settings), m_table(table), m_roster(roster) {}

  void NoteProbe(const core::HostId& host, bool answered);
  void NoteDeath(const core::HostId& host, core::Instant now) { m_deaths[host] = now; }
  void NoteAlive(const core::HostId& host) { m_deaths.erase(host); }
  void ForgetProbes() { m_probes.clear(); }

  /// \brief Whether `lost` must be kept in its last known state.
  bool Holds(const core::HostId& lost, core::Instant now);

 private:
  const NodeSettings& m_settings;
  const RecordTable& m_table;
  const Roster& m_roster;
  std::deque<std::pair<core::HostId, bool>> m_probes;
  std::map<core::HostId, core::Instant> m_deaths;
};

}  // namespace cornelrelay::gossip
