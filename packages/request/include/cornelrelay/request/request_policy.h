#pragma once

#include "cornelrelay/core/time.h"

namespace cornelrelay::request {

/// \brief Limits and rules for one request, taken from the profile or route of its service.
struct RequestPolicy {
  bool idempotent = false;
  bool key_required = false;       ///< refuses non-idempotent calls without `Idempotency-Key`
  int max_attempts = 1;            ///< limit of attempts, including the first
  core::Duration deadline{};       ///< from the start of the request to the end of its answer
  core::Duration claim_timeout{};  ///< time limit for a claim to be granted
  /// Number of failed connects that do not count as attempts, because no upstream received the
  /// request.
  int max_uncounted_connect_failures = 0;

  friend bool operator==(const RequestPolicy&, const RequestPolicy&) = default;
};

}  // namespace cornelrelay::request
