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

  double gain = 0.25;  ///< weight of a new result in the exponentially weighted means
  /// A replica is slow if its time per output token, or its time to first token per work unit,
  /// exceeds the fleet's median by this factor. Ratios within the tolerances in router_estimates.cc
  /// count as 1.
  double slow_factor = 2.0;
  double recovered_factor = 1.4;  ///< a slow replica has recovered below this factor
  /// Half-life of the difference between a replica's reported pending work and the fleet's mean.
  /// Requests wait in the queue for their first token for tenths of a second; with a longer
  /// half-life all entry processes would act on the same outdated queue. Until a holding time has
  /// been measured, this is also the time constant by which reported outstanding requests decay.
  core::Duration report_half_life = std::chrono::milliseconds(100);
  /// Mean time between the probes of a slow or ejected replica.
  core::Duration probe_interval = std::chrono::seconds(4);

  std::size_t failures_to_eject = 3;  ///< consecutive failures that eject a replica
  core::Duration ejection_duration = std::chrono::seconds(5);  ///< back-off before the next attempt
  /// Time over which the cap on this process's outstanding requests at a new or recovered replica
  /// rises to one above their mean per replica. No cap applies afterwards.
  core::Duration slow_start = std::chrono::seconds(15);

  /// Load limit of a prefix-affine replica as a multiple of the mean number of outstanding
  /// requests per replica.
  double affinity_bound = 1.5;
  /// Assumed probability that requests of other entry processes have put the prefix into the cache
  /// of its home replica, the replica to which rendezvous hashing assigns the prefix.
  double home_hit_prior = 0.5;
  core::Duration prefix_lifetime = std::chrono::minutes(5);  ///< assumed time in an engine's cache
  std::size_t max_prefixes = 4000;  ///< capacity of the prefix history; about 0.3 KB each

  /// If more than one in this many replicas are lost within `mass_loss_window`, the router suspects
  /// that this process itself is cut off and keeps using them.
  std::size_t mass_loss_divisor = 3;
  core::Duration mass_loss_window = std::chrono::seconds(10);
  /// How long lost replicas are kept in use. Partitions between data centres are expected to last
  /// up to about an hour; this is twice that time.
  core::Duration lost_replica_retention = std::chrono::hours(2);
};

}  // namespace cornelrelay::routing
