#pragma once

#include <nlohmann/json_fwd.hpp>

#include "cornelrelay/balance/map_switch_coordinator.h"
#include "cornelrelay/balance/rank_gate.h"

namespace cornelrelay::balance {

/// \brief Returns the state as it appears in the admin dump.
nlohmann::json ToJson(const MapSwitchCoordinator& coordinator);
nlohmann::json ToJson(const RankGate& gate);

}  // namespace cornelrelay::balance
