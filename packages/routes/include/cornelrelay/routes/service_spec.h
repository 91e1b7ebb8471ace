#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/routes/engine_model.h"

namespace cornelrelay::routes {

/// \brief Configuration of one service.
struct ServiceSpec {
  core::ServiceId id;
  std::string health_path;
  std::uint32_t max_connections = 0;  ///< to one upstream, from all processes together
  std::optional<EngineModel> engine;  ///< none if the service has no model engine

  friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

}  // namespace cornelrelay::routes
