#pragma once

#include <optional>
#include <vector>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/routing/exclusion.h"

namespace cornelrelay::routing {

/// \brief Score or exclusion of one replica in one decision.
struct CandidateOutcome {
  core::UpstreamId replica{};
  std::optional<core::Duration> score{};  ///< expected time to first token, if scored
  std::optional<Exclusion> exclusion{};

  friend bool operator==(const CandidateOutcome&, const CandidateOutcome&) = default;
};

/// \brief The chosen replica, if any, and the outcome for every known replica.
struct RoutingDecision {
  core::RequestId request{};
  std::optional<core::UpstreamId> chosen{};
  bool probe = false;  ///< chosen to measure a slow or ejected replica, not by score
  std::vector<CandidateOutcome> candidates{};

  friend bool operator==(const RoutingDecision&, const RoutingDecision&) = default;
};

}  // namespace cornelrelay::routing
