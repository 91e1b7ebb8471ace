#pragma once

#include <cstddef>
#include <vector>

#include "cornelrelay/placement/expert_layout.h"

namespace cornelrelay::placement {

struct LayoutLimits {
  std::size_t places = 1;   ///< experts that a rank holds at most
  std::size_t spares = 1;   ///< experts that are new to a rank in one plan at most
  std::size_t steps = 200;  ///< bounds the time of the search
  /// Gain in the load of the busiest rank, as a part of the mean, that one copy must bring.
  double gain_per_copy = 0.008;
};

/// \brief A layout and the load of its busiest rank over the mean, before and after.
struct LayoutPlan {
  ExpertLayout layout;
  std::size_t copies = 0;  ///< that must be loaded
  double before = 1;
  double after = 1;
};

/// \brief Improves a layout by greedy local search on its busiest rank.
///
/// A step copies an expert of the busiest rank to another one, drops its copy there, or exchanges
/// two experts. Copies go into free places, or replace experts that have another copy.
///
/// \param loads expected load of each expert of the set
/// \param rank_copies copies that each rank may still load, over all sets together; none is no
/// bound
LayoutPlan PlanLayout(const ExpertLayout& current, const std::vector<double>& loads,
                      const LayoutLimits& limits, const std::vector<std::size_t>& rank_copies = {});

}  // namespace cornelrelay::placement
