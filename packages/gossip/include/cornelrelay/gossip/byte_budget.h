#pragma once

#include <cstddef>

#include "cornelrelay/core/time.h"

namespace cornelrelay::gossip {

/// \brief Bytes that may be sent now, refilled at a constant rate.
///
/// Probes and answers are charged but never held back, so the amount can be negative; gossip rounds
/// then wait until it has recovered.
class ByteBudget {
 public:
  ByteBudget(double bytes_per_second, core::Duration burst);

  void Refill(core::Instant now);
  void Charge(std::size_t bytes) { m_available -= static_cast<double>(bytes); }
  double available() const { return m_available; }

 private:
  double m_rate;
  double m_limit;
  double m_available;
  core::Instant m_last{};
};

}  // namespace cornelrelay::gossip
