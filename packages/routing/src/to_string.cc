#include "cornelrelay/routing/exclusion.h"
#include "cornelrelay/routing/router_action.h"

namespace cornelrelay::routing {

std::string_view ToString(Exclusion exclusion) {
  switch (exclusion) {
    case Exclusion::kUnusable:
      return "unusable";
    case Exclusion::kLeaving:
      return "leaving";
    case Exclusion::kExcludedByQuery:
      return "excluded_by_query";
    case Exclusion::kEjected:
      return "ejected";
    case Exclusion::kSlowStart:
      return "slow_start";
    case Exclusion::kSlow:
      return "slow";
    case Exclusion::kOtherDataCentre:
      return "other_data_centre";
    case Exclusion::kAffinityBound:
      return "affinity_bound";
    case Exclusion::kNotSampled:
      return "not_sampled";
  }
  return "unknown";
}

std::string_view ToString(ReplicaPhase phase) {
  switch (phase) {
    case ReplicaPhase::kSteady:
      return "steady";
    case ReplicaPhase::kRamping:
      return "ramping";
    case ReplicaPhase::kSlow:
      return "slow";
    case ReplicaPhase::kEjected:
      return "ejected";
  }
  return "unknown";
}

}  // namespace cornelrelay::routing
