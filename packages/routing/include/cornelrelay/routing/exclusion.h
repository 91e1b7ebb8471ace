#pragma once

#include <string_view>

namespace cornelrelay::routing {

/// \brief Reason why a decision left a replica out or did not score it.
enum class Exclusion {
  kUnusable,         ///< reported dead by, or missing from, the shared membership records
  kLeaving,          ///< the replica announced that it is shutting down
  kExcludedByQuery,  ///< the replica already failed this request
  kEjected,          ///< too many consecutive attempts of this router failed
  kSlowStart,        ///< slow start allows it no further outstanding request now
  kSlow,             ///< its results are slow, and its reduced share is used up
  kOtherDataCentre,  ///< the best local replica is within the spill-over threshold
  kAffinityBound,    ///< may hold the prefix, but its load exceeds the affinity bound
  kNotSampled,       ///< eligible, but not among the sampled candidates
};

std::string_view ToString(Exclusion exclusion);

}  // namespace cornelrelay::routing
