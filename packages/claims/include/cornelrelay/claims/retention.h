#pragma once

#include <chrono>

#include "cornelrelay/core/time.h"

namespace cornelrelay::claims {

/// \brief How long keys are accepted and claims are kept.
struct Retention {
  core::Duration age = std::chrono::hours(24);
  core::Duration skew = std::chrono::seconds(60);

  friend bool operator==(const Retention&, const Retention&) = default;

  /// \brief Two processes may differ by twice the skew, so claims outlive their keys by that much.
  core::Duration KeepClaims() const { return age + 2 * skew; }
};

}  // namespace cornelrelay::claims
