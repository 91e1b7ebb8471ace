#pragma once

#include <nlohmann/json_fwd.hpp>

#include "cornelrelay/routing/replica_router.h"

namespace cornelrelay::routing {

/// \brief State dump for `/dump`; holds no request content.
nlohmann::json ToJson(const ReplicaRouter& router);

/// \brief Explanation of one choice for `/explain`.
nlohmann::json ToJson(const RoutingDecision& decision);

}  // namespace cornelrelay::routing
