#pragma once

#include <cstdint>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::limits {

/// \brief A request in the admission queue.
struct QueuedRequest {
  core::RequestId request{};
  core::ClientAccountId account{};
  std::uint8_t priority = 1;  ///< 0 is the highest class
  core::Instant deadline = core::Instant::max();
  core::Instant enqueued{};
  double work = 1;  ///< size in work units

  friend bool operator==(const QueuedRequest&, const QueuedRequest&) = default;
};

}  // namespace cornelrelay::limits
