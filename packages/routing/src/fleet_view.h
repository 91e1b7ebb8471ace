#pragma once

#include "cornelrelay/routing/replica_router.h"

namespace cornelrelay::routing {

/// \brief Medians and means over the replicas in use, computed once per decision.
struct ReplicaRouter::FleetView {
  double time_per_unit_us = 0;     ///< median time per work unit before the first token
  bool has_results = false;        ///< false if `time_per_unit_us` is a default
  double time_per_token_us = 0;    ///< median time per output token
  double holding_time_us = 0;      ///< median time from the first token to the end of the response
  double own_outstanding = 0;      ///< mean attempts in flight of this router
  double others_outstanding = 0;   ///< mean outstanding requests of the other entry processes
  double others_pending_work = 0;  ///< mean work units of the other entry processes
  /// Ejected replicas are eligible, because so many are ejected that this process itself is
  /// probably cut off.
  bool ignore_ejection = false;
};

/// \brief Returns the lower median, or zero for an empty set.
double Median(std::vector<double> values);

}  // namespace cornelrelay::routing
