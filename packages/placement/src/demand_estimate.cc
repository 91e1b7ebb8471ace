#include "cornelrelay/placement/demand_estimate.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>

namespace cornelrelay::placement {

void DemandEstimate::Add(const std::vector<double>& picks) {
  assert(picks.size() == m_window.size());
  for (std::size_t i = 0; i < picks.size(); ++i) m_window[i] += picks[i];
  const double total = std::accumulate(m_window.begin(), m_window.end(), 0.0);
  if (total < m_config.least_picks) return;
  double distance = 0;
  for (std::size_t i = 0; i < m_window.size(); ++i) {
    m_window[i] /= total;
    distance += std::abs(m_window[i] - m_loads[i]) / 2;
  }
  // Counting alone makes two windows differ by about this much.
  const double noise = std::sqrt(static_cast<double>(m_window.size()) / total) / 2;
  const double least = std::min(m_config.shift, m_config.usual_distances * m_usual);
  m_shifted = m_known && distance > least + noise;
  if (m_known && !m_shifted) m_usual += m_config.usual_gain * (distance - m_usual);
  const double gain = !m_known || m_shifted ? 1 : m_config.gain;
  for (std::size_t i = 0; i < m_window.size(); ++i) {
    m_loads[i] += gain * (m_window[i] - m_loads[i]);
  }
  m_known = true;
  std::fill(m_window.begin(), m_window.end(), 0);
}

}  // namespace cornelrelay::placement
