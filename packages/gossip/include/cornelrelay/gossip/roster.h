#pragma once

#include <cstdint>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/gossip/node_settings.h"
#include "cornelrelay/gossip/record_table.h"

namespace cornelrelay::gossip {

/// \brief Lists of other members that a process talks to, rebuilt when membership changes.
class Roster {
 public:
  Roster(const NodeSettings& settings, const RecordTable& table);

  void Refresh();

  /// \brief Members that receive gossip: live ones, or the suspects when none is live.
  const std::vector<core::HostId>& gossip() const { return m_gossip; }
  const std::vector<core::HostId>& gossip_near() const { return m_near; }
  const std::vector<core::HostId>& gossip_far() const { return m_far; }
  /// \brief Members that this process probes, live and suspect.
  const std::vector<core::HostId>& probed() const { return m_probed; }
  /// \brief Dead members, which may have come back or sit behind a healed partition.
  const std::vector<core::HostId>& dead() const { return m_dead; }

  /// \brief Whether this process keeps the record at all.
  bool Wants(const Record& record) const;
  bool leaf() const { return m_leaf; }

 private:
  bool Watches(const core::HostId& agent) const;
  void KeepHomes(std::vector<core::HostId>& hosts) const;

  const NodeSettings& m_settings;
  const RecordTable& m_table;
  bool m_leaf;
  std::uint64_t m_generation = ~std::uint64_t{0};
  std::vector<core::HostId> m_gossip;
  std::vector<core::HostId> m_near;
  std::vector<core::HostId> m_far;
  std::vector<core::HostId> m_probed;
  std::vector<core::HostId> m_dead;
};

}  // namespace cornelrelay::gossip
