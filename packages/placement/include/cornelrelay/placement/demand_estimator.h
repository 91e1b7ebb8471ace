#pragma once

#include <cstddef>
#include <vector>

namespace cornelrelay::placement {

/// \brief Settings of a DemandEstimator. The distance between a window and the estimate is the part
/// of the demand that went to other experts, from 0 to 1.
struct DemandEstimatorConfig {
  double gain = 0.3;  ///< least weight of the newest window; less follows drift too late
  /// A distance above this, plus sampling noise, is a shift: the estimate then drops the earlier
  /// windows. A smaller one is enough where windows differ little from each other; see
  /// shift_distance_factor.
  double shift_threshold = 0.2;
  /// A distance above this multiple of the mean distance is a shift too. The many streams of a
  /// large group make its windows alike, so a smaller distance is significant there.
  double shift_distance_factor = 3;
  double distance_gain = 0.1;     ///< weight of the newest window in the mean distance
  double min_window_total = 400;  ///< windows with fewer counts are merged into the next one
};

/// \brief Estimates the demand for each expert of one set, from counts of windows of equal length.
///
/// A shift of the demand usually begins within a window, which then contains choices of before and
/// of after it. If several experts lost the same part of their choices, they are taken to have gone
/// out of demand, and the part tells when the shift began. The choices of before it are then
/// subtracted, so that the estimate need not wait for the next window.
///
/// \code
/// estimator.AddCounts(counts_of_the_last_window);
/// PlanLayout(layout, estimator.loads(), limits);
/// \endcode
class DemandEstimator {
 public:
  DemandEstimator(std::size_t experts, DemandEstimatorConfig config)
      : m_config(config),
        m_window(experts, 0),
        m_loads(experts, 0),
        m_distance(config.shift_threshold / config.shift_distance_factor) {}

  /// \param counts how often each expert was chosen in the window
  void AddCounts(const std::vector<double>& counts);

  /// \brief Share of each expert in the demand. The shares add up to 1, or are all 0 before the
  /// first window.
  const std::vector<double>& loads() const { return m_loads; }
  /// \brief Returns whether the last window showed a shift.
  bool shifted() const { return m_shifted; }

 private:
  /// \brief Returns the part of the window that lies before a shift within it; 0 if that is not
  /// clear.
  /// \param total counts in the window, whose shares are in m_window
  double PartBeforeShift(double total) const;

  DemandEstimatorConfig m_config;
  std::vector<double> m_window;  ///< counts since the last update of the estimate
  std::vector<double> m_loads;
  double m_distance = 0;  ///< mean distance of the windows without a shift
  double m_weight = 0;    ///< counts that m_loads stands for
  bool m_initialized = false;
  bool m_shifted = false;
  bool m_extrapolated = false;  ///< the part before a shift was subtracted from the last window
};

}  // namespace cornelrelay::placement
