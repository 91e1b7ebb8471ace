#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

#include "cornelrelay/core/time.h"

namespace cornelrelay::dispatch {

struct ServedSharesConfig {
  /// A priority is underserved below this share of the share that all requests get. Callers are
  /// promised a quarter; the rest covers the requests that are rejected between two decisions.
  double floor = 0.3;
  /// Time constant of the counts. Longer than a burst (5 s), which less urgent requests may sit
  /// out.
  core::Duration memory = std::chrono::seconds(10);
  /// Arrivals below which the share of a priority says nothing yet.
  double min_arrivals = 10;
  /// A priority is forgotten when its count of arrivals has decayed to this.
  double forget_below = 0.01;
};

/// \brief Share of the recent requests of each priority that were sent to an upstream.
///
/// Strict priorities alone would serve none of the least urgent requests while the more urgent ones
/// use up the capacity. Requests of an underserved priority are to be treated as urgent ones.
class ServedShares {
 public:
  explicit ServedShares(ServedSharesConfig config = {}) : m_config(config) {}

  void RecordArrival(core::Instant now, std::uint8_t priority);
  void RecordServed(core::Instant now, std::uint8_t priority);

  /// \param promoted requests of this priority that wait with a higher one; they count as served
  bool IsUnderserved(core::Instant now, std::uint8_t priority, std::size_t promoted) const;
  /// \brief Returns the highest priority of recent requests, or `otherwise` if there are none.
  std::uint8_t MostUrgent(std::uint8_t otherwise) const;
  /// \brief Number of different priorities of recent requests.
  std::size_t size() const { return m_counts.size(); }

 private:
  struct Counts {
    double arrived = 0;
    double served = 0;
    core::Instant at{};
  };
  Counts Decayed(core::Instant now, const Counts& counts) const;

  ServedSharesConfig m_config;
  std::map<std::uint8_t, Counts> m_counts;
};

}  // namespace cornelrelay::dispatch
