#pragma once

#include <cstddef>
#include <vector>

#include "cornelrelay/placement/expert_layout.h"

namespace cornelrelay::placement {

/// \brief Limits of a plan.
struct LayoutLimits {
  std::size_t slots_per_rank = 1;    ///< experts that a rank holds at most
  std::size_t max_new_per_rank = 1;  ///< experts that one plan adds to a rank at most
  std::size_t max_steps = 200;       ///< steps of the search at most; bounds its time
  /// Ranks that a step considers as targets, those with the least load. More take more time and
  /// hardly give a better plan.
  std::size_t max_targets = 8;
  /// Reduction of the load of the busiest rank that one new copy must bring, as a part of the mean
  /// load.
  double min_gain_per_copy = 0.008;
};

/// \brief A planned layout. Skew is the load of the busiest rank over the mean.
struct LayoutPlan {
  ExpertLayout layout;
  std::size_t new_copies = 0;  ///< copies that the ranks must load
  double skew_before = 1;
  double skew_after = 1;
  std::size_t changes_considered = 0;  ///< number of evaluated changes, a measure of the work
};

/// \brief Improves a layout by greedy local search on its busiest rank.
///
/// A step copies an expert of the busiest rank to another rank, drops its copy on the busiest rank,
/// or exchanges two experts. New copies go into free slots, or replace experts that have another
/// copy.
///
/// Ranks may have free slots, or hold no expert at all. PlacementPlanner is for ranks whose slots
/// are all filled.
///
/// \param loads expected load of each expert of the set
/// \param max_copies_by_rank copies that each rank may still load, over all sets together; no bound
/// if empty
/// \param pace factor by which each rank works longer than a sound one; all are sound if empty
LayoutPlan PlanLayout(const ExpertLayout& current, const std::vector<double>& loads,
                      const LayoutLimits& limits,
                      const std::vector<std::size_t>& max_copies_by_rank = {},
                      const std::vector<double>& pace = {});

/// \brief Time that a switch takes, by which a plan weighs its copies. Times are in seconds.
struct SwitchCost {
  std::size_t max_copies_per_rank = 1;  ///< over all sets
  double time_per_copy = 0.1;           ///< in which a rank loads one copy
  double fixed_time = 0.12;             ///< from the last copy until the layouts are in use
  /// Part by which passes take longer while a rank loads. Measured: 15%.
  double slowdown = 0.15;
  double until_shift = 2.5;  ///< expected time until the demand shifts again
  /// Copies by which the plan raises the limit of each rank before it checks whether the switch
  /// gains from them. Fewer fit the switch better but take more changes to consider.
  std::size_t copies_per_round = 4;
};

/// \brief Planned layouts of several sets. Skews are means over the sets that have load.
struct JointPlan {
  std::vector<ExpertLayout> layouts;
  std::size_t new_copies = 0;
  double skew_before = 1;
  double skew_after = 1;
  std::size_t changes_considered = 0;
  /// Expected reduction of the work of the slowest ranks until the demand shifts, with the cost of
  /// the switch subtracted, in seconds of mean load. 0 if no copy pays for its load.
  double saved_time = 0;
};

/// \brief Improves the layouts of several sets that share the time in which their ranks load.
///
/// The change with the greatest gain per copy over all sets comes first. A switch lasts as long as
/// its busiest rank loads, so ranks get more copies only while the reduction of the skew until the
/// next shift exceeds the time by which the switch is in use later.
///
/// \param loads expected load of each expert of each set
/// \param pace see PlanLayout()
JointPlan PlanLayoutsTogether(const std::vector<ExpertLayout>& current,
                              const std::vector<std::vector<double>>& loads,
                              const LayoutLimits& limits, const SwitchCost& cost,
                              const std::vector<double>& pace = {});

}  // namespace cornelrelay::placement
