#include "cornelrelay/placement/load_estimator.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cornelrelay::placement {

namespace {

constexpr double kNoiseGap = 0.2;  // of the fast and the slow mean, in deviations of one window

}  // namespace

LoadEstimator::LoadEstimator(std::size_t experts, EstimatorConfig config)
    : m_config(config), m_experts(experts) {
  // Until its first count, an expert is believed to have an equal share, with a large uncertainty.
  const double share = 1 / static_cast<double>(std::max<std::size_t>(experts, 1));
  for (Expert& expert : m_experts) {
    expert.slow = expert.fast = share;
    expert.variance = share * share / 4;
  }
}

void LoadEstimator::Observe(const std::vector<std::optional<double>>& counts) {
  // Shares of the reported part, scaled by what the reported experts are believed to hold: the
  // total load changes through the day and must not look like a shift of popularity.
  double reported = 0, believed = 0, all = 0;
  for (std::size_t i = 0; i < m_experts.size(); ++i) {
    const double belief = m_experts[i].slow;
    all += belief;
    if (!counts[i]) continue;
    reported += *counts[i];
    believed += belief;
  }
  if (reported <= 0 || all <= 0) return;
  const double scale = believed / all / reported;
  for (std::size_t i = 0; i < m_experts.size(); ++i) {
    if (counts[i]) {
      ObserveOne(m_experts[i], *counts[i] * scale);
    } else {
      ++m_experts[i].missing;
    }
  }
}

void LoadEstimator::ObserveOne(Expert& expert, double share) {
  expert.missing = 0;
  if (expert.seen++ == 0) {
    expert.slow = expert.fast = share;
    expert.variance = share * share / 4;
    return;
  }
  const double error = share - expert.slow;
  const double deviation = std::sqrt(expert.variance);
  const bool departs = std::abs(error) > m_config.shift_sigmas * deviation;
  if (departs) {
    const bool above = error > 0;
    expert.departed = expert.departed > 0 && expert.above != above ? 1 : expert.departed + 1;
    expert.above = above;
    if (expert.departed >= m_config.shift_windows) {
      expert.slow = expert.fast = share;
      expert.departed = 0;
    }
    return;  // a burst moves neither the means nor the variance
  }
  expert.departed = 0;
  expert.fast += m_config.fast_gain * (share - expert.fast);
  expert.slow += m_config.slow_gain * error;
  expert.variance += m_config.slow_gain * (error * error - expert.variance);
}

double LoadEstimator::TrustInFast(const Expert& expert) {
  // A drift separates the two means by more than noise alone; then the fast one is nearer to the
  // truth.
  const double deviation = std::sqrt(expert.variance);
  if (deviation <= 0) {
    return 0;
  }
  return std::clamp(std::abs(expert.fast - expert.slow) / deviation - kNoiseGap, 0.0, 1.0);
}

std::vector<double> LoadEstimator::Means() const {
  std::vector<double> means;
  means.reserve(m_experts.size());
  for (const Expert& expert : m_experts) {
    means.push_back(std::lerp(expert.slow, expert.fast, TrustInFast(expert)));
  }
  const double sum = std::accumulate(means.begin(), means.end(), 0.0);
  for (double& mean : means) mean = sum > 0 ? mean / sum : 1.0 / static_cast<double>(means.size());
  return means;
}

std::vector<double> LoadEstimator::Deviations() const {
  std::vector<double> deviations;
  deviations.reserve(m_experts.size());
  for (const Expert& expert : m_experts) {
    // Of the mean in use, grown with each missing window.
    const double gain = std::lerp(m_config.slow_gain, m_config.fast_gain, TrustInFast(expert));
    const double smoothed = gain / (2 - gain);
    deviations.push_back(
        std::sqrt(expert.variance * smoothed * static_cast<double>(1 + expert.missing)));
  }
  return deviations;
}

}  // namespace cornelrelay::placement
