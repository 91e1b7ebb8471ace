#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/routes/request_kind.h"

namespace cornelrelay::routes {

/// \brief A service and its share of a route's requests.
struct WeightedService {
  core::ServiceId service;
  double weight = 1;

  friend bool operator==(const WeightedService&, const WeightedService&) = default;
};

/// \brief Rules for the requests of one host and path prefix.
struct Route {
  std::string name;
  std::string host;    ///< lower case, without port
  std::string prefix;  ///< begins and ends with a slash
  RequestKind kind = RequestKind::kNonIdempotent;
  core::Duration timeout{};  ///< maximum time from the arrival of a request to its response
  /// Target time to the whole response, or to the first event of a stream.
  core::Duration target_latency{};
  /// Target time between two events of a stream; 0 if there is no target.
  core::Duration target_gap{};
  int max_attempts = 1;       ///< maximum number of upstreams that one request is sent to
  std::uint8_t priority = 1;  ///< 0 is the highest
  bool is_public = false;     ///< requests need no account
  bool resumable = false;     ///< a broken stream may be resumed on another upstream
  std::vector<WeightedService> services;

  /// \brief Returns whether a request may be repeated after an attempt that may have been executed.
  bool IsRepeatable() const {
    return kind == RequestKind::kIdempotent || (kind == RequestKind::kStream && resumable);
  }

  /// \brief Returns the pause after which callers of a stream disconnect, also before its first
  /// event.
  core::Duration CallerPatience() const {
    return std::max({kLeastCallerPatience, kPatienceInLatencies * target_latency,
                     kPatienceInGaps * target_gap});
  }

  friend bool operator==(const Route&, const Route&) = default;

 private:
  // As the operators state it for their callers; see docs/platform.md.
  static constexpr core::Duration kLeastCallerPatience = std::chrono::seconds(2);
  static constexpr int kPatienceInLatencies = 4;
  static constexpr int kPatienceInGaps = 8;
};

}  // namespace cornelrelay::routes
