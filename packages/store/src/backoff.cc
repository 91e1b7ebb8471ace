#include "cornelrelay/store/backoff.h"

#include <algorithm>
#include <cassert>

namespace cornelrelay::store {

Backoff::Backoff(core::Duration base, core::Duration ceiling, std::uint64_t seed)
    : m_base(base), m_ceiling(ceiling), m_random(seed) {
  assert(base > core::Duration::zero() && ceiling >= base);
}

core::Duration Backoff::Delay(std::uint32_t failures) {
  core::Duration delay = m_base;
  for (std::uint32_t i = 1; i < failures && delay < m_ceiling; ++i) delay *= 2;
  delay = std::min(delay, m_ceiling);
  const auto half = delay.count() / 2;
  return core::Duration(half + static_cast<core::Duration::rep>(m_random.Below(
                                   static_cast<std::uint64_t>(delay.count() - half) + 1)));
}

}  // namespace cornelrelay::store
