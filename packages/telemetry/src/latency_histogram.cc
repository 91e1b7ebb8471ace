#include "cornelrelay/telemetry/latency_histogram.h"

#include <algorithm>
#include <numeric>

namespace cornelrelay::telemetry {

void LatencyHistogram::Observe(core::Duration latency) {
  const auto bucket = std::lower_bound(kBounds.begin(), kBounds.end(), latency) - kBounds.begin();
  ++m_buckets[static_cast<std::size_t>(bucket)];
  m_sum_seconds += std::chrono::duration<double>(latency).count();
}

std::uint64_t LatencyHistogram::UpTo(std::size_t bound) const {
  const auto end = m_buckets.begin() + static_cast<std::ptrdiff_t>(bound) + 1;
  return std::accumulate(m_buckets.begin(), end, std::uint64_t{0});
}

}  // namespace cornelrelay::telemetry
