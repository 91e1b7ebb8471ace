#pragma once

#include <cstddef>
#include <vector>

#include "cornelrelay/placement/placement.h"

namespace cornelrelay::placement {

/// \brief Settings of a PlacementPlanner. Skew is the time of the slowest rank over the mean of all
/// ranks.
struct PlacementPlannerConfig {
  /// Weight of skew against the cost of moves, from 0 to 1, as in the profile's setting
  /// rebalancing.skew_weight: 1 considers skew alone, 0 makes no moves.
  double skew_weight = 0.7;
  /// Reduction of skew that one move must bring at a skew_weight of 0.5. For other weights it is
  /// multiplied by (1 - skew_weight) / skew_weight.
  double min_gain_per_move = 0.004;
  /// Hysteresis: a plan must lower the predicted skew by this much plus the noise of the estimate.
  double min_gain = 0.02;
  /// The search ends at this number of moves, so that the store of model weights, whose rate is
  /// limited, can deliver the experts in time. An exchange as the last step may exceed it by one.
  std::size_t max_moves = 64;
};

/// \brief The moves of a plan, in order, and the predicted skew before and after them.
struct PlacementPlan {
  std::vector<Placement::Move> moves{};
  double skew_before = 1;
  double skew_after = 1;

  friend bool operator==(const PlacementPlan&, const PlacementPlan&) = default;
};

/// \brief Improves the current placement with few moves, by greedy local search.
///
/// A step replaces a copy of an expert by a copy of another one, or exchanges two experts. It is
/// taken if its predicted reduction of skew outweighs the cost of its moves.
///
/// All slots of the ranks are filled and the ranks may differ in speed. PlanLayout is for ranks of
/// equal speed with free slots.
///
/// \code
/// const PlacementPlan plan =
///     planner.MakePlan(current, estimator.Means(), estimator.Deviations(), speeds);
/// \endcode
class PlacementPlanner {
 public:
  explicit PlacementPlanner(PlacementPlannerConfig config) : m_config(config) {}

  /// \param loads relative load of each expert
  /// \param deviations standard deviation of each load
  /// \param speeds relative speed of each rank
  PlacementPlan MakePlan(const Placement& current, const std::vector<double>& loads,
                         const std::vector<double>& deviations,
                         const std::vector<double>& speeds) const;

 private:
  PlacementPlannerConfig m_config;
};

/// \brief Makes a placement from scratch, without regard to the current one. Assigns copies in
/// proportion to load, those with the largest load first.
Placement MakeFullPlacement(std::size_t ranks, std::size_t slots, const std::vector<double>& loads,
                            const std::vector<double>& speeds);

}  // namespace cornelrelay::placement
