#pragma once

#include <array>
#include <cstdint>
#include <memory>

#include "cornelrelay/core/time.h"

namespace cornelrelay::telemetry {

/// \brief Statistics of a window of observations, in seconds. All 0 without observations.
struct LatencyStatistics {
  std::uint64_t count = 0;
  double mean = 0;
  double max = 0;
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
};

/// \brief Latencies with quantile estimates (P-square algorithm, constant memory).
///
/// Count and sum cover the life of the process. The statistics cover the last complete window, or
/// the current one before the first is complete, because quantiles over a life of days hide what
/// happens now.
///
/// \code
/// summary.Observe(now, finished - started);
/// \endcode
class LatencySummary {
 public:
  static constexpr core::Duration kWindow = std::chrono::seconds(60);

  LatencySummary();
  ~LatencySummary();
  LatencySummary(LatencySummary&&) noexcept;
  LatencySummary& operator=(LatencySummary&&) noexcept;

  /// \brief `now` must not decrease between calls.
  void Observe(core::Instant now, core::Duration latency);

  LatencyStatistics Statistics(core::Instant now) const;

  std::uint64_t count() const { return m_count; }
  double sum_seconds() const { return m_sum_seconds; }

 private:
  class Window;

  std::uint64_t m_count = 0;
  double m_sum_seconds = 0;
  std::unique_ptr<Window> m_current;
  std::unique_ptr<Window> m_last;  ///< null before the first window is complete
};

}  // namespace cornelrelay::telemetry
