#pragma once

#include <cstddef>
#include <cstdint>

#include "cornelrelay/core/time.h"

namespace cornelrelay::store {

/// \brief Limits of one process's StoreClient.
struct StoreClientOptions {
  double calls_per_second = 20;
  double burst = 40;
  std::size_t queue_limit = 256;  ///< calls that wait for the budget
  core::Duration queue_timeout = std::chrono::seconds(1);
  core::Duration call_timeout = std::chrono::milliseconds(1500);
  core::Duration watch_timeout = std::chrono::seconds(60);
  std::uint32_t attempts = 3;  ///< of one call, where a repetition is harmless
  core::Duration backoff_base = std::chrono::milliseconds(100);
  core::Duration backoff_ceiling = std::chrono::seconds(4);
  std::uint32_t failures_until_outage = 5;  ///< consecutive failures

  friend auto operator<=>(const StoreClientOptions&, const StoreClientOptions&) = default;
};

}  // namespace cornelrelay::store
