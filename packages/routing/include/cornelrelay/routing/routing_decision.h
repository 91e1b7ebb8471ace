#pragma once

#include <optional>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/routing/exclusion.h"

namespace cornelrelay::routing {

/// \brief How one replica fared in one decision.
struct CandidateOutcome {
  core::UpstreamId replica{};
  std::optional<core::Duration> score{};  ///< expected time to first token, when scored
  std::optional<Exclusion> exclusion{};

  friend bool operator==(const CandidateOutcome&, const CandidateOutcome&) = default;
};

/// \brief The chosen replica, or none, with the reasons for all others.
struct RoutingDecision {
  core::RequestId request{};
  std::optional<core::UpstreamId> chosen{};
  bool probe = false;  ///< chosen to learn about a slow or recovering replica
  std::vector<CandidateOutcome> candidates{};

  friend bool operator==(const RoutingDecision&, const RoutingDecision&) = default;
};

}  // namespace cornelrelay::routing
