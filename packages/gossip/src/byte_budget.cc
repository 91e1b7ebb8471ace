#include "cornelrelay/gossip/byte_budget.h"

#include <algorithm>

namespace cornelrelay::gossip {

ByteBudget::ByteBudget(double bytes_per_second, core::Duration burst)
    : m_rate(bytes_per_second),
      m_limit(bytes_per_second * std::chrono::duration<double>(burst).count()),
      m_available(m_limit) {}

void ByteBudget::Refill(core::Instant now) {
  const double seconds = std::chrono::duration<double>(now - m_last).count();
  m_last = now;
  m_available = std::min(m_limit, m_available + std::max(0.0, seconds) * m_rate);
}

}  // namespace cornelrelay::gossip
