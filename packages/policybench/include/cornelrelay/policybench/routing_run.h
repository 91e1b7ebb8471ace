#pragma once

#include <map>
#include <string>

#include "cornelrelay/policybench/workload.h"

namespace cornelrelay::policybench {

/// \brief One run of the reference case of the routing goal.
struct RoutingCase {
  Shape shape{};
  std::string policy{};
  std::uint64_t seed = 1;
  std::size_t replicas = 16;
  std::map<std::string, double> router{};  ///< changed settings of the policy `ours`, for trials
  std::size_t entry_processes = 8;
  double load = 0.8;
  double slowness = 5;  ///< of one replica, from 60 s to 240 s
};

/// \brief Figures of the slow span, in milliseconds unless said otherwise.
struct RoutingFigures {
  double p50 = 0;
  double p95 = 0;
  double p99 = 0;
  double gap_p95 = 0;     ///< mean gap between tokens of a request
  double slow_share = 0;  ///< percent of the requests
  double hit_share = 0;   ///< percent of prompt tokens found in a cache
  double detection_mean =
      0;  ///< requests to the slow replica, per entry process, before its share halves
  double detection_max = 0;
  double recovery_seconds =
      -1;  ///< from the recovery until its share is half of a fair one; -1: not in the run
  std::size_t requests = 0;
};

RoutingFigures RunRouting(const RoutingCase& routing_case);

}  // namespace cornelrelay::policybench
