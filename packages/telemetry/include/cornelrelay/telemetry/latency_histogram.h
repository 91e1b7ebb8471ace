#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "cornelrelay/core/time.h"

namespace cornelrelay::telemetry {

/// \brief Counts of latencies by upper bound, over the life of the process. Unlike quantiles, they
/// can be added up over processes.
class LatencyHistogram {
 public:
  /// Upper bounds; the last bucket has none. They include the usual targets of 120, 300 and 400 ms.
  static constexpr std::array<std::chrono::milliseconds, 13> kBounds{
      {std::chrono::milliseconds(5), std::chrono::milliseconds(10), std::chrono::milliseconds(25),
       std::chrono::milliseconds(50), std::chrono::milliseconds(120),
       std::chrono::milliseconds(200), std::chrono::milliseconds(300),
       std::chrono::milliseconds(400), std::chrono::milliseconds(800),
       std::chrono::milliseconds(1'500), std::chrono::milliseconds(3'000),
       std::chrono::milliseconds(8'000), std::chrono::milliseconds(20'000)}};

  void Observe(core::Duration latency);

  /// \brief Observations up to and including a bound; index kBounds.size() counts all.
  std::uint64_t UpTo(std::size_t bound) const;
  double sum_seconds() const { return m_sum_seconds; }

 private:
  std::array<std::uint64_t, kBounds.size() + 1> m_buckets{};
  double m_sum_seconds = 0;
};

}  // namespace cornelrelay::telemetry
