#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cornelrelay/balance/rank_state.h"

namespace cornelrelay::balance {

/// \brief Identifies the contents of a layer map. Equal maps have equal ones in all processes.
using MapDigest = std::uint64_t;

MapDigest DigestOf(const LayerMap& map);

/// \brief New experts of one rank in one set of layers.
struct CellChange {
  std::uint16_t set = 0;
  std::uint16_t rank = 0;
  std::vector<std::uint16_t> experts;

  friend bool operator==(const CellChange&, const CellChange&) = default;
};

/// \brief Difference between two layer maps. A shift of the demand moves a part of the experts, so
/// the difference takes fewer bytes than the map.
struct MapDelta {
  MapDigest base = 0;
  MapDigest result = 0;
  std::vector<CellChange> changes;  ///< by ascending set, then rank

  friend bool operator==(const MapDelta&, const MapDelta&) = default;
};

/// \brief Returns the difference between maps of the same numbers of sets and ranks; none for other
/// maps.
std::optional<MapDelta> DiffMaps(const LayerMap& base, const LayerMap& result);

/// \brief Returns the map that the delta describes; none if `base` is not the base of the delta or
/// the result is not the described one.
std::optional<LayerMap> ApplyDelta(const LayerMap& base, const MapDelta& delta);

}  // namespace cornelrelay::balance
