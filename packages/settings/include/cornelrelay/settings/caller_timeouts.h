#pragma once

#include <chrono>

#include "cornelrelay/core/time.h"

namespace cornelrelay::settings {

/// \brief How long a caller's connection may take.
struct CallerTimeouts {
  core::Duration head = std::chrono::seconds(10);  ///< from the first byte of a head to its end
  core::Duration idle = std::chrono::seconds(75);  ///< before a request, and for its body

  friend bool operator==(const CallerTimeouts&, const CallerTimeouts&) = default;
};

}  // namespace cornelrelay::settings
