#pragma once

#include <cstddef>
#include <vector>

#include "cornelrelay/placement/placement.h"

namespace cornelrelay::placement {

/// \brief Settings of a PlacementPlanner.
struct PlannerConfig {
  /// The profile's weight of skew against rebalancing cost: 1 looks at skew alone, 0 never moves.
  double skew_weight = 0.7;
  /// Gain in skew that one move must bring at equal weights.
  double skew_per_move = 0.004;
  /// Hysteresis: a plan must lower the predicted skew by this much and by the noise of the
  /// estimate.
  double start_margin = 0.02;
  std::size_t most_moves = 64;  ///< per plan; bounded by the weight store's rate
};

/// \brief A plan: the moves in order and the predicted skew before and after.
struct Plan {
  std::vector<Placement::Move> moves{};
  double skew_before = 1;
  double skew_after = 1;

  friend bool operator==(const Plan&, const Plan&) = default;
};

/// \brief Plans few moves against the current placement, by greedy local search.
///
/// A step replaces a copy of an expert by a hotter one, or exchanges two experts. It is taken when
/// its predicted gain in skew is worth its moves under the profile's weight. \code const Plan plan
/// = planner.MakePlan(current, estimator.Means(), estimator.Deviations(), speeds); \endcode
class PlacementPlanner {
 public:
  explicit PlacementPlanner(PlannerConfig config) : m_config(config) {}

  Plan MakePlan(const Placement& current, const std::vector<double>& loads,
                const std::vector<double>& deviations, const std::vector<double>& speeds) const;

 private:
  PlannerConfig m_config;
};

/// \brief Placement from scratch: copies in proportion to load, longest first. Ignores the current
/// placement.
Placement MakeFullPlacement(std::size_t ranks, std::size_t slots, const std::vector<double>& loads,
                            const std::vector<double>& speeds);

}  // namespace cornelrelay::placement
