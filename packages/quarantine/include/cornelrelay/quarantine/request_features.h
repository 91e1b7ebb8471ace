#pragma once

#include <vector>

#include "cornelrelay/quarantine/fingerprint.h"

namespace cornelrelay::quarantine {

/// \brief What a request may share with other requests, and what may therefore crash one upstream
/// after the other.
struct RequestFeatures {
  Fingerprint request;  ///< the request itself: it may come again, at any entry process
  std::vector<Fingerprint> shared_segments;  ///< segments of the prompt, but for the request's own

  friend bool operator==(const RequestFeatures&, const RequestFeatures&) = default;
};

}  // namespace cornelrelay::quarantine
