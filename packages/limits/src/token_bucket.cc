#include "cornelrelay/limits/token_bucket.h"

#include <algorithm>

namespace cornelrelay::limits {

namespace {

// Tolerates that sums of rate x time can be a few units in the last place too low.
constexpr double kRoundingTolerance = 1e-9;

}  // namespace

void TokenBucket::Refill(core::Instant now, double rate, double burst) {
  const double seconds = std::chrono::duration<double>(now - m_last_refill).count();
  m_tokens = std::min(burst, m_tokens + std::max(0.0, seconds) * rate);
  m_last_refill = std::max(m_last_refill, now);
}

bool TokenBucket::Take() {
  if (m_tokens < 1 - kRoundingTolerance) return false;
  m_tokens = std::max(0.0, m_tokens - 1);
  return true;
}

}  // namespace cornelrelay::limits
