#pragma once

#include <nlohmann/json_fwd.hpp>

#include "cornelrelay/routing/replica_router.h"

namespace cornelrelay::routing {

/// \brief Returns the router's state for `/dump`. It contains no request content.
nlohmann::json ToJson(const ReplicaRouter& router);

/// \brief Returns the explanation of one decision for `/explain`.
nlohmann::json ToJson(const RoutingDecision& decision);

}  // namespace cornelrelay::routing
