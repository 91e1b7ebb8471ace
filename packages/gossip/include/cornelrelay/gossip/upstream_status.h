#pragma once

#include <compare>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/gossip/load.h"

namespace cornelrelay::gossip {

/// \brief Report of an agent about its upstream; the subject of the record is the upstream id and
/// Record::age tells how old the report is.
struct UpstreamStatus {
  core::ServiceId service;
  core::DataCentreId data_centre;
  core::Endpoint endpoint;  ///< where the upstream accepts requests
  Load load;
  bool draining = false;

  friend auto operator<=>(const UpstreamStatus&, const UpstreamStatus&) = default;
};

}  // namespace cornelrelay::gossip
