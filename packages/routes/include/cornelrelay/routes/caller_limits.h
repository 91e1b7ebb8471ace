#pragma once

#include <cstddef>

#include "cornelrelay/core/time.h"

namespace cornelrelay::routes {

/// \brief Limits on the size of requests and on the time that callers take to send them and to
/// accept the responses.
struct CallerLimits {
  std::size_t head_bytes = 16'384;
  std::size_t body_bytes = 4'194'304;
  /// From the first byte of a request head to its end.
  core::Duration head_timeout = std::chrono::seconds(10);
  /// Applies separately to the TLS handshake, to the wait for the first byte of a request, to the
  /// reading of a request body and to each write of a response.
  core::Duration idle_timeout = std::chrono::seconds(15);

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

}  // namespace cornelrelay::routes
