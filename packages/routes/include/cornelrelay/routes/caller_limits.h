#pragma once

#include <cstddef>

#include "cornelrelay/core/time.h"

namespace cornelrelay::routes {

/// \brief Limits on the size of requests and on the time that callers take to send them.
struct CallerLimits {
  std::size_t head_bytes = 16'384;
  std::size_t body_bytes = 4'194'304;
  core::Duration head_timeout = std::chrono::seconds(10);
  core::Duration idle_timeout = std::chrono::seconds(15);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

}  // namespace cornelrelay::routes
