#include "cornelrelay/placement/load_estimator.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cornelrelay::placement {

namespace {

// A gap between the fast and the slow mean up to this is noise. In standard deviations of the share
// in one window.
constexpr double kNoiseGapDeviations = 0.2;

}  // namespace

LoadEstimator::LoadEstimator(std::size_t experts, LoadEstimatorConfig config)
    : m_config(config), m_experts(experts) {
  // Until its first count, an expert is assumed to have an equal share, with a large uncertainty.
  const double share = 1 / static_cast<double>(std::max<std::size_t>(experts, 1));
  for (Expert& expert : m_experts) {
    expert.slow = expert.fast = share;
    expert.variance = share * share / 4;
  }
}

void LoadEstimator::Observe(const std::vector<std::optional<double>>& counts) {
  // Converts the counts to shares and scales them to the expected total share of the reported
  // experts. The total load changes through the day and must not look like a shift of popularity.
  double reported = 0, expected = 0, all = 0;
  for (std::size_t i = 0; i < m_experts.size(); ++i) {
    const double estimate = m_experts[i].slow;
    all += estimate;
    if (!counts[i]) continue;
    reported += *counts[i];
    expected += estimate;
  }
  if (reported <= 0 || all <= 0) return;
  const double scale = expected / all / reported;
  for (std::size_t i = 0; i < m_experts.size(); ++i) {
    if (counts[i]) {
      UpdateExpert(m_experts[i], *counts[i] * scale);
    } else {
      ++m_experts[i].missing_windows;
    }
  }
}

void LoadEstimator::UpdateExpert(Expert& expert, double share) {
  expert.missing_windows = 0;
  if (expert.observations++ == 0) {
    expert.slow = expert.fast = share;
    expert.variance = share * share / 4;
    return;
  }
  const double error = share - expert.slow;
  const double deviation = std::sqrt(expert.variance);
  const bool is_outlier = std::abs(error) > m_config.shift_sigmas * deviation;
  if (is_outlier) {
    const bool above = error > 0;
    expert.outlier_windows = expert.outlier_windows > 0 && expert.outlier_above != above
                                 ? 1
                                 : expert.outlier_windows + 1;
    expert.outlier_above = above;
    if (expert.outlier_windows >= m_config.shift_windows) {
      expert.slow = expert.fast = share;
      expert.outlier_windows = 0;
    }
    return;  // an outlier changes neither the means nor the variance
  }
  expert.outlier_windows = 0;
  expert.fast += m_config.fast_gain * (share - expert.fast);
  expert.slow += m_config.slow_gain * error;
  expert.variance += m_config.slow_gain * (error * error - expert.variance);
}

double LoadEstimator::FastMeanWeight(const Expert& expert) {
  // A drift separates the two means by more than noise alone does. The fast mean is then the more
  // accurate one.
  const double deviation = std::sqrt(expert.variance);
  if (deviation <= 0) {
    return 0;
  }
  return std::clamp(std::abs(expert.fast - expert.slow) / deviation - kNoiseGapDeviations, 0.0,
                    1.0);
}

std::vector<double> LoadEstimator::Means() const {
  std::vector<double> means;
  means.reserve(m_experts.size());
  for (const Expert& expert : m_experts) {
    means.push_back(std::lerp(expert.slow, expert.fast, FastMeanWeight(expert)));
  }
  const double sum = std::accumulate(means.begin(), means.end(), 0.0);
  for (double& mean : means) mean = sum > 0 ? mean / sum : 1.0 / static_cast<double>(means.size());
  return means;
}

std::vector<double> LoadEstimator::Deviations() const {
  std::vector<double> deviations;
  deviations.reserve(m_experts.size());
  for (const Expert& expert : m_experts) {
    // Variance of the mean in use. It grows with each missing window.
    const double gain = std::lerp(m_config.slow_gain, m_config.fast_gain, FastMeanWeight(expert));
    const double variance_factor = gain / (2 - gain);
    deviations.push_back(std::sqrt(expert.variance * variance_factor *
                                   static_cast<double>(1 + expert.missing_windows)));
  }
  return deviations;
}

}  // namespace cornelrelay::placement
