#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "cornelrelay/balance/map_delta.h"
#include "cornelrelay/balance/shared_layer_map.h"

namespace cornelrelay::ranks {

/// \brief The last maps that an agent was sent, to which later ones are described as differences.
class MapCache {
 public:
  /// \brief Maps that are kept. A leader describes a map by the one in use; a switch that was given
  /// up leaves another one behind it.
  static constexpr std::size_t kCapacity = 4;

  void Add(const balance::SharedLayerMap& map);
  /// \brief Returns the map that the delta describes, and keeps it; none if its base is not kept.
  std::optional<balance::SharedLayerMap> Resolve(const balance::MapDelta& delta);

 private:
  struct Entry {
    balance::MapDigest digest = 0;
    balance::SharedLayerMap map;
  };

  const Entry* Find(balance::MapDigest digest) const;

  std::deque<Entry> m_entries;  ///< the oldest first
};

}  // namespace cornelrelay::ranks
