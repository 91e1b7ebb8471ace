#include "cornelrelay/placement/demand_estimator.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>

namespace cornelrelay::placement {

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
  const double gain = !m_initialized || m_shifted ? 1 : m_config.gain;
  for (std::size_t i = 0; i < m_window.size(); ++i) {
    m_loads[i] += gain * (m_window[i] - m_loads[i]);
  }
  m_initialized = true;
  std::fill(m_window.begin(), m_window.end(), 0);
}

}  // namespace cornelrelay::placement
