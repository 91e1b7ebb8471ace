#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cornelrelay/core/endpoint.h"
#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"

namespace cornelrelay::directory {

/// \brief The registration that an upstream wrote to the store.
struct UpstreamEntry {
  core::UpstreamId id;
  core::ServiceId service;
  core::Endpoint endpoint;
  core::DataCentreId data_centre;
  std::uint32_t slots = 1;             ///< maximum number of concurrent requests
  bool leaving = false;                ///< draining: accepts no new requests
  core::Duration remaining_warm_up{};  ///< time for which it was still cold when it wrote this
  /// End of the cold time on the clock of this process; none if it is not cold. Set by
  /// UpstreamDirectory when it takes over the entry.
  std::optional<core::Instant> cold_until;
  std::string software_version;
  std::uint64_t incarnation = 0;  ///< changes with each start of the upstream
  std::uint64_t sequence = 0;     ///< increases with the writes of an incarnation

  friend bool operator==(const UpstreamEntry&, const UpstreamEntry&) = default;
};

}  // namespace cornelrelay::directory
