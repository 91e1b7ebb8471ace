#pragma once

#include <nlohmann/json_fwd.hpp>

#include "cornelrelay/placement/load_estimator.h"
#include "cornelrelay/placement/placement_planner.h"

namespace cornelrelay::placement {

/// \brief Encodes the state for `/dump`.
nlohmann::json ToJson(const Placement& placement);
nlohmann::json ToJson(const PlacementPlan& plan);
nlohmann::json ToJson(const LoadEstimator& estimator);

}  // namespace cornelrelay::placement
