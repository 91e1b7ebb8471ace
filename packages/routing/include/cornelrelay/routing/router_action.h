#pragma once

#include <string_view>
#include <variant>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/routing/routing_decision.h"

namespace cornelrelay::routing {

enum class ReplicaPhase {
  kSteady,   ///< full share
  kRamping,  ///< slow start
  kSlow,     ///< results are well above the fleet's; mostly probes
  kEjected,  ///< consecutive failures; no work until the back-off ends
};

std::string_view ToString(ReplicaPhase phase);

struct PhaseChanged {
  core::UpstreamId replica;
  ReplicaPhase phase = ReplicaPhase::kSteady;

  friend bool operator==(const PhaseChanged&, const PhaseChanged&) = default;
};

/// \brief Many replicas seemed to fail at once (or no longer do): the last known set stays in use.
struct ObserverDoubtChanged {
  bool doubted = false;

  friend bool operator==(const ObserverDoubtChanged&, const ObserverDoubtChanged&) = default;
};

using RouterAction = std::variant<RoutingDecision, PhaseChanged, ObserverDoubtChanged>;

}  // namespace cornelrelay::routing
