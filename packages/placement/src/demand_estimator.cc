#include "cornelrelay/placement/demand_estimator.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>

namespace cornelrelay::placement {
namespace {

/// Experts with less than this multiple of the mean share, or with fewer expected counts, do not
/// tell when a shift began.
constexpr double kMinShareOfMean = 2;
constexpr double kMinExpectedCounts = 50;
/// Experts that must have lost about the same part of their choices, and how much these parts may
/// differ.
constexpr std::size_t kAgreeingExperts = 3;
constexpr double kMaxPartDifference = 0.15;
/// Parts of a window before a shift that are subtracted. A smaller one makes little difference;
/// with a larger one, too few counts of after the shift are left.
constexpr double kMinPartBefore = 0.15;
constexpr double kMaxPartBefore = 0.75;

}  // namespace

double DemandEstimator::PartBeforeShift(double total) const {
  std::vector<double> sorted = m_window;
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  const double base = *middle;  // share that an expert out of demand still has
  const double mean = 1 / static_cast<double>(m_loads.size());
  std::vector<double> kept;  // part of the choices above the base that an expert has kept
  for (std::size_t i = 0; i < m_loads.size(); ++i) {
    const bool significant = m_loads[i] >= kMinShareOfMean * mean && m_loads[i] > base &&
                             m_loads[i] * total >= kMinExpectedCounts;
    if (significant) kept.push_back((m_window[i] - base) / (m_loads[i] - base));
  }
  if (kept.size() <= kAgreeingExperts) return 0;
  std::partial_sort(kept.begin(), kept.begin() + kAgreeingExperts, kept.end());
  if (kept[kAgreeingExperts - 1] - kept.front() > kMaxPartDifference) return 0;
  const double part = kept[kAgreeingExperts / 2];
  return part < kMinPartBefore || part > kMaxPartBefore ? 0 : part;
}

void DemandEstimator::AddCounts(const std::vector<double>& counts) {
  assert(counts.size() == m_window.size());
  for (std::size_t i = 0; i < counts.size(); ++i) m_window[i] += counts[i];
  const double total = std::accumulate(m_window.begin(), m_window.end(), 0.0);
  if (total < m_config.min_window_total) return;
  double distance = 0;
  for (std::size_t i = 0; i < m_window.size(); ++i) {
    m_window[i] /= total;
    distance += std::abs(m_window[i] - m_loads[i]) / 2;
  }
  // Sampling noise alone makes two windows differ by about this much.
  const double noise = std::sqrt(static_cast<double>(m_window.size()) / total) / 2;
  const double threshold =
      std::min(m_config.shift_threshold, m_config.shift_distance_factor * m_distance);
  m_shifted = m_initialized && distance > threshold + noise;
  if (m_initialized && !m_shifted) m_distance += m_config.distance_gain * (distance - m_distance);
  if (const double before = m_shifted && !m_extrapolated ? PartBeforeShift(total) : 0; before > 0) {
    m_extrapolated = true;
    double sum = 0;
    for (std::size_t i = 0; i < m_window.size(); ++i) {
      m_window[i] = std::max(0.0, m_window[i] - before * m_loads[i]);
      sum += m_window[i];
    }
    for (double& share : m_window) share /= sum;
  } else {
    m_extrapolated = false;
  }
  // All counts since a shift weigh the same at first, so that the noise falls with each window.
  if (!m_initialized || m_shifted) m_weight = 0;
  m_weight += total;
  const double gain = std::max(total / m_weight, std::min(1.0, m_config.gain));
  m_weight = std::min(m_weight, total / gain);
  for (std::size_t i = 0; i < m_window.size(); ++i) {
    m_loads[i] += gain * (m_window[i] - m_loads[i]);
  }
  m_initialized = true;
  std::fill(m_window.begin(), m_window.end(), 0);
}

}  // namespace cornelrelay::placement
