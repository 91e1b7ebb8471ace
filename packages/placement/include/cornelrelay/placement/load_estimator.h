#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace cornelrelay::placement {

/// \brief Settings of a LoadEstimator. Gains are the weight of the newest observation in a mean.
struct LoadEstimatorConfig {
  double slow_gain = 0.2;
  double fast_gain = 0.5;
  /// A share that is more than this many standard deviations from the slow mean is an outlier.
  double shift_sigmas = 4;
  /// This many outliers in a row are a shift. Fewer are a burst.
  std::size_t shift_windows = 2;
};

/// \brief Estimates the share of each expert of one layer in the tokens, with its uncertainty.
///
/// Counts arrive late and incomplete. A missing count does not change the estimate and increases
/// its uncertainty.
///
/// \code
/// estimator.Observe(counts);
/// planner.MakePlan(current, estimator.Means(), estimator.Deviations(), speeds);
/// \endcode
class LoadEstimator {
 public:
  LoadEstimator(std::size_t experts, LoadEstimatorConfig config);

  /// \brief Adds the counts of one window, with no value where the report is missing.
  void Observe(const std::vector<std::optional<double>>& counts);

  /// \brief Estimated share of each expert. The shares add up to 1.
  std::vector<double> Means() const;
  /// \brief Standard deviation of each estimated share.
  std::vector<double> Deviations() const;

 private:
  struct Expert {
    double slow = 0;
    double fast = 0;
    double variance = 0;
    std::size_t observations = 0;
    std::size_t outlier_windows = 0;  ///< outliers in a row, all on the side `outlier_above`
    bool outlier_above = false;
    std::size_t missing_windows = 0;  ///< in a row
  };

  /// \brief Weight of the fast mean in the estimate, from 0 to 1; the slow mean has the rest.
  static double FastMeanWeight(const Expert& expert);
  void UpdateExpert(Expert& expert, double share);

  LoadEstimatorConfig m_config;
  std::vector<Expert> m_experts;
};

}  // namespace cornelrelay::placement
