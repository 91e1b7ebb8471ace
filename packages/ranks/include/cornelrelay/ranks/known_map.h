#pragma once

#include <cstdint>
#include <optional>

#include "cornelrelay/balance/rank_report.h"
#include "cornelrelay/balance/rank_state.h"
#include "cornelrelay/balance/shared_layer_map.h"
#include "cornelrelay/balance/switch_messages.h"

namespace cornelrelay::ranks {

/// \brief The map in use whose experts a leader knows for all ranks. Agents that are told its
/// version omit the experts from their reports.
///
/// \code
/// call.known_map = known_map.version();
/// const balance::RankState state = known_map.Complete(report);
/// \endcode
class KnownMap {
 public:
  void Set(std::uint64_t epoch, balance::MapVersion version, balance::SharedLayerMap map);
  /// \brief Takes over the map of a switch that has taken place. If the switch was begun by an
  /// earlier leader, the map is not known until all ranks have reported their experts.
  void NoteSwitch(std::uint64_t epoch, const balance::SwitchEnded& ended);
  /// \brief Forgets the map if a rank has reported another epoch.
  void NoteEpoch(std::uint64_t epoch);

  std::optional<balance::MapVersion> version() const;
  /// \brief Returns nothing if no map is known.
  const balance::LayerMap* layers() const { return m_entry ? &m_entry->map.layers() : nullptr; }
  /// \brief The reported state, with the experts that the agent has omitted.
  balance::RankState Complete(const balance::RankReport& report) const;

 private:
  struct Entry {
    std::uint64_t epoch = 0;
    balance::MapVersion version = 0;
    balance::SharedLayerMap map;
  };

  std::optional<Entry> m_entry;
};

}  // namespace cornelrelay::ranks
