#pragma once

#include <string_view>
#include <variant>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/routing/routing_decision.h"

namespace cornelrelay::routing {

/// \brief How much work a replica gets, from the results of this router.
enum class ReplicaPhase {
  kSteady,   ///< full share of requests
  kRamping,  ///< slow start: the cap on outstanding requests rises over time
  kSlow,     ///< much slower than the fleet's median: reduced share and probes
  kEjected,  ///< consecutive failures: no requests during the back-off, then one at a time
};

std::string_view ToString(ReplicaPhase phase);

struct PhaseChanged {
  core::UpstreamId replica;
  ReplicaPhase phase = ReplicaPhase::kSteady;

  friend bool operator==(const PhaseChanged&, const PhaseChanged&) = default;
};

/// \brief The router began or ceased to suspect that this process itself is cut off.
///
/// It suspects so if many replicas seem to fail at once, and then keeps using the last known set.
struct IsolationSuspicionChanged {
  bool suspected = false;

  friend bool operator==(const IsolationSuspicionChanged&,
                         const IsolationSuspicionChanged&) = default;
};

using RouterAction = std::variant<RoutingDecision, PhaseChanged, IsolationSuspicionChanged>;

}  // namespace cornelrelay::routing
