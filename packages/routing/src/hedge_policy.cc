#include "cornelrelay/routing/hedge_policy.h"

#include <algorithm>

namespace cornelrelay::routing {

std::optional<core::Instant> HedgePolicy::HedgeAt(core::Instant sent, core::Duration expected,
                                                  bool idempotent) const {
  if (!m_limits.enabled || !idempotent) return std::nullopt;
  const auto delay = core::Duration(static_cast<core::Duration::rep>(
      static_cast<double>(expected.count()) * m_limits.delay_factor));
  return sent + std::max(delay, m_limits.least_delay);
}

}  // namespace cornelrelay::routing
