#pragma once

#include <cstdint>
#include <set>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::routing {

/// \brief Digest of a prompt prefix (conversation, document) that an engine may hold in its cache.
using PrefixKey = core::StrongId<struct PrefixKeyTag>;

/// \brief Size of a request in work units (tokens for a model, 1 for a plain call).
struct SizeEstimate {
  double prompt = 1;  ///< work before the first token
  double output = 0;  ///< expected tokens after it
  double prefix = 0;  ///< part of `prompt` that a cached prefix saves

  friend bool operator==(const SizeEstimate&, const SizeEstimate&) = default;
};

/// \brief One request that needs a replica.
///
/// \code
/// const RoutingDecision decision = router.Choose(now, RouteQuery{.request = id, .size = {900, 200,
/// 700}}); \endcode
struct RouteQuery {
  core::RequestId request{};
  SizeEstimate size{};
  PrefixKey prefix_key{};     ///< empty without prefix affinity
  std::uint8_t priority = 1;  ///< 0 is the highest class; class 0 is never used as a probe
  /// A remote replica is considered only when the best local one is expected to take longer than
  /// this.
  core::Duration spill_over_threshold{};
  std::set<core::UpstreamId> excluded{};  ///< replicas that already failed this request

  friend bool operator==(const RouteQuery&, const RouteQuery&) = default;
};

}  // namespace cornelrelay::routing
