#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::routing {

/// \brief Settings of one ReplicaRouter. The defaults suit services that run language models.
struct RouterConfig {
  std::uint64_t seed = 0;
  core::DataCentreId data_centre{};  ///< data centre of this entry process
  /// Network latencies from this data centre; a missing entry means zero.
  std::map<core::DataCentreId, core::Duration> one_way_latencies{};
  std::size_t sample_size = 2;  ///< randomly sampled candidates per choice

  double gain = 0.25;             ///< weight of a new result in the exponentially weighted means
  double slow_factor = 2.0;       ///< a replica slower than the median by this factor is slow
  double recovered_factor = 1.4;  ///< a slow replica has recovered below this factor
  /// Half-life of a reported deviation from the mean load. Queues before the first token last
  /// tenths of a second; with a longer half-life all entry processes would act on the same outdated
  /// queue.
  core::Duration report_half_life = std::chrono::milliseconds(100);
  /// Mean time between the probes of a slow or ejected replica.
  core::Duration probe_interval = std::chrono::seconds(4);

  std::size_t failures_to_eject = 3;  ///< consecutive failures that eject a replica
  core::Duration ejection_duration = std::chrono::seconds(5);  ///< back-off before the next attempt
  core::Duration slow_start = std::chrono::seconds(15);        ///< time until the share is full

  /// Load limit of a prefix-affine replica as a multiple of the mean of outstanding requests.
  double affinity_bound = 1.5;
  /// Assumed probability that requests of other entry processes have put the prefix into the cache
  /// of its home replica.
  double home_hit_prior = 0.5;
  core::Duration prefix_lifetime = std::chrono::minutes(5);  ///< assumed time in an engine's cache
  std::size_t max_prefixes = 4000;  ///< capacity of the prefix history; about 0.3 KB each

  /// If more than one in this many replicas are lost within `mass_loss_window`, the router suspects
  /// that this process itself is cut off and keeps using them.
  std::size_t mass_loss_divisor = 3;
  core::Duration mass_loss_window = std::chrono::seconds(10);
  /// How long lost replicas are kept in use. Regions lose contact for about an hour; this is twice
  /// that time.
  core::Duration lost_replica_retention = std::chrono::hours(2);
};

}  // namespace cornelrelay::routing
