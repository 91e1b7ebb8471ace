#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace cornelrelay::placement {

/// \brief Settings of a LoadEstimator; gains are per observation.
struct EstimatorConfig {
  double slow_gain = 0.2;
  double fast_gain = 0.5;
  double shift_sigmas = 4;  ///< a departure by this much is a candidate for a shift
  std::size_t shift_windows =
      2;  ///< that many windows in a row make it one; a shorter departure is a burst
};

/// \brief Smoothed share of the tokens per expert of one layer, with uncertainty.
///
/// Counts arrive late and incomplete; a missing count leaves the estimate and widens its
/// uncertainty. \code estimator.Observe(counts); planner.Plan(estimator.Means(),
/// estimator.Deviations(), current); \endcode
class LoadEstimator {
 public:
  LoadEstimator(std::size_t experts, EstimatorConfig config);

  /// \brief One window's counts; no value where the report is missing.
  void Observe(const std::vector<std::optional<double>>& counts);

  std::vector<double> Means() const;
  std::vector<double> Deviations() const;

 private:
  struct Expert {
    double slow = 0;
    double fast = 0;
    double variance = 0;
    std::size_t seen = 0;
    std::size_t departed = 0;  // windows in a row, signed by `above`
    bool above = false;
    std::size_t missing = 0;
  };

  static double TrustInFast(const Expert& expert);
  void ObserveOne(Expert& expert, double share);

  EstimatorConfig m_config;
  std::vector<Expert> m_experts;
};

}  // namespace cornelrelay::placement
