#pragma once

#include <chrono>
#include <optional>

#include "cornelrelay/core/time.h"

namespace cornelrelay::routing {

/// \brief Hedging settings of a profile.
struct HedgeLimits {
  bool enabled = false;
  double delay_factor = 3;  ///< multiple of the expected time to first token
  core::Duration least_delay = std::chrono::milliseconds(50);

  friend bool operator==(const HedgeLimits&, const HedgeLimits&) = default;
};

/// \brief Decides when a second attempt of an idempotent request is sent beside a silent first one.
///
/// The caller also takes the hedge from its retry budget.
/// \code
/// const auto at = HedgePolicy(limits).HedgeAt(sent, *candidate.score, request.idempotent);
/// \endcode
class HedgePolicy {
 public:
  explicit HedgePolicy(HedgeLimits limits) : m_limits(limits) {}

  /// \brief When to send the hedge; none for calls that must not be repeated.
  std::optional<core::Instant> HedgeAt(core::Instant sent, core::Duration expected,
                                       bool idempotent) const;

 private:
  HedgeLimits m_limits;
};

}  // namespace cornelrelay::routing
