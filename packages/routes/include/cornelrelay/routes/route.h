#pragma once

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

/// \brief What holds for the requests of one host and path prefix.
struct Route {
  std::string name;
  std::string host;    ///< lower case, without port
  std::string prefix;  ///< begins and ends with a slash
  RequestKind kind = RequestKind::kNonIdempotent;
  core::Duration timeout{};         ///< a request is answered at this age at the latest
  core::Duration target_latency{};  ///< to the whole answer, or to the first event of a stream
  core::Duration target_gap{};      ///< between the events of a stream; 0 where there is none
  int max_attempts = 1;             ///< upstreams to which one request may be sent
  std::uint8_t priority = 1;        ///< 0 is the highest
  bool is_public = false;           ///< needs no account
  bool resumable = false;           ///< a broken stream may go on at another upstream
  std::vector<WeightedService> services;

  bool IsRepeatable() const {
    return kind == RequestKind::kIdempotent || (kind == RequestKind::kStream && resumable);
  }

  friend bool operator==(const Route&, const Route&) = default;
};

}  // namespace cornelrelay::routes
