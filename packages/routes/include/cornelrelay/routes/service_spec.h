#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/core/time.h"
#include "cornelrelay/routes/engine_model.h"

namespace cornelrelay::routes {

/// \brief Configuration of one service.
struct ServiceSpec {
  core::ServiceId id;
  std::string health_path;
  /// Maximum number of connections from all processes together to one upstream; 0 if the
  /// configuration states none. No process enforces it.
  std::uint32_t max_connections = 0;
  /// Requests per second, from all entry processes together, that an upstream tolerates while it is
  /// cold; 0 if upstreams of the service have no cold state.
  double cold_per_s = 0;
  core::Duration cold_time{};  ///< for which an upstream is cold after a start during traffic
  std::optional<EngineModel> engine;  ///< none if the service has no model engine

  friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

}  // namespace cornelrelay::routes
