#pragma once

#include <optional>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"

namespace cornelrelay::settings {

struct UpstreamSettings {
  core::UpstreamId id;
  core::Endpoint endpoint;
  std::optional<core::Endpoint> agent;  ///< control endpoint of the agent beside it
  core::DataCentreId data_centre;
  bool honours_fencing = false;  ///< the engine refuses orders with an old fencing number

  friend bool operator==(const UpstreamSettings&, const UpstreamSettings&) = default;
};

}  // namespace cornelrelay::settings
