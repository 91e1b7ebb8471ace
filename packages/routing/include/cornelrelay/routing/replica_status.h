#pragma once

#include <cstdint>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/routing/quantised_load.h"

namespace cornelrelay::routing {

/// \brief Load of a replica as its agent measured it `age` ago.
struct ReportedLoad {
  QuantisedLoad outstanding{};   ///< requests running or queued, of all entry processes
  QuantisedLoad pending_work{};  ///< work units of requests that have no first token yet
  core::Duration age{};

  friend bool operator==(const ReportedLoad&, const ReportedLoad&) = default;
};

/// \brief What the shared records say about one replica of a service.
struct ReplicaStatus {
  core::UpstreamId id{};
  core::DataCentreId data_centre{};
  bool usable = true;       ///< false when members or the host list hold it for dead
  bool leaving = false;     ///< announced by the replica itself; always honoured
  std::uint32_t slots = 1;  ///< requests that the engine runs at once
  ReportedLoad load{};

  friend bool operator==(const ReplicaStatus&, const ReplicaStatus&) = default;
};

}  // namespace cornelrelay::routing
