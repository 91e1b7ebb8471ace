#pragma once

#include <chrono>
#include <cstddef>

#include "cornelrelay/claims/claim_segment.h"
#include "cornelrelay/claims/retention.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::claims {

/// \brief Limits of a ClaimOwner.
struct OwnerSettings {
  /// Shortest time between two head writes: 10 writes a second a partition, 160 for 16 partitions.
  core::Duration batch_window = std::chrono::milliseconds(100);
  /// A call that waits longer is refused; the client gives up a little later by itself.
  core::Duration refuse_after = std::chrono::milliseconds(800);
  core::Duration first_backoff = std::chrono::milliseconds(50);
  core::Duration longest_backoff = std::chrono::seconds(2);
  std::size_t segment_claims = kMaxSegmentClaims;
  std::size_t max_pending = 4096;
  /// Segment reads in flight when a partition is opened.
  std::size_t parallel_reads = 16;
  Retention retention;

  friend bool operator==(const OwnerSettings&, const OwnerSettings&) = default;
};

}  // namespace cornelrelay::claims
