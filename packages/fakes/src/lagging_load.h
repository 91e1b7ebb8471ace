#pragma once

#include <chrono>
#include <cstddef>
#include <deque>

namespace cornelrelay::fakes::internal {

struct LoadSample {
  std::chrono::steady_clock::time_point time;
  std::size_t running = 0;
  std::size_t waiting = 0;
};

/// \brief Returns load as it was some time ago, as the engines' reports lag.
class LaggingLoad {
 public:
  explicit LaggingLoad(std::chrono::milliseconds lag) : m_lag(lag) {}

  void Add(LoadSample sample) {
    m_samples.push_back(sample);
    while (m_samples.size() > 1 && m_samples[1].time + m_lag <= sample.time) m_samples.pop_front();
  }

  LoadSample At(std::chrono::steady_clock::time_point now) const {
    LoadSample found;
    for (const auto& sample : m_samples) {
      if (sample.time + m_lag <= now) found = sample;
    }
    return found;
  }

 private:
  std::chrono::milliseconds m_lag;
  std::deque<LoadSample> m_samples;
};

}  // namespace cornelrelay::fakes::internal
