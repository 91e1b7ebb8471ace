#pragma once

#include <nlohmann/json_fwd.hpp>

#include "cornelrelay/telemetry/decision_record.h"

namespace cornelrelay::telemetry {

/// \brief Body of `/explain/<request id>` for one record.
nlohmann::json ToJson(const DecisionRecord& record);

}  // namespace cornelrelay::telemetry
