#pragma once

#include <chrono>
#include <optional>

#include "cornelrelay/core/time.h"

namespace cornelrelay::routing {

/// \brief Settings of a HedgePolicy.
struct HedgeConfig {
  bool enabled = false;
  double delay_factor = 3;  ///< hedge delay as a multiple of the expected time to first token
  core::Duration min_delay = std::chrono::milliseconds(50);  ///< lower bound of the hedge delay

  friend bool operator==(const HedgeConfig&, const HedgeConfig&) = default;
};

/// \brief Computes when to send a hedge: a second attempt of an idempotent request whose first
/// token has not arrived by then.
///
/// The caller checks whether the first token has arrived, and charges each hedge to its retry
/// budget.
/// \code
/// const auto at = HedgePolicy(config).HedgeTime(sent_at, *candidate.score, request.idempotent);
/// \endcode
class HedgePolicy {
 public:
  explicit HedgePolicy(HedgeConfig config) : m_config(config) {}

  /// \brief Returns when to send the hedge, or nothing if hedging is disabled or the request is not
  /// idempotent.
  ///
  /// \param sent_at                       when the first attempt was sent
  /// \param expected_time_to_first_token  of the first attempt
  std::optional<core::Instant> HedgeTime(core::Instant sent_at,
                                         core::Duration expected_time_to_first_token,
                                         bool idempotent) const;

 private:
  HedgeConfig m_config;
};

}  // namespace cornelrelay::routing
