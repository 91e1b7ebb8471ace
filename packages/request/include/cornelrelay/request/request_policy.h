#pragma once

#include "cornelrelay/core/time.h"

namespace cornelrelay::request {

/// \brief What the profile of the service prescribes for one request.
struct RequestPolicy {
  bool idempotent = false;
  bool key_required = false;  ///< refuse non-idempotent calls without `Idempotency-Key`
  int max_attempts = 1;       ///< attempts in all, the first included
  core::Duration deadline{};  ///< from the start of the request to the end of its answer
  core::Duration claim_timeout{};
  /// Failures to connect that do not count as attempts, because no upstream saw the request.
  int max_uncounted_connect_failures = 0;

  friend bool operator==(const RequestPolicy&, const RequestPolicy&) = default;
};

}  // namespace cornelrelay::request
