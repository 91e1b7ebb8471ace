#pragma once

#include <cstdint>
#include <string>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::directory {

/// \brief What an upstream registered about itself.
struct UpstreamEntry {
  core::UpstreamId id;
  core::ServiceId service;
  core::Endpoint endpoint;
  core::DataCentreId data_centre;
  std::uint32_t slots = 1;             ///< requests that it runs at once
  bool leaving = false;                ///< takes no new requests
  core::Duration remaining_warm_up{};  ///< it is slower than usual for this long
  std::string software_version;
  std::uint64_t incarnation = 0;  ///< changes with each start

  friend bool operator==(const UpstreamEntry&, const UpstreamEntry&) = default;
};

}  // namespace cornelrelay::directory
