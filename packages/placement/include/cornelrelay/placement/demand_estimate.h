#pragma once

#include <cstddef>
#include <vector>

namespace cornelrelay::placement {

struct DemandConfig {
  double gain = 0.4;  ///< weight of the newest window while the demand is steady
  /// Part of the demand that must have moved to other experts for a shift; the earlier windows then
  /// count no more. Less is enough where windows differ little from each other.
  double shift = 0.2;
  /// A shift is a distance of a window from the estimate of this many usual ones at least. Many
  /// streams, as of a large group, make windows alike.
  double usual_distances = 3;
  double usual_gain = 0.1;   ///< weight of the newest window in the usual distance
  double least_picks = 400;  ///< windows with fewer are added to the next one
};

/// \brief Which experts of one set are in demand, from counts of windows of equal length.
///
/// \code
/// estimate.Add(picks_of_the_last_window);
/// PlanLayout(layout, estimate.loads(), limits);
/// \endcode
class DemandEstimate {
 public:
  DemandEstimate(std::size_t experts, DemandConfig config)
      : m_config(config),
        m_window(experts, 0),
        m_loads(experts, 0),
        m_usual(config.shift / config.usual_distances) {}

  void Add(const std::vector<double>& picks);

  /// \brief Shares that add up to 1, or all 0 before the first window.
  const std::vector<double>& loads() const { return m_loads; }
  /// \brief A shift was seen in the last window.
  bool shifted() const { return m_shifted; }

 private:
  DemandConfig m_config;
  std::vector<double> m_window;
  std::vector<double> m_loads;
  double m_usual = 0;  ///< mean distance of a window from the estimate, while there was no shift
  bool m_known = false;
  bool m_shifted = false;
};

}  // namespace cornelrelay::placement
