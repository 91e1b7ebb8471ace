#include "cornelrelay/limits/token_bucket.h"

#include <algorithm>

namespace cornelrelay::limits {

namespace {

// Sums of rate x time round down by a few units in the last place.
constexpr double kRounding = 1e-9;

}  // namespace

void TokenBucket::Refill(core::Instant now, double rate, double burst) {
  const double seconds = std::chrono::duration<double>(now - m_at).count();
  m_tokens = std::min(burst, m_tokens + std::max(0.0, seconds) * rate);
  m_at = std::max(m_at, now);
}

bool TokenBucket::Take() {
  if (m_tokens < 1 - kRounding) return false;
  m_tokens = std::max(0.0, m_tokens - 1);
  return true;
}

}  // namespace cornelrelay::limits
