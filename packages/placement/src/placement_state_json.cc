#include "cornelrelay/placement/placement_state_json.h"

#include <nlohmann/json.hpp>

namespace cornelrelay::placement {

nlohmann::json ToJson(const Placement& placement) {
  nlohmann::json ranks = nlohmann::json::array();
  for (std::size_t rank = 0; rank < placement.ranks(); ++rank) {
    ranks.push_back(placement.Experts(rank));
  }
  return {{"experts", placement.experts()}, {"ranks", std::move(ranks)}};
}

nlohmann::json ToJson(const PlacementPlan& plan) {
  nlohmann::json moves = nlohmann::json::array();
  for (const auto& move : plan.moves) {
    moves.push_back({{"rank", move.rank}, {"evicted", move.evicted}, {"loaded", move.loaded}});
  }
  return {{"moves", std::move(moves)},
          {"skew_before", plan.skew_before},
          {"skew_after", plan.skew_after}};
}

nlohmann::json ToJson(const LoadEstimator& estimator) {
  return {{"means", estimator.Means()}, {"deviations", estimator.Deviations()}};
}

}  // namespace cornelrelay::placement
