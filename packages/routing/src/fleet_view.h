#pragma once

#include "cornelrelay/routing/replica_router.h"

namespace cornelrelay::routing {

/// \brief What is typical over the replicas in use, computed once per decision.
struct ReplicaRouter::FleetView {
  double unit_time = 0;   ///< median microseconds per work unit before the first token
  bool measured = false;  ///< `unit_time` rests on results
  double token_time = 0;  ///< median microseconds per output token
  double hold_time = 0;   ///< median microseconds from first token to end
  double own_outstanding = 0;
  double others_outstanding = 0;
  double others_pending = 0;
  bool ignore_ejection = false;  ///< too many ejected at once: this process is probably cut off
};

/// \brief Lower median; zero for an empty set.
double Median(std::vector<double> values);

}  // namespace cornelrelay::routing
