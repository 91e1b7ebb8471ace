#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "cornelrelay/core/ids.h"
#include "cornelrelay/routes/engine_model.h"

namespace cornelrelay::routes {

/// \brief What the configuration says of one service.
struct ServiceSpec {
  core::ServiceId id;
  std::string health_path;
  std::uint32_t max_connections = 0;  ///< of one upstream, from all processes together
  std::optional<EngineModel> engine;  ///< empty for a plain service

  friend bool operator==(const ServiceSpec&, const ServiceSpec&) = default;
};

}  // namespace cornelrelay::routes
