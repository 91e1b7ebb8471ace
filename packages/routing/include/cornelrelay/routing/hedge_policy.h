#pragma once

#include <chrono>
#include <optional>

#include "cornelrelay/core/time.h"

namespace cornelrelay::routing {

/// \brief Hedging settings of a profile.
struct HedgeConfig {
  bool enabled = false;
  double delay_factor = 3;  ///< hedge delay as a multiple of the expected time to first token
  core::Duration min_delay = std::chrono::milliseconds(50);  ///< lower bound of the hedge delay

  friend bool operator==(const HedgeConfig&, const HedgeConfig&) = default;
};

/// \brief Decides when to send a second attempt of an idempotent request whose first attempt has
/// not answered yet.
///
/// The caller also charges each hedge to its retry budget.
/// \code
/// const auto at = HedgePolicy(config).HedgeTime(sent_at, *candidate.score, request.idempotent);
/// \endcode
class HedgePolicy {
 public:
  explicit HedgePolicy(HedgeConfig config) : m_config(config) {}

  /// \brief Returns when to send the hedge, or nothing if hedging is disabled or the request is not
  /// idempotent.
  ///
  /// \param sent_at            when the first attempt was sent
  /// \param expected_duration  expected time to first token of the first attempt
  std::optional<core::Instant> HedgeTime(core::Instant sent_at, core::Duration expected_duration,
                                         bool idempotent) const;

 private:
  HedgeConfig m_config;
};

}  // namespace cornelrelay::routing
