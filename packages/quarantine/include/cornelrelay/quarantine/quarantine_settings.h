#pragma once

#include <chrono>

#include "cornelrelay/core/time.h"

namespace cornelrelay::quarantine {

/// \brief Times of a CrashLedger.
struct QuarantineSettings {
  /// A crash counts for this long.
  core::Duration memory = std::chrono::hours(1);
  /// Upper bound of the spread of a record in a connected deployment: urgent records go out in
  /// rounds of 250 ms, and 1,290 members are reached in about 3 log2(n)/4 = 8 rounds. Answers and
  /// probes wait this long.
  core::Duration spread = std::chrono::seconds(2);
  /// A probe whose entry process died is forgotten after this long; a living one refreshes at half
  /// of it.
  core::Duration probe_lifetime = std::chrono::minutes(2);

  friend bool operator==(const QuarantineSettings&, const QuarantineSettings&) = default;
};

}  // namespace cornelrelay::quarantine
