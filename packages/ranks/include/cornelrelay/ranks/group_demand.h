#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "cornelrelay/balance/rank_state.h"
#include "cornelrelay/placement/demand_estimate.h"
#include "cornelrelay/placement/layout_planner.h"

namespace cornelrelay::ranks {

struct GroupDemandConfig {
  std::size_t sets = 1;
  std::size_t experts = 1;  ///< of each set
  placement::LayoutLimits limits;
  /// Mean gain over the sets, in the load of the busiest rank over the mean, that a switch must
  /// bring.
  double least_gain = 0.12;
  /// Copies that a rank loads for one switch, over all sets. They come one after the other, and
  /// until the last one the group goes on with the old map.
  std::size_t copies_per_rank = 3;
  /// A load of the busiest rank over the mean that grew by more than this since the last window is
  /// still growing: the window saw only a part of a shift.
  double growing = 0.1;
  /// From this load of the busiest rank over the mean on, a switch does not wait for the shift to
  /// end: the growth up to here has shown most of it.
  double urgent = 1.8;
};

/// \brief A map and what it is expected to bring.
struct MapProposal {
  balance::LayerMap map;
  std::size_t copies = 0;
  double before = 1;  ///< mean over the sets of the busiest rank's load over the mean
  double after = 1;
};

/// \brief Demand for the experts of a group, from the counts of its ranks, and the map that fits
/// it.
class GroupDemand {
 public:
  explicit GroupDemand(GroupDemandConfig config);

  /// \brief Adds what a rank counted, set after set.
  void Count(const std::vector<std::uint16_t>& picks);

  /// \brief Numbers in the counts of one rank.
  std::size_t counts() const { return m_config.sets * m_config.experts; }

  /// \brief Ends a window of counts.
  void EndWindow();

  /// \brief A better map, if there is one worth its copies. Asked once for each window; while the
  /// load still shifts there is none, since a switch holds back the next one.
  std::optional<MapProposal> Propose(const balance::LayerMap& current);

 private:
  /// \brief Mean over the sets of the load of the busiest rank over the mean.
  double BusiestRank(const std::vector<placement::ExpertLayout>& layouts) const;

  GroupDemandConfig m_config;
  std::vector<std::vector<double>> m_window;
  std::vector<placement::DemandEstimate> m_estimates;
  std::optional<double> m_last_before;  ///< MapProposal::before of the window before
};

}  // namespace cornelrelay::ranks
