#pragma once

#include <nlohmann/json_fwd.hpp>

#include "cornelrelay/limits/admission_controller.h"
#include "cornelrelay/limits/retry_budget.h"

namespace cornelrelay::limits {

/// \brief Returns the state as shown by `/dump`.
nlohmann::json ToJson(const AdmissionController& controller);
nlohmann::json ToJson(const RetryBudget& budget);

}  // namespace cornelrelay::limits
