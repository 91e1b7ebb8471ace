#pragma once

#include <cstdint>
#include <vector>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/gossip/faults.h"
#include "cornelrelay/gossip/member_state.h"
#include "cornelrelay/gossip/topology.h"

namespace cornelrelay::gossip {

/// \brief Settings of one process's gossip.
struct NodeSettings {
  core::HostId self;
  Role role = Role::kEntry;
  core::DataCentreId data_centre;
  core::Endpoint control;
  std::uint64_t incarnation = 1;  ///< start number; higher at each start of this host's process
  std::vector<core::Endpoint> seeds;
  std::uint64_t random_seed = 1;

  Topology topology = Topology::kLeafAgents;
  StatusEncoding encoding = StatusEncoding::kPackedArray;
  core::Duration round = std::chrono::milliseconds(250);
  double bytes_per_second = 3000;  ///< sent, of the 8 KB/s that a node may send and receive
  core::Duration probe_interval = std::chrono::seconds(1);
  core::Duration suspicion_timeout = std::chrono::seconds(6);
  Faults faults;
};

}  // namespace cornelrelay::gossip
