#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "cornelrelay/balance/plan_record.h"

namespace cornelrelay::balance {

/// \brief Version of a map that was sent to the ranks. No version is used for two maps.
using MapVersion = std::uint64_t;

/// \brief Indices of the experts on each rank, by set of layers, then by rank.
using LayerMap = std::vector<std::vector<std::vector<std::uint16_t>>>;

/// \brief Scheduled switch of a rank to a map, which takes place as the pass `step` begins.
struct ArmedMap {
  MapVersion version = 0;
  StepIndex step = 0;

  friend bool operator==(const ArmedMap&, const ArmedMap&) = default;
};

/// \brief State of one rank, as its engine reports it.
struct RankState {
  /// Epoch of the group. A new epoch has map 0 and nothing prepared, armed or held.
  std::uint64_t epoch = 0;
  bool open = true;    ///< the group runs passes
  StepIndex step = 0;  ///< last pass that began
  MapVersion map = 0;  ///< version of the map in use
  /// Experts of this rank in the map in use, by set of layers; empty before they are known.
  std::vector<std::vector<std::uint16_t>> experts;
  std::optional<MapVersion> prepared;  ///< version of the map that is loaded completely
  std::optional<ArmedMap> armed;
  std::optional<StepIndex> held;  ///< pass that the group does not begin before its release

  friend bool operator==(const RankState&, const RankState&) = default;
};

}  // namespace cornelrelay::balance
