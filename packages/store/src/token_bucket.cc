#include "cornelrelay/store/token_bucket.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cmath>

namespace cornelrelay::store {

TokenBucket::TokenBucket(double rate_per_second, double burst)
    : m_rate_per_second(rate_per_second), m_burst(burst), m_tokens(burst) {
  assert(rate_per_second > 0 && burst >= 1);
}

bool TokenBucket::TryTake(core::Instant now) {
  m_tokens = TokensAt(now);
  m_updated = std::max(m_updated, now);
  if (m_tokens < 1) return false;
  m_tokens -= 1;
  return true;
}

core::Duration TokenBucket::UntilNext(core::Instant now) const { return Until(now, 1); }

core::Duration TokenBucket::Until(core::Instant now, double count) const {
  const double missing = count - TokensAt(now);
  if (missing <= 0) return core::Duration::zero();
  // Rounded up so that a wake-up after this delay finds the token.
  return core::Duration(static_cast<core::Duration::rep>(missing / m_rate_per_second * 1e6) + 2);
}

double TokenBucket::TokensAt(core::Instant now) const {
  const double seconds = std::chrono::duration<double>(now - m_updated).count();
  return std::min(m_burst, m_tokens + std::max(0.0, seconds) * m_rate_per_second);
}

}  // namespace cornelrelay::store
