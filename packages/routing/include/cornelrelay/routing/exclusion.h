#pragma once

#include <string_view>

namespace cornelrelay::routing {

/// \brief Why a replica was not eligible or not scored.
enum class Exclusion {
  kUnusable,         ///< the shared records hold it for dead
  kLeaving,          ///< it announced its departure
  kExcludedByQuery,  ///< it already failed this request
  kEjected,          ///< consecutive failures of own attempts
  kSlowStart,        ///< its ramp allows no further request now
  kSlow,             ///< its results are slow and its reduced share is in use
  kOtherDataCentre,  ///< local replicas are within the spill-over threshold
  kAffinityBound,    ///< prefix-affine, but above the load bound
  kNotSampled,       ///< eligible, not among the sampled candidates
};

std::string_view ToString(Exclusion exclusion);

}  // namespace cornelrelay::routing
