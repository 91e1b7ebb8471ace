#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::routing {

/// \brief Settings of one ReplicaRouter; the defaults suit model services.
struct RouterConfig {
  std::uint64_t seed = 0;
  core::DataCentreId data_centre{};  ///< of this entry process
  std::map<core::DataCentreId, core::Duration>
      one_way_latencies{};      ///< one way, from this data centre
  std::size_t sample_size = 2;  ///< random candidates per choice

  double gain = 0.25;        ///< weight of one result in the running means
  double slow_factor = 2.0;  ///< a replica this much slower than the fleet's median is slow
  double recovered_factor = 1.4;
  /// Queues before the first token live for tenths of a second. With a longer half-life all entry
  /// processes act on the same outdated queue.
  core::Duration report_half_life = std::chrono::milliseconds(100);
  core::Duration probe_interval = std::chrono::seconds(4);

  std::size_t failures_to_eject = 3;
  core::Duration ejection = std::chrono::seconds(5);
  core::Duration slow_start = std::chrono::seconds(15);

  double affinity_bound = 1.5;  ///< prefix-affine replica: at most this times the mean outstanding
  double home_hit_prior = 0.5;  ///< chance that other entry processes warmed the home replica
  core::Duration prefix_lifetime = std::chrono::minutes(5);
  std::size_t prefix_entries = 4000;  ///< about 0.3 KB each

  /// Losses of more than one in this many replicas at once put the observer in doubt.
  std::size_t doubt_divisor = 3;
  core::Duration doubt_window = std::chrono::seconds(10);
  /// Regions lose contact for about an hour; lost replicas are kept for twice that time.
  core::Duration doubt_limit = std::chrono::hours(2);
};

}  // namespace cornelrelay::routing
