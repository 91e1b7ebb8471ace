#pragma once

#include <cstddef>
#include <vector>

#include "cornelrelay/placement/placement.h"

namespace cornelrelay::placement {

/// \brief Settings of a PlacementPlanner.
struct PlannerConfig {
  /// Weight of skew against rebalancing cost, from the profile: 1 considers skew alone, 0 makes no
  /// moves.
  double skew_weight = 0.7;
  /// Reduction of skew that one move must bring if skew and cost have equal weights.
  double min_gain_per_move = 0.004;
  /// Hysteresis: a plan must lower the predicted skew by this much plus the noise of the estimate.
  double min_gain = 0.02;
  std::size_t max_moves = 64;  ///< per plan; the rate of the weight store limits it
};

/// \brief The moves of a plan, in order, and the predicted skew before and after them.
struct Plan {
  std::vector<Placement::Move> moves{};
  double skew_before = 1;
  double skew_after = 1;

  friend bool operator==(const Plan&, const Plan&) = default;
};

/// \brief Improves the current placement with few moves, by greedy local search.
///
/// A step replaces a copy of an expert by a copy of another one, or exchanges two experts. It is
/// taken if its predicted reduction of skew is worth its moves under the profile's weight.
///
/// \code
/// const Plan plan =
///     planner.MakePlan(current, estimator.Means(), estimator.Deviations(), speeds);
/// \endcode
class PlacementPlanner {
 public:
  explicit PlacementPlanner(PlannerConfig config) : m_config(config) {}

  /// \param loads relative load of each expert
  /// \param deviations standard deviation of each load
  /// \param speeds relative speed of each rank
  Plan MakePlan(const Placement& current, const std::vector<double>& loads,
                const std::vector<double>& deviations, const std::vector<double>& speeds) const;

 private:
  PlannerConfig m_config;
};

/// \brief Makes a placement from scratch, without regard to the current one. Assigns copies in
/// proportion to load, those with the largest load first.
Placement MakeFullPlacement(std::size_t ranks, std::size_t slots, const std::vector<double>& loads,
                            const std::vector<double>& speeds);

}  // namespace cornelrelay::placement
