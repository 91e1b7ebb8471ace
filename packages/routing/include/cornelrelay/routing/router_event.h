#pragma once

#include <variant>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/routing/replica_status.h"
#include "cornelrelay/routing/route_query.h"

namespace cornelrelay::routing {

/// \brief The complete set of replicas in the shared membership records.
struct ReplicaSetUpdated {
  std::vector<ReplicaStatus> replicas{};
};

/// \brief A load report arrived. It was measured `load.age` ago.
struct LoadReported {
  core::UpstreamId replica{};
  ReportedLoad load{};
};

/// \brief An attempt was sent to a replica.
struct AttemptStarted {
  core::AttemptId attempt{};
  core::UpstreamId replica{};
  SizeEstimate size{};
  PrefixKey prefix_key{};
};

struct FirstTokenReceived {
  core::AttemptId attempt{};
};

/// \brief Output tokens of an attempt arrived. Callers may omit this event; it reveals a slow
/// replica before its attempts finish.
struct StreamProgressed {
  core::AttemptId attempt{};
  double output_tokens = 0;  ///< total received so far
};

struct AttemptFinished {
  core::AttemptId attempt{};
  double output_tokens = 0;  ///< total received
};

struct AttemptFailed {
  core::AttemptId attempt{};
};

/// \brief The caller abandoned the request. The result does not count for or against the replica.
struct AttemptCancelled {
  core::AttemptId attempt{};
};

/// \brief An engine cached a prefix.
///
/// Cache events of engines arrive late and incompletely, so they only correct the prefix history
/// that the router derives from its own requests.
struct PrefixStored {
  core::UpstreamId replica{};
  PrefixKey prefix_key{};
};

/// \brief An engine evicted a prefix; late and incomplete like PrefixStored.
struct PrefixEvicted {
  core::UpstreamId replica{};
  PrefixKey prefix_key{};
};

/// \brief The configured load limit of prefix-affine replicas changed.
struct AffinityBoundChanged {
  double bound = 1.5;  ///< multiple of the mean number of outstanding requests per replica
};

using RouterEvent =
    std::variant<RouteQuery, ReplicaSetUpdated, LoadReported, AttemptStarted, FirstTokenReceived,
                 StreamProgressed, AttemptFinished, AttemptFailed, AttemptCancelled, PrefixStored,
                 PrefixEvicted, AffinityBoundChanged>;

}  // namespace cornelrelay::routing
