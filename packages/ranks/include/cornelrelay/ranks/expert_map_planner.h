#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "cornelrelay/balance/expert_map.h"
#include "cornelrelay/balance/rank_state.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/placement/demand_estimator.h"
#include "cornelrelay/placement/layout_planner.h"
#include "cornelrelay/routes/engine_model.h"

namespace cornelrelay::ranks {

/// \brief Settings of an ExpertMapPlanner. Skew is the load of the busiest rank over the mean load.
struct ExpertMapPlannerConfig {
  std::size_t layer_sets = 1;  ///< sets of layers with experts
  std::size_t experts_per_set = 1;
  placement::LayoutLimits limits;
  /// Reduction of the skew, as a mean over the sets, that a switch must bring.
  double min_gain = 0.12;
  /// Time in which a rank loads one expert. Passes take longer meanwhile.
  core::Duration expert_load_time = std::chrono::milliseconds(100);
  /// Time that a rank loads experts for one switch at most, over all sets. It loads them one after
  /// another, and the group keeps the old map until the last rank has loaded the last one.
  core::Duration max_load_time = std::chrono::milliseconds(300);
  /// A skew that grew by more than this since the last window is taken to be still growing, because
  /// the window saw only a part of a shift.
  double growth_threshold = 0.1;
  /// From this skew on, a switch does not wait for the shift to end: the growth so far has shown
  /// most of it.
  double urgent_skew = 1.8;
  /// Time between shifts of the demand that is assumed before the first ones are seen.
  core::Duration initial_shift_interval = std::chrono::milliseconds(2'500);
};

/// \brief Returns the settings for a group of engines of this model.
ExpertMapPlannerConfig MakeExpertMapPlannerConfig(const routes::EngineModel& engine);

/// \brief A proposed map and the skew expected from it, as a mean over the sets.
struct MapProposal {
  balance::LayerMap map;
  std::size_t new_copies = 0;  ///< copies that the ranks must load
  double skew_before = 1;      ///< of the map in use
  double skew_after = 1;       ///< of the proposed map
};

/// \brief Estimates the demand for the experts of a group from the counts of its ranks, and
/// proposes expert maps that fit it.
class ExpertMapPlanner {
 public:
  explicit ExpertMapPlanner(ExpertMapPlannerConfig config);

  /// \brief Adds counts of one or more ranks, set after set. Counts of another size are ignored.
  void AddCounts(const std::vector<std::uint32_t>& counts);

  /// \brief Sets the factor by which a rank works longer than a sound one. Maps give such a rank
  /// less work.
  void SetPace(balance::RankIndex rank, double pace);

  /// \brief Size of the counts of one rank.
  std::size_t counts_per_rank() const { return m_config.layer_sets * m_config.experts_per_set; }

  /// \brief Changes of layouts evaluated so far, a measure of the planner's work.
  std::uint64_t changes_considered() const { return m_changes_considered; }

  /// \brief Ends a window of counts and updates the estimates of the demand.
  /// \param length time since the last window ended
  void EndWindow(core::Duration length = std::chrono::milliseconds(100));

  /// \brief Proposes a better map if there is one whose gain is worth its copies.
  ///
  /// Call it at most once per window. Proposes nothing while the load is still shifting, because a
  /// switch delays the next one.
  std::optional<MapProposal> ProposeMap(const balance::LayerMap& current);

 private:
  /// \brief Skew of the layouts under the estimated demand, as a mean over the sets.
  double MeanSkew(const std::vector<placement::ExpertLayout>& layouts) const;
  /// \brief Pace of each of the ranks.
  std::vector<double> PaceOf(std::size_t ranks) const;

  /// \brief Expected time until the demand shifts again.
  core::Duration UntilShift() const;

  ExpertMapPlannerConfig m_config;
  std::size_t m_max_copies_per_rank;  ///< over all sets, for one switch
  std::vector<double> m_pace;         ///< by rank; ranks beyond the end are sound
  std::vector<std::vector<double>> m_window;
  std::vector<placement::DemandEstimator> m_estimators;
  std::uint64_t m_changes_considered = 0;
  core::Duration m_since_shift{};         ///< time since the last shift, or since the first window
  core::Duration m_shift_interval;        ///< mean time between shifts
  std::optional<double> m_rejected_skew;  ///< before the last plan, if not worth a switch
  core::Duration m_since_rejection{};
  std::optional<double> m_last_skew;  ///< MapProposal::skew_before of the last call
};

}  // namespace cornelrelay::ranks
