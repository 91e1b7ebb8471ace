#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cornelrelay/balance/plan_record.h"

namespace cornelrelay::balance {

/// \brief Number of a map that was offered to the ranks; never used for two maps.
using MapVersion = std::uint64_t;

/// \brief Which experts each rank holds: by set of layers, then by rank.
using LayerMap = std::vector<std::vector<std::vector<std::uint16_t>>>;

/// \brief The rank switches to the map as the pass begins.
struct ArmedMap {
  MapVersion version = 0;
  StepIndex step = 0;

  friend bool operator==(const ArmedMap&, const ArmedMap&) = default;
};

/// \brief What the engine of one rank says of its maps.
struct RankState {
  std::uint64_t epoch =
      0;               ///< of the group; a new one has map 0 and nothing prepared, armed or held
  bool open = true;    ///< the group makes passes
  StepIndex step = 0;  ///< last pass that began
  MapVersion map = 0;  ///< in use
  /// Experts of this rank in the map in use, by set of layers; empty before they are known.
  std::vector<std::vector<std::uint16_t>> experts;
  std::optional<MapVersion> prepared;  ///< loaded completely
  std::optional<ArmedMap> armed;
  std::optional<StepIndex> held;  ///< the group does not begin this pass

  friend bool operator==(const RankState&, const RankState&) = default;
};

}  // namespace cornelrelay::balance
