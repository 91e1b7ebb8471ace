#pragma once

#include <cstdint>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/routing/quantised_load.h"

namespace cornelrelay::routing {

/// \brief Load of a replica as measured by its agent.
struct ReportedLoad {
  QuantisedLoad outstanding{};   ///< running and queued requests of all entry processes
  QuantisedLoad pending_work{};  ///< work units of requests that have no first token yet
  core::Duration age{};          ///< time since the measurement

  friend bool operator==(const ReportedLoad&, const ReportedLoad&) = default;
};

/// \brief State of one replica of a service in the shared membership records.
struct ReplicaStatus {
  core::UpstreamId id{};
  core::DataCentreId data_centre{};
  bool usable = true;  ///< false if membership or the host list reports it dead
  /// Announced by the replica itself; applies even while the router suspects its own isolation.
  bool leaving = false;
  std::uint32_t slots = 1;  ///< requests that the engine runs concurrently
  ReportedLoad load{};

  friend bool operator==(const ReplicaStatus&, const ReplicaStatus&) = default;
};

}  // namespace cornelrelay::routing
