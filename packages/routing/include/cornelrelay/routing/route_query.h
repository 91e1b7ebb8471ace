#pragma once

#include <cstdint>
#include <set>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::routing {

/// \brief Digest of a prompt prefix, such as a conversation or document, that an engine may cache.
using PrefixKey = core::StrongId<struct PrefixKeyTag>;

/// \brief Size of a request in work units: tokens for a language model, 1 for a request to
/// any other service.
struct SizeEstimate {
  double prompt = 1;  ///< work before the first token without a cached prefix
  double output = 0;  ///< expected output tokens
  double prefix = 0;  ///< part of `prompt` that a cached prefix saves

  friend bool operator==(const SizeEstimate&, const SizeEstimate&) = default;
};

/// \brief One request that needs a replica.
///
/// \code
/// const RouteQuery query{.request = id, .size = {900, 200, 700}};
/// const RoutingDecision decision = router.Choose(now, query);
/// \endcode
struct RouteQuery {
  core::RequestId request{};
  SizeEstimate size{};
  PrefixKey prefix_key{};  ///< empty if prefix affinity is not used
  /// 0 is the highest. A request of priority 0 is never chosen as the probe of a slow or ejected
  /// replica.
  std::uint8_t priority = 1;
  /// Remote replicas are considered only if the expected time to first token of the best local one
  /// exceeds this.
  core::Duration spill_over_threshold{};
  std::set<core::UpstreamId> excluded{};  ///< replicas that already failed this request

  friend bool operator==(const RouteQuery&, const RouteQuery&) = default;
};

}  // namespace cornelrelay::routing
