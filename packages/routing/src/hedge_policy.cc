#include "cornelrelay/routing/hedge_policy.h"

#include <algorithm>

namespace cornelrelay::routing {

std::optional<core::Instant> HedgePolicy::HedgeTime(core::Instant sent_at,
                                                    core::Duration expected_time_to_first_token,
                                                    bool idempotent) const {
  if (!m_config.enabled || !idempotent) return std::nullopt;
  const auto delay = core::Duration(static_cast<core::Duration::rep>(
      static_cast<double>(expected_time_to_first_token.count()) * m_config.delay_factor));
  return sent_at + std::max(delay, m_config.min_delay);
}

}  // namespace cornelrelay::routing
