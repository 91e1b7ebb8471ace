#pragma once

#include <variant>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/routing/replica_status.h"
#include "cornelrelay/routing/route_query.h"

namespace cornelrelay::routing {

/// \brief The whole set of replicas as the shared records now show it.
struct ReplicaSetUpdated {
  std::vector<ReplicaStatus> replicas{};
};

/// \brief A load report; late by `load.age`.
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

/// \brief Optional: so many tokens have arrived. Shows a slow replica before its attempts finish.
struct StreamProgressed {
  core::AttemptId attempt{};
  double output = 0;
};

struct AttemptFinished {
  core::AttemptId attempt{};
  double output = 0;  ///< tokens received
};

struct AttemptFailed {
  core::AttemptId attempt{};
};

/// \brief The caller gave up; says nothing about the replica.
struct AttemptCancelled {
  core::AttemptId attempt{};
};

/// \brief Cache events of engines. They arrive late and with gaps, so they only correct the
/// router's own history.
struct PrefixStored {
  core::UpstreamId replica{};
  PrefixKey prefix_key{};
};
struct PrefixEvicted {
  core::UpstreamId replica{};
  PrefixKey prefix_key{};
};

/// \brief The profile's bound on the load of a prefix-affine replica.
struct AffinityBoundChanged {
  double bound = 1.5;
};

using RouterEvent =
    std::variant<RouteQuery, ReplicaSetUpdated, LoadReported, AttemptStarted, FirstTokenReceived,
                 StreamProgressed, AttemptFinished, AttemptFailed, AttemptCancelled, PrefixStored,
                 PrefixEvicted, AffinityBoundChanged>;

}  // namespace cornelrelay::routing
